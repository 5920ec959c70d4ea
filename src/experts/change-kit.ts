/** A stand-in of a lock-step group in virtual time, for tests of map changes. */
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import * as types from './types';

export const RANKS = 4;

/** Runs events in virtual time; random numbers depend on the seed alone. */
export class Simulation {
  protected time = 0;
  private readonly events: {at: number; run: () => void}[] = [];
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro.xoroshiro128plus(seed);
  }

  get now(): number {
    return this.time;
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
      this.time = Math.max(this.time, next.at);
      next.run();
    }
  }
}

/** Runs events by the timers of the runtime, which tests advance. */
export class TimerSimulation extends Simulation {
  override get now(): number {
    return performance.now();
  }

  override after(ms: number, run: () => void): void {
    setTimeout(run, ms);
  }
}

export interface Rank {
  map: {version: number; content: string};
  prepared: {version: number; content: string} | null;
  highest: number;
  armed: types.ArmedMap | null;
  held: number | null;
  /** Highest term that its sidecar has received. */
  term: number;
  /** The last arm order that its sidecar gave to another rank. */
  gave: types.SentArm | null | undefined;
}

/** A lock-step group that carries out orders as engines do. */
export class FakeGroup {
  step = 0;
  isMixed = false;
  /** Without requests, no pass begins. */
  isIdle = false;
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
      if (this.isIdle) {
        this.heldSince = undefined;
      } else if (this.ranks.some(rank => rank.held === this.step + 1)) {
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

export interface Faults {
  /** Probability that an order gets no answer and is carried out late. */
  readonly lateShare: number;
  /** Probability that an answer is lost. */
  readonly lostShare: number;
  /** Probability that an order is carried out once more, late; 0 by default. */
  readonly repeatShare?: number;
}

/** What becomes of an order; a number: milliseconds until it is carried out. */
export type Fate = 'carried-out' | 'lost' | number;

/** Period in which an instance and its sidecar are frozen, in virtual time. */
export interface Freeze {
  readonly rank: number;
  readonly from: number;
  readonly to: number;
}

/** A process that gives orders; a dead one neither sends nor hears anything. */
export interface Owner {
  readonly isDead: boolean;
}

const CALL_TIMEOUT_MS = 120;
const MIN_LATE_MS = 50;
const MAX_LATE_MS = 3_050;

/**
 * Connections of a planner on one instance to the ranks. Sidecars accept only
 * the highest term; engines accept every order. A frozen instance cannot be
 * called, while its rank keeps running.
 */
export class FakeRanks extends types.Ranks {
  readonly size = RANKS;

  constructor(
    private readonly world: World,
    private readonly own: number,
    private readonly term: number,
    private readonly owner: Owner = {isDead: false},
  ) {
    super();
  }

  get responsive(): number[] {
    return this.all;
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
      group.ranks[helper]!.gave = given ?? group.ranks[helper]!.gave;
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
    const fate = this.world.fateOf(at, order);
    if (fate !== 'carried-out') {
      if (fate !== 'lost') {
        sim.after(fate, () => group.carryOut(at, order));
      }
      return 'no-answer';
    }
    if (sim.unit() < (faults.repeatShare ?? 0)) {
      const lateMs = sim.unit() * MAX_LATE_MS;
      sim.after(lateMs, () => group.carryOut(at, order));
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
    await this.whileAlive();
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
    await this.whileAlive();
    return result;
  }

  private async whileAlive(): Promise<void> {
    if (this.owner.isDead) {
      await new Promise(() => undefined);
    }
  }
}

export function mapOf(version: number): types.ExpertMap {
  return [Array.from({length: RANKS}, (_, rank) => [rank, RANKS + version])];
}

/** A simulated group with its faults and an instance that may freeze. */
export class World {
  readonly group: FakeGroup;
  freeze: Freeze | undefined;
  /** Decides what becomes of an order; by default the faults do. */
  intercept: ((at: number, order: types.Order) => Fate | undefined) | undefined;

  constructor(
    seed: number,
    public faults: Faults,
    readonly sim: Simulation = new Simulation(seed),
  ) {
    this.group = new FakeGroup(this.sim);
  }

  ranksOf(own: number, term: number): FakeRanks {
    return new FakeRanks(this, own, term);
  }

  fateOf(at: number, order: types.Order): Fate {
    const fate = this.intercept?.(at, order);
    if (fate !== undefined) {
      return fate;
    }
    return this.sim.unit() < this.faults.lateShare
      ? MIN_LATE_MS + this.sim.unit() * (MAX_LATE_MS - MIN_LATE_MS)
      : 'carried-out';
  }

  /** Resolves when an instance is not frozen. */
  async untilRunning(rank: number): Promise<void> {
    const {freeze} = this;
    if (freeze?.rank === rank && this.sim.now >= freeze.from) {
      await this.sim.sleep(Math.max(0, freeze.to - this.sim.now));
    }
  }
}
