import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import {SILENT_LOG} from '../observability/log';
import * as mapChange from './change';
import * as types from './types';

const RANKS = 4;

/** Runs events in virtual time; random numbers depend on the seed alone. */
class Simulation {
  now = 0;
  private readonly events: {at: number; run: () => void}[] = [];
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro.xoroshiro128plus(seed);
  }

  unit(): number {
    return (this.generator.next() >>> 0) / 2 ** 32;
  }

  after(ms: number, run: () => void): void {
    this.events.push({at: this.now + ms, run});
  }

  sleep(ms: number): Promise<void> {
    return new Promise(resolve => this.after(ms, resolve));
  }

  /** Runs until the work is done or virtual time reaches the limit. */
  async until(work: Promise<unknown>, limitMs: number): Promise<void> {
    let isDone = false;
    void work.then(() => (isDone = true));
    while (!isDone && this.now < limitMs) {
      await this.step();
    }
  }

  async runFor(ms: number): Promise<void> {
    const end = this.now + ms;
    while (this.now < end && this.events.length > 0) {
      await this.step();
    }
  }

  private async step(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
    this.events.sort((a, b) => a.at - b.at);
    const next = this.events.shift();
    if (next !== undefined) {
      this.now = Math.max(this.now, next.at);
      next.run();
    }
  }
}

interface Rank {
  map: {version: number; content: string};
  prepared: {version: number; content: string} | null;
  highest: number;
  armed: types.ArmedMap | null;
  held: number | null;
  /** Highest term that its sidecar has received. */
  term: number;
  /** The last arm order that its sidecar gave to another rank. */
  gave: types.SentArm | null;
}

/** A lock-step group that carries out orders as engines do. */
class FakeGroup {
  step = 0;
  isMixed = false;
  /** Longest time for which the group was held, in virtual milliseconds. */
  maxHeldMs = 0;
  private heldSince: number | undefined;
  readonly ranks: Rank[] = Array.from({length: RANKS}, () => ({
    map: {version: 0, content: JSON.stringify(mapOf(0))},
    prepared: null,
    highest: 0,
    armed: null,
    held: null,
    term: 0,
    gave: null,
  }));

  constructor(private readonly sim: Simulation) {
    this.scheduleNextPass();
  }

  carryOut(at: number, order: types.Order): types.OrderResult {
    const rank = this.ranks[at]!;
    switch (order.kind) {
      case 'prepare': {
        const content = JSON.stringify(order.map);
        if (rank.prepared?.version === order.version) {
          return rank.prepared.content === content ? 'done' : 'refused';
        }
        if (order.version <= rank.highest || rank.armed !== null) {
          return 'refused';
        }
        rank.highest = order.version;
        rank.prepared = {version: order.version, content};
        return 'done';
      }
      case 'arm':
        if (rank.prepared?.version !== order.version) {
          return 'refused';
        }
        if (order.step <= this.step) {
          return 'refused';
        }
        rank.armed = {version: order.version, step: order.step};
        return 'done';
      case 'disarm':
        if (rank.map.version === order.version) {
          return 'refused';
        }
        if (rank.armed?.version === order.version) {
          rank.armed = null;
        }
        return 'done';
      case 'hold':
        if (order.step <= this.step) {
          return 'refused';
        }
        if (rank.held !== null && rank.held !== order.step) {
          return 'refused';
        }
        rank.held = order.step;
        return 'done';
      case 'release':
        if (rank.held === order.step) {
          rank.held = null;
        }
        return 'done';
    }
  }

  stateOf(at: number): types.RankState {
    const rank = this.ranks[at]!;
    return {
      group: 'g',
      epoch: 1,
      rank: at,
      size: RANKS,
      isOpen: true,
      step: this.step,
      running: 1,
      waiting: 0,
      mapVersion: rank.map.version,
      prepared: rank.prepared?.version ?? null,
      armed: rank.armed,
      held: rank.held,
      slowness: 1,
    };
  }

  heldBy(at: number): types.HeldExperts {
    const {version, content} = this.ranks[at]!.map;
    const map = JSON.parse(content) as types.ExpertMap;
    return {version, experts: map.map(held => [...held[at]!])};
  }

  private scheduleNextPass(): void {
    this.sim.after(5 + this.sim.unit() * 60, () => {
      if (this.ranks.some(rank => rank.held === this.step + 1)) {
        this.heldSince ??= this.sim.now;
        const heldMs = this.sim.now - this.heldSince;
        this.maxHeldMs = Math.max(this.maxHeldMs, heldMs);
      } else {
        this.heldSince = undefined;
        this.beginPass();
      }
      this.scheduleNextPass();
    });
  }

  private beginPass(): void {
    this.step += 1;
    for (const rank of this.ranks) {
      if (rank.armed?.step === this.step) {
        rank.map = rank.prepared!;
        rank.armed = null;
      }
    }
    const maps = new Set(
      this.ranks.map(rank => `${rank.map.version} ${rank.map.content}`),
    );
    this.isMixed ||= maps.size > 1;
  }
}

interface Faults {
  /** Probability that an order gets no answer and is carried out late. */
  readonly lateShare: number;
  /** Probability that an answer is lost. */
  readonly lostShare: number;
}

/** Period in which an instance and its sidecar are frozen, in virtual time. */
interface Freeze {
  readonly rank: number;
  readonly from: number;
  readonly to: number;
}

const CALL_TIMEOUT_MS = 120;

/**
 * Connections of a planner on one instance to the ranks. Sidecars accept only
 * the highest term; engines accept every order. A frozen instance cannot be
 * called, while its rank keeps running.
 */
class FakeRanks extends types.Ranks {
  readonly size = RANKS;

  constructor(
    private readonly world: World,
    private readonly own: number,
    private readonly term: number,
  ) {
    super();
  }

  async readStates(
    rankNumbers: readonly number[],
  ): Promise<(types.RankState | undefined)[]> {
    const readings = await this.read(rankNumbers);
    return readings.map(one => one?.state);
  }

  read(
    rankNumbers: readonly number[],
  ): Promise<(types.RankReading | undefined)[]> {
    const {group} = this.world;
    return Promise.all(
      rankNumbers.map(at =>
        this.call<types.RankReading | undefined>(at, undefined, () =>
          this.acceptsTerm(at)
            ? {
                state: group.stateOf(at),
                gave: group.ranks[at]!.gave,
                held: group.heldBy(at),
              }
            : undefined,
        ),
      ),
    );
  }

  order(
    rankNumbers: readonly number[],
    order: types.Order,
  ): Promise<types.OrderResult[]> {
    return Promise.all(
      rankNumbers.map(at =>
        this.retry(() =>
          this.call<types.OrderResult>(at, 'no-answer', () =>
            this.acceptsTerm(at) ? this.deliver(at, order) : 'deposed',
          ),
        ),
      ),
    );
  }

  orderRemotely(
    rankNumbers: readonly number[],
    order: types.Order,
  ): Promise<types.OrderResult[]> {
    return Promise.all(
      rankNumbers.map(at =>
        this.retry(() =>
          this.call<types.OrderResult>(at, 'no-answer', () =>
            this.deliver(at, order),
          ),
        ),
      ),
    );
  }

  orderThrough(
    helper: number,
    rankNumber: number,
    order: types.Order,
  ): Promise<types.OrderResult> {
    const {group} = this.world;
    const given =
      order.kind === 'arm'
        ? {...order, rank: rankNumber, isConfirmed: false}
        : undefined;
    const helperRanks = new FakeRanks(this.world, helper, this.term);
    return this.call<types.OrderResult>(helper, 'no-answer', async () => {
      if (!this.acceptsTerm(helper)) {
        return 'deposed';
      }
      group.ranks[helper]!.gave = given ?? null;
      const [result] = await helperRanks.orderRemotely([rankNumber], order);
      if (given !== undefined) {
        given.isConfirmed = result === 'done';
      }
      return result!;
    });
  }

  private async retry(
    attempt: () => Promise<types.OrderResult>,
  ): Promise<types.OrderResult> {
    for (let tries = 0; tries < 4; tries += 1) {
      const result = await attempt();
      if (result !== 'no-answer') {
        return result;
      }
    }
    return 'no-answer';
  }

  /** Gives an order to a rank's engine, subject to the faults of the world. */
  private deliver(at: number, order: types.Order): types.OrderResult {
    const {sim, group, faults} = this.world;
    if (sim.unit() < faults.lateShare) {
      const lateMs = 50 + sim.unit() * 3_000;
      sim.after(lateMs, () => group.carryOut(at, order));
      return 'no-answer';
    }
    const result = group.carryOut(at, order);
    return sim.unit() < faults.lostShare ? 'no-answer' : result;
  }

  private acceptsTerm(at: number): boolean {
    const rank = this.world.group.ranks[at]!;
    rank.term = Math.max(rank.term, this.term);
    return this.term === rank.term;
  }

  /**
   * Calls an instance and waits for its answer. Frozen instances delay the
   * call; `silence` is returned after CALL_TIMEOUT_MS.
   */
  private async call<T>(
    at: number,
    silence: T,
    handle: () => T | Promise<T>,
  ): Promise<T> {
    const {sim} = this.world;
    const latencyMs = () => 1 + sim.unit() * 20;
    await this.world.untilRunning(this.own);
    await sim.sleep(latencyMs());
    const work = (async () => {
      await this.world.untilRunning(at);
      const result = await handle();
      await this.world.untilRunning(at);
      await sim.sleep(latencyMs());
      return result;
    })();
    const result = await Promise.race([
      work,
      sim.sleep(CALL_TIMEOUT_MS).then(() => silence),
    ]);
    await this.world.untilRunning(this.own);
    return result;
  }
}

function mapOf(version: number): types.ExpertMap {
  return [Array.from({length: RANKS}, (_, rank) => [rank, RANKS + version])];
}

/** A simulated group with its faults and an instance that may freeze. */
class World {
  readonly sim: Simulation;
  readonly group: FakeGroup;
  freeze: Freeze | undefined;

  constructor(
    seed: number,
    readonly faults: Faults,
  ) {
    this.sim = new Simulation(seed);
    this.group = new FakeGroup(this.sim);
  }

  ranksOf(own: number, term: number): FakeRanks {
    return new FakeRanks(this, own, term);
  }

  /** Resolves when an instance is not frozen. */
  async untilRunning(rank: number): Promise<void> {
    const {freeze} = this;
    if (freeze?.rank === rank && this.sim.now >= freeze.from) {
      await this.sim.sleep(Math.max(0, freeze.to - this.sim.now));
    }
  }
}

function newState(): mapChange.ChangerState {
  return {lastUsedStep: 0, armMs: undefined};
}

function change(version: number): mapChange.Change {
  return {
    epoch: 1,
    version,
    map: mapOf(version),
    former: {version: 0, map: mapOf(0)},
    expectedMs: 10,
    copyTimeoutMs: 100,
    passesAhead: () => version % 4,
  };
}

const SEEDS = Array.from({length: 150}, (_, seed) => seed + 1);
const NO_FAULTS: Faults = {lateShare: 0, lostShare: 0};
const LATE_OR_LOST: Faults = {lateShare: 0.35, lostShare: 0.1};
const ROLES = {own: 0, holder: 1, helper: 3};

describe('changing the map of a group in lock-step', () => {
  it('switches every rank to the map and releases the group', async () => {
    const world = new World(7, NO_FAULTS);
    const {sim, group} = world;
    const work = mapChange.changeMap(
      world.ranksOf(0, 1),
      change(5),
      ROLES,
      newState(),
      SILENT_LOG,
    );
    await sim.until(work, 20_000);
    expect(await work).toBe('armed');
    await sim.runFor(500);
    expect(group.ranks.map(rank => rank.map.version)).toEqual([5, 5, 5, 5]);
    expect(group.ranks.every(rank => rank.held === null)).toBe(true);
    expect(group.isMixed).toBe(false);
  });

  it.each([
    ['without faults', NO_FAULTS],
    ['with late orders and lost answers', LATE_OR_LOST],
  ])('never begins a pass with two maps: %s', async (_, faults) => {
    for (const seed of SEEDS) {
      const world = new World(seed, faults);
      const {sim, group} = world;
      const ranks = world.ranksOf(0, 1);
      const state = newState();
      const work = (async () => {
        for (let at = 1; at <= 4; at += 1) {
          const holder = 1 + (at % 3);
          const roles = {own: 0, holder, helper: 1 + (holder % 3)};
          const next = change(at * 10);
          await mapChange.changeMap(ranks, next, roles, state, SILENT_LOG);
        }
      })();
      await sim.until(work, 60_000);
      await sim.runFor(4_000);
      expect([seed, group.isMixed]).toEqual([seed, false]);
    }
  });

  it.each([
    ['the planner', 0, NO_FAULTS],
    ['the planner, with late orders and lost answers', 0, LATE_OR_LOST],
    ['the holder', 1, NO_FAULTS],
    ['the helper', 3, NO_FAULTS],
    ['the helper, with late orders and lost answers', 3, LATE_OR_LOST],
  ])('survives a frozen instance: %s', async (_, rank, faults) => {
    for (const seed of SEEDS) {
      const world = new World(seed, faults);
      const {sim, group} = world;
      const from = sim.unit() * 300;
      world.freeze = {rank, from, to: from + 1_500 + sim.unit() * 2_000};
      const old = mapChange.changeMap(
        world.ranksOf(0, 1),
        change(1),
        ROLES,
        newState(),
        SILENT_LOG,
      );
      await sim.runFor(from + 400);
      const taken = takeOver(world, 2);
      await sim.until(Promise.all([old, taken]), 60_000);
      await sim.runFor(5_000);
      // Orders that arrive late are cleaned up by the planner's next readings.
      await sim.until(finishLeftovers(world, 2), 60_000);
      expect([seed, group.isMixed]).toEqual([seed, false]);
      expect([seed, await taken]).toEqual([seed, 'armed']);
      expect([seed, group.ranks.map(one => one.held)]).toEqual([
        seed,
        [null, null, null, null],
      ]);
    }
  });

  it('does not wait for a planner that freezes while it arms ranks', async () => {
    const held: number[] = [];
    for (const seed of SEEDS) {
      const world = new World(seed, NO_FAULTS);
      const {sim, group} = world;
      const ranks = world.ranksOf(0, 1);
      const old = mapChange.changeMap(
        ranks,
        change(1),
        ROLES,
        newState(),
        SILENT_LOG,
      );
      // Freezes the planner once the first rank other than its own is armed.
      while (group.ranks.slice(1).every(one => one.armed === null)) {
        await sim.runFor(1);
      }
      world.freeze = {rank: 0, from: sim.now, to: sim.now + 4_000};
      await sim.runFor(400);
      const taken = takeOver(world, 2);
      await sim.until(Promise.all([old, taken]), 60_000);
      await sim.runFor(3_000);
      expect([seed, group.isMixed]).toEqual([seed, false]);
      held.push(group.maxHeldMs);
    }
    expect(Math.max(...held)).toBeLessThan(1_500);
  });

  it('does not wait for a helper that freezes once it has armed the planner', async () => {
    const held: number[] = [];
    for (const seed of SEEDS) {
      const world = new World(seed, NO_FAULTS);
      const {sim, group} = world;
      const ranks = world.ranksOf(0, 1);
      const old = mapChange.changeMap(
        ranks,
        change(1),
        ROLES,
        newState(),
        SILENT_LOG,
      );
      while (group.ranks[0]!.armed === null) {
        await sim.runFor(1);
      }
      world.freeze = {rank: 3, from: sim.now, to: sim.now + 4_000};
      await sim.until(old, 60_000);
      await sim.runFor(3_000);
      expect([seed, await old]).toEqual([seed, 'backed-out']);
      expect([seed, group.isMixed]).toEqual([seed, false]);
      held.push(group.maxHeldMs);
    }
    expect(Math.max(...held)).toBeLessThan(1_500);
  });

  it('releases a hold that takes effect after its release', async () => {
    const held: number[] = [];
    for (const seed of SEEDS) {
      const world = new World(seed, NO_FAULTS);
      const {sim, group} = world;
      const ranks = world.ranksOf(0, 1);
      const state = newState();
      // Freezes the helper shortly after it prepares, when the hold order is due.
      const freezeHelper = async () => {
        while (group.ranks[3]!.prepared === null) {
          await sim.sleep(1);
        }
        world.freeze = {rank: 3, from: sim.now + 5, to: sim.now + 600};
      };
      void freezeHelper();
      const next = {...change(1), passesAhead: () => 12};
      const old = mapChange.changeMap(ranks, next, ROLES, state, SILENT_LOG);
      await sim.until(old, 60_000);
      if ((await old) !== 'not-held') {
        continue;
      }
      // The helper wakes, and its order reaches the rank after a reading.
      for (let round = 0; round < 8; round += 1) {
        const release = (async () => {
          const readings = await ranks.read([0, 1, 2]);
          return mapChange.releaseLateHold(
            ranks,
            readings.flatMap(one => one ?? []),
            state.lastUsedStep,
          );
        })();
        await sim.until(release, 60_000);
        expect([seed, await release]).toEqual([seed, true]);
        await sim.runFor(150);
      }
      expect([seed, group.isMixed]).toEqual([seed, false]);
      expect(group.ranks.every(one => one.held === null)).toBe(true);
      held.push(group.maxHeldMs);
    }
    expect(held.length).toBeGreaterThan(20);
    expect(Math.max(...held)).toBeLessThan(1_500);
  });

  it('keeps a hold for another pass, and one with a rank armed', async () => {
    const world = new World(5, NO_FAULTS);
    const {sim, group} = world;
    const ranks = world.ranksOf(0, 1);
    const step = group.step + 40;
    group.carryOut(1, {kind: 'hold', epoch: 1, step});
    const tryRelease = async (heldStep: number) => {
      const work = (async () => {
        const readings = await ranks.read([0, 1, 2, 3]);
        const known = readings.flatMap(one => one ?? []);
        return mapChange.releaseLateHold(ranks, known, heldStep);
      })();
      await sim.until(work, 10_000);
      return work;
    };
    expect(await tryRelease(step - 1)).toBe(false);
    expect(group.ranks[1]!.held).toBe(step);
    group.carryOut(2, prepare(9));
    group.carryOut(2, {kind: 'arm', epoch: 1, version: 9, step});
    expect(await tryRelease(step)).toBe(false);
    expect(group.ranks[1]!.held).toBe(step);
  });

  it('keeps the group held while the silent rank may be armed', async () => {
    const world = new World(3, NO_FAULTS);
    const {sim, group} = world;
    const ranks = world.ranksOf(2, 2);
    group.ranks.forEach((_, at) => group.carryOut(at, prepare(9)));
    const step = group.step + 40;
    group.carryOut(1, {kind: 'hold', epoch: 1, step});
    const gave = {epoch: 1, rank: 0, version: 9, step, isConfirmed: false};
    group.ranks[3]!.gave = gave;
    const resolve = async () => {
      const readings = (await ranks.read([1, 2, 3])).flatMap(one => one ?? []);
      return mapChange.resolveOrphaned(ranks, readings, 0, SILENT_LOG);
    };
    const first = resolve();
    await sim.until(first, 10_000);
    expect(await first).toBe('unknown');
    expect(group.ranks[1]!.held).toBe(step);
    group.ranks[3]!.gave = {...gave, isConfirmed: true};
    group.carryOut(0, {kind: 'arm', epoch: 1, version: 9, step});
    const second = resolve();
    await sim.until(second, 10_000);
    expect(await second).toBe('armed');
    expect(group.ranks.map(one => one.armed?.version)).toEqual([9, 9, 9, 9]);
    expect(group.ranks[1]!.held).toBeNull();
  });

  it('keeps the group held if a sidecar no longer knows what it armed', async () => {
    const world = new World(3, NO_FAULTS);
    const {sim, group} = world;
    const ranks = world.ranksOf(2, 2);
    const step = group.step + 40;
    group.carryOut(1, {kind: 'hold', epoch: 1, step});
    const work = (async () => {
      const readings = (await ranks.read([1, 2, 3])).flatMap(one => one ?? []);
      const [first, ...rest] = readings as [types.RankReading];
      const incomplete = [{...first, gave: undefined}, ...rest];
      return mapChange.resolveOrphaned(ranks, incomplete, 0, SILENT_LOG);
    })();
    await sim.until(work, 10_000);
    expect(await work).toBe('unknown');
    expect(group.ranks[1]!.held).toBe(step);
  });
});

function prepare(version: number): types.Order {
  const map = mapOf(version);
  return {
    kind: 'prepare',
    epoch: 1,
    version,
    map,
    base: {version: 0, map: mapOf(0)},
    expectedMs: 1,
    patienceMs: 1,
  };
}

/** Acts as a new planner until a change of its own has armed all ranks. */
async function takeOver(world: World, own: number): Promise<string> {
  const ranks = world.ranksOf(own, 2);
  // Passes that late orders of the aborted change may name are not held.
  const state = {lastUsedStep: world.group.step + 9, armMs: undefined};
  let version = 10;
  for (;;) {
    const readings = (await ranks.read(ranks.all)).flatMap(one => one ?? []);
    const states = readings.map(one => one.state);
    if (states.length === RANKS) {
      const end = await mapChange.finishChange(
        ranks,
        readings,
        own,
        SILENT_LOG,
      );
      if (end === 'nothing-left') {
        version += 10;
        const roles = {own, holder: 3, helper: 1};
        const outcome = await mapChange.changeMap(
          ranks,
          change(version),
          roles,
          state,
          SILENT_LOG,
        );
        if (outcome === 'armed') {
          return outcome;
        }
      }
    } else if (states.length === RANKS - 1) {
      const silent = ranks.all.find(at =>
        states.every(state => state.rank !== at),
      )!;
      if (silent === 0) {
        await mapChange.resolveOrphaned(ranks, readings, silent, SILENT_LOG);
      }
    }
    await world.sim.sleep(100);
  }
}

/** Ends changes that late orders have left behind. */
async function finishLeftovers(world: World, own: number): Promise<void> {
  const ranks = world.ranksOf(own, 2);
  for (;;) {
    const readings = (await ranks.read(ranks.all)).flatMap(one => one ?? []);
    const end = await mapChange.finishChange(ranks, readings, own, SILENT_LOG);
    if (end === 'nothing-left') {
      return;
    }
    await world.sim.sleep(100);
  }
}
