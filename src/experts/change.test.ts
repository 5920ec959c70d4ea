import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import {SILENT_LOG} from '../observability/log';
import * as changes from './change';
import * as types from './types';

const RANKS = 4;

/** Events in virtual time, in a random but repeatable order. */
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

  /** Runs until the work is done; fails after too long a time. */
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
  /** Highest term that its sidecar has heard. */
  term: number;
  /** The last arm that its sidecar gave for another rank. */
  gave: types.SentArm | null;
}

/** A group of ranks as the platform's pages describe it. */
class FakeGroup {
  step = 0;
  isMixed = false;
  /** Time for which a pass was not begun, at most at a stretch. */
  longestHeldMs = 0;
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
        this.longestHeldMs = Math.max(this.longestHeldMs, heldMs);
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

/** Where orders go wrong. */
interface Trouble {
  /** Share of orders that get no answer and are carried out late. */
  readonly late: number;
  /** Share of answers that are lost. */
  readonly lost: number;
}

/** An instance that stands still, with its sidecar, from one time to another. */
interface Freeze {
  readonly rank: number;
  readonly from: number;
  readonly to: number;
}

/** How long callers wait for an instance that does not answer. */
const SILENT_MS = 120;

/**
 * The ways of a planner on one instance to the ranks. Sidecars obey the
 * highest term; engines obey everybody. An instance that stands still keeps
 * its rank out of reach, while that goes on making passes.
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
    places: readonly number[],
  ): Promise<(types.RankState | undefined)[]> {
    const readings = await this.read(places);
    return readings.map(one => one?.state);
  }

  read(places: readonly number[]): Promise<(types.RankReading | undefined)[]> {
    const {group} = this.world;
    return Promise.all(
      places.map(at =>
        this.call<types.RankReading | undefined>(at, undefined, () =>
          this.obeys(at)
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
    places: readonly number[],
    order: types.Order,
  ): Promise<types.OrderResult[]> {
    return Promise.all(
      places.map(at =>
        this.retry(() =>
          this.call<types.OrderResult>(at, 'no-answer', () =>
            this.obeys(at) ? this.give(at, order) : 'deposed',
          ),
        ),
      ),
    );
  }

  orderRemotely(
    places: readonly number[],
    order: types.Order,
  ): Promise<types.OrderResult[]> {
    return Promise.all(
      places.map(at =>
        this.retry(() =>
          this.call<types.OrderResult>(at, 'no-answer', () =>
            this.give(at, order),
          ),
        ),
      ),
    );
  }

  orderThrough(
    helper: number,
    place: number,
    order: types.Order,
  ): Promise<types.OrderResult> {
    const {group} = this.world;
    const given =
      order.kind === 'arm'
        ? {...order, rank: place, isConfirmed: false}
        : undefined;
    const beside = new FakeRanks(this.world, helper, this.term);
    return this.call<types.OrderResult>(helper, 'no-answer', async () => {
      if (!this.obeys(helper)) {
        return 'deposed';
      }
      group.ranks[helper]!.gave = given ?? null;
      const [result] = await beside.orderRemotely([place], order);
      if (given !== undefined) {
        given.isConfirmed = result === 'done';
      }
      return result!;
    });
  }

  private async retry(
    once: () => Promise<types.OrderResult>,
  ): Promise<types.OrderResult> {
    for (let tries = 0; tries < 4; tries += 1) {
      const result = await once();
      if (result !== 'no-answer') {
        return result;
      }
    }
    return 'no-answer';
  }

  /** At a rank's engine; answers may be lost, and orders come late. */
  private give(at: number, order: types.Order): types.OrderResult {
    const {sim, group, trouble} = this.world;
    if (sim.unit() < trouble.late) {
      const lateMs = 50 + sim.unit() * 3_000;
      sim.after(lateMs, () => group.carryOut(at, order));
      return 'no-answer';
    }
    const result = group.carryOut(at, order);
    return sim.unit() < trouble.lost ? 'no-answer' : result;
  }

  private obeys(at: number): boolean {
    const rank = this.world.group.ranks[at]!;
    rank.term = Math.max(rank.term, this.term);
    return this.term === rank.term;
  }

  /** Goes to an instance and back; both may stand still meanwhile. */
  private async call<T>(
    at: number,
    silence: T,
    there: () => T | Promise<T>,
  ): Promise<T> {
    const {sim} = this.world;
    const hop = () => 1 + sim.unit() * 20;
    await this.world.thaw(this.own);
    await sim.sleep(hop());
    const work = (async () => {
      await this.world.thaw(at);
      const result = await there();
      await this.world.thaw(at);
      await sim.sleep(hop());
      return result;
    })();
    const result = await Promise.race([
      work,
      sim.sleep(SILENT_MS).then(() => silence),
    ]);
    await this.world.thaw(this.own);
    return result;
  }
}

function mapOf(name: number): types.ExpertMap {
  return [Array.from({length: RANKS}, (_, rank) => [rank, RANKS + name])];
}

/** A group, its troubles, and an instance that may stand still. */
class World {
  readonly sim: Simulation;
  readonly group: FakeGroup;
  freeze: Freeze | undefined;

  constructor(
    seed: number,
    readonly trouble: Trouble,
  ) {
    this.sim = new Simulation(seed);
    this.group = new FakeGroup(this.sim);
  }

  ranksOf(own: number, term: number): FakeRanks {
    return new FakeRanks(this, own, term);
  }

  /** Resolves when an instance runs. */
  async thaw(rank: number): Promise<void> {
    const {freeze} = this;
    if (freeze?.rank === rank && this.sim.now >= freeze.from) {
      await this.sim.sleep(Math.max(0, freeze.to - this.sim.now));
    }
  }
}

function newTrace(): changes.ChangeTrace {
  return {spentStep: 0, armMs: undefined};
}

function change(version: number): changes.Change {
  return {
    epoch: 1,
    version,
    map: mapOf(version),
    former: {version: 0, map: mapOf(0)},
    expectedMs: 10,
    patienceMs: 100,
    passesAhead: () => version % 4,
  };
}

const SEEDS = Array.from({length: 150}, (_, seed) => seed + 1);
const CALM: Trouble = {late: 0, lost: 0};
const LATE: Trouble = {late: 0.35, lost: 0.1};
const PARTS = {own: 0, holder: 1, helper: 3};

describe('changing the map of a group in lock-step', () => {
  it('puts the map in force at every rank, and leaves nothing held', async () => {
    const world = new World(7, CALM);
    const {sim, group} = world;
    const work = changes.changeMap(
      world.ranksOf(0, 1),
      change(5),
      PARTS,
      newTrace(),
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
    ['a calm group', CALM],
    ['orders that come late and answers that are lost', LATE],
  ])('never begins a pass with two maps: %s', async (_, trouble) => {
    for (const seed of SEEDS) {
      const world = new World(seed, trouble);
      const {sim, group} = world;
      const ranks = world.ranksOf(0, 1);
      const trace = newTrace();
      const work = (async () => {
        for (let at = 1; at <= 4; at += 1) {
          const holder = 1 + (at % 3);
          const parts = {own: 0, holder, helper: 1 + (holder % 3)};
          const next = change(at * 10);
          await changes.changeMap(ranks, next, parts, trace, SILENT_LOG);
        }
      })();
      await sim.until(work, 60_000);
      await sim.runFor(4_000);
      expect([seed, group.isMixed]).toEqual([seed, false]);
    }
  });

  it.each([
    ['the planner, in a calm group', 0, CALM],
    ['the planner, with orders that come late and answers lost', 0, LATE],
    ['the holder, in a calm group', 1, CALM],
    ['the helper, in a calm group', 3, CALM],
    ['the helper, with orders that come late and answers lost', 3, LATE],
  ])('survives an instance that freezes: %s', async (_, rank, trouble) => {
    for (const seed of SEEDS) {
      const world = new World(seed, trouble);
      const {sim, group} = world;
      const from = sim.unit() * 300;
      world.freeze = {rank, from, to: from + 1_500 + sim.unit() * 2_000};
      const old = changes.changeMap(
        world.ranksOf(0, 1),
        change(1),
        PARTS,
        newTrace(),
        SILENT_LOG,
      );
      await sim.runFor(from + 400);
      const taken = takeOver(world, 2);
      await sim.until(Promise.all([old, taken]), 60_000);
      await sim.runFor(5_000);
      // A planner goes on looking for what came late.
      await sim.until(endLeft(world, 2), 60_000);
      expect([seed, group.isMixed]).toEqual([seed, false]);
      expect([seed, await taken]).toEqual([seed, 'armed']);
      expect([seed, group.ranks.map(one => one.held)]).toEqual([
        seed,
        [null, null, null, null],
      ]);
    }
  });

  it('does not wait for a planner that froze as it gave orders', async () => {
    const held: number[] = [];
    for (const seed of SEEDS) {
      const world = new World(seed, CALM);
      const {sim, group} = world;
      const ranks = world.ranksOf(0, 1);
      const old = changes.changeMap(
        ranks,
        change(1),
        PARTS,
        newTrace(),
        SILENT_LOG,
      );
      // The adversary strikes when the first rank beside its own is armed.
      while (group.ranks.slice(1).every(one => one.armed === null)) {
        await sim.runFor(1);
      }
      world.freeze = {rank: 0, from: sim.now, to: sim.now + 4_000};
      await sim.runFor(400);
      const taken = takeOver(world, 2);
      await sim.until(Promise.all([old, taken]), 60_000);
      await sim.runFor(3_000);
      expect([seed, group.isMixed]).toEqual([seed, false]);
      held.push(group.longestHeldMs);
    }
    expect(Math.max(...held)).toBeLessThan(1_500);
  });

  it('does not wait for a helper that froze as it gave its order', async () => {
    const held: number[] = [];
    for (const seed of SEEDS) {
      const world = new World(seed, CALM);
      const {sim, group} = world;
      const ranks = world.ranksOf(0, 1);
      const old = changes.changeMap(
        ranks,
        change(1),
        PARTS,
        newTrace(),
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
      held.push(group.longestHeldMs);
    }
    expect(Math.max(...held)).toBeLessThan(1_500);
  });

  it('releases a hold that came after its release, once it shows', async () => {
    const held: number[] = [];
    for (const seed of SEEDS) {
      const world = new World(seed, CALM);
      const {sim, group} = world;
      const ranks = world.ranksOf(0, 1);
      const trace = newTrace();
      // The helper takes the order to hold and stands still, without an answer.
      const strikes = async () => {
        while (group.ranks[3]!.prepared === null) {
          await sim.sleep(1);
        }
        world.freeze = {rank: 3, from: sim.now + 5, to: sim.now + 600};
      };
      void strikes();
      const next = {...change(1), passesAhead: () => 12};
      const old = changes.changeMap(ranks, next, PARTS, trace, SILENT_LOG);
      await sim.until(old, 60_000);
      if ((await old) !== 'not-held') {
        continue;
      }
      // It wakes, and its order reaches the rank between two looks, or later.
      for (let look = 0; look < 8; look += 1) {
        const release = (async () => {
          const readings = await ranks.read([0, 1, 2]);
          return changes.releaseLateHold(
            ranks,
            readings.flatMap(one => one ?? []),
            trace.spentStep,
          );
        })();
        await sim.until(release, 60_000);
        expect([seed, await release]).toEqual([seed, true]);
        await sim.runFor(150);
      }
      expect([seed, group.isMixed]).toEqual([seed, false]);
      expect(group.ranks.every(one => one.held === null)).toBe(true);
      held.push(group.longestHeldMs);
    }
    expect(held.length).toBeGreaterThan(20);
    expect(Math.max(...held)).toBeLessThan(1_500);
  });

  it('leaves a hold that is not its own, and one with ranks armed', async () => {
    const world = new World(5, CALM);
    const {sim, group} = world;
    const ranks = world.ranksOf(0, 1);
    const step = group.step + 40;
    group.carryOut(1, {kind: 'hold', epoch: 1, step});
    const judge = async (heldInVain: number) => {
      const work = (async () => {
        const readings = await ranks.read([0, 1, 2, 3]);
        const known = readings.flatMap(one => one ?? []);
        return changes.releaseLateHold(ranks, known, heldInVain);
      })();
      await sim.until(work, 10_000);
      return work;
    };
    expect(await judge(step - 1)).toBe(false);
    expect(group.ranks[1]!.held).toBe(step);
    group.carryOut(2, prepare(9));
    group.carryOut(2, {kind: 'arm', epoch: 1, version: 9, step});
    expect(await judge(step)).toBe(false);
    expect(group.ranks[1]!.held).toBe(step);
  });

  it('waits for a planner whose rank may be armed', async () => {
    const world = new World(3, CALM);
    const {sim, group} = world;
    const ranks = world.ranksOf(2, 2);
    group.ranks.forEach((_, at) => group.carryOut(at, prepare(9)));
    const step = group.step + 40;
    group.carryOut(1, {kind: 'hold', epoch: 1, step});
    const gave = {epoch: 1, rank: 0, version: 9, step, isConfirmed: false};
    group.ranks[3]!.gave = gave;
    const end = async () => {
      const readings = (await ranks.read([1, 2, 3])).flatMap(one => one ?? []);
      return changes.endOrphaned(ranks, readings, 0, SILENT_LOG);
    };
    const first = end();
    await sim.until(first, 10_000);
    expect(await first).toBe('unknown');
    expect(group.ranks[1]!.held).toBe(step);
    group.ranks[3]!.gave = {...gave, isConfirmed: true};
    group.carryOut(0, {kind: 'arm', epoch: 1, version: 9, step});
    const second = end();
    await sim.until(second, 10_000);
    expect(await second).toBe('armed');
    expect(group.ranks.map(one => one.armed?.version)).toEqual([9, 9, 9, 9]);
    expect(group.ranks[1]!.held).toBeNull();
  });

  it('waits where a sidecar has forgotten what it gave', async () => {
    const world = new World(3, CALM);
    const {sim, group} = world;
    const ranks = world.ranksOf(2, 2);
    const step = group.step + 40;
    group.carryOut(1, {kind: 'hold', epoch: 1, step});
    const work = (async () => {
      const readings = (await ranks.read([1, 2, 3])).flatMap(one => one ?? []);
      const [first, ...rest] = readings as [types.RankReading];
      const forgetful = [{...first, gave: undefined}, ...rest];
      return changes.endOrphaned(ranks, forgetful, 0, SILENT_LOG);
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

/** What a new planner does: reads all, ends what was left, changes the map. */
async function takeOver(world: World, own: number): Promise<string> {
  const ranks = world.ranksOf(own, 2);
  // A planner that finds a change given up spares the passes it may name.
  const trace = {spentStep: world.group.step + 9, armMs: undefined};
  let version = 10;
  for (;;) {
    const readings = (await ranks.read(ranks.all)).flatMap(one => one ?? []);
    const states = readings.map(one => one.state);
    if (states.length === RANKS) {
      const end = await changes.finishChange(ranks, readings, own, SILENT_LOG);
      if (end === 'nothing-left') {
        version += 10;
        const parts = {own, holder: 3, helper: 1};
        const made = await changes.changeMap(
          ranks,
          change(version),
          parts,
          trace,
          SILENT_LOG,
        );
        if (made === 'armed') {
          return made;
        }
      }
    } else if (states.length === RANKS - 1) {
      const silent = ranks.all.find(at =>
        states.every(state => state.rank !== at),
      )!;
      if (silent === 0) {
        await changes.endOrphaned(ranks, readings, silent, SILENT_LOG);
      }
    }
    await world.sim.sleep(100);
  }
}

/** Ends what orders that came late have left behind. */
async function endLeft(world: World, own: number): Promise<void> {
  const ranks = world.ranksOf(own, 2);
  for (;;) {
    const readings = (await ranks.read(ranks.all)).flatMap(one => one ?? []);
    const end = await changes.finishChange(ranks, readings, own, SILENT_LOG);
    if (end === 'nothing-left') {
      return;
    }
    await world.sim.sleep(100);
  }
}
