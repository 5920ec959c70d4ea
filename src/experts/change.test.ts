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
}

/** A group of ranks as the platform's pages describe it. */
class FakeGroup {
  step = 0;
  isMixed = false;
  readonly ranks: Rank[] = Array.from({length: RANKS}, () => ({
    map: {version: 0, content: 'first'},
    prepared: null,
    highest: 0,
    armed: null,
    held: null,
    term: 0,
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
    };
  }

  private scheduleNextPass(): void {
    this.sim.after(5 + this.sim.unit() * 60, () => {
      if (!this.ranks.some(rank => rank.held === this.step + 1)) {
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

/** A planner's way to the ranks; their sidecars obey the highest term. */
class FakeRanks extends types.Ranks {
  readonly size = RANKS;

  constructor(
    private readonly sim: Simulation,
    private readonly group: FakeGroup,
    private readonly term: number,
    private readonly trouble: Trouble,
    private readonly thawsAt: () => number,
  ) {
    super();
  }

  /** Undefined for a rank whose sidecar obeys another planner. */
  readStates(
    places: readonly number[],
  ): Promise<(types.RankState | undefined)[]> {
    return Promise.all(
      places.map(at =>
        this.travel(() =>
          this.obeys(at) ? this.group.stateOf(at) : undefined,
        ),
      ),
    );
  }

  order(
    places: readonly number[],
    order: types.Order,
  ): Promise<types.OrderResult[]> {
    return Promise.all(places.map(at => this.orderRank(at, order)));
  }

  private async orderRank(
    at: number,
    order: types.Order,
  ): Promise<types.OrderResult> {
    for (let tries = 0; tries < 4; tries += 1) {
      const result = await this.orderOnce(at, order);
      if (result !== 'no-answer') {
        return result;
      }
    }
    return 'no-answer';
  }

  private orderOnce(
    at: number,
    order: types.Order,
  ): Promise<types.OrderResult> {
    return this.travel<types.OrderResult>(() => {
      if (!this.obeys(at)) {
        return 'deposed';
      }
      if (this.sim.unit() < this.trouble.late) {
        const lateMs = 50 + this.sim.unit() * 3_000;
        this.sim.after(lateMs, () => this.group.carryOut(at, order));
        return 'no-answer';
      }
      const result = this.group.carryOut(at, order);
      return this.sim.unit() < this.trouble.lost ? 'no-answer' : result;
    });
  }

  private obeys(at: number): boolean {
    const rank = this.group.ranks[at]!;
    rank.term = Math.max(rank.term, this.term);
    return this.term === rank.term;
  }

  /** There and back again; a frozen planner hears of it when it wakes. */
  private travel<T>(there: () => T): Promise<T> {
    return new Promise(resolve => {
      const hop = () => 1 + this.sim.unit() * 20;
      this.sim.after(hop(), () => {
        const result = there();
        const wakes = Math.max(0, this.thawsAt() - this.sim.now);
        this.sim.after(hop() + wakes, () => resolve(result));
      });
    });
  }
}

function mapOf(name: number): types.ExpertMap {
  return [Array.from({length: RANKS}, (_, rank) => [rank, RANKS + name])];
}

interface World {
  readonly sim: Simulation;
  readonly group: FakeGroup;
  ranksOf(term: number, thawsAt?: () => number): FakeRanks;
}

function makeWorld(seed: number, trouble: Trouble): World {
  const sim = new Simulation(seed);
  const group = new FakeGroup(sim);
  const ranksOf = (term: number, thawsAt = () => 0) =>
    new FakeRanks(sim, group, term, trouble, thawsAt);
  return {sim, group, ranksOf};
}

function change(version: number): changes.Change {
  return {
    epoch: 1,
    version,
    map: mapOf(version),
    expectedMs: 10,
    patienceMs: 100,
    passesAhead: version % 4,
  };
}

const SEEDS = Array.from({length: 150}, (_, seed) => seed + 1);
const CALM: Trouble = {late: 0, lost: 0};
const LATE: Trouble = {late: 0.35, lost: 0.1};

describe('changing the map of a group in lock-step', () => {
  it('puts the map in force at every rank, and leaves nothing held', async () => {
    const {sim, group, ranksOf} = makeWorld(7, CALM);
    const work = changes.changeMap(
      ranksOf(1),
      change(5),
      {own: 0, holder: 1},
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
      const {sim, group, ranksOf} = makeWorld(seed, trouble);
      const ranks = ranksOf(1);
      const work = (async () => {
        for (let version = 1; version <= 4; version += 1) {
          const parts = {own: 0, holder: 1 + (version % 3)};
          await changes.changeMap(ranks, change(version), parts, SILENT_LOG);
        }
      })();
      await sim.until(work, 60_000);
      await sim.runFor(4_000);
      expect([seed, group.isMixed]).toEqual([seed, false]);
    }
  });

  it.each([
    ['a calm group', CALM],
    ['orders that come late and answers that are lost', LATE],
  ])('survives a planner that freezes and wakes: %s', async (_, trouble) => {
    for (const seed of SEEDS) {
      const {sim, group, ranksOf} = makeWorld(seed, trouble);
      const freezesAt = sim.unit() * 300;
      const thawsAt = freezesAt + 500 + sim.unit() * 2_000;
      const first = ranksOf(1, () => (sim.now > freezesAt ? thawsAt : 0));
      const second = ranksOf(2);
      const old = changes.changeMap(
        first,
        change(1),
        {own: 0, holder: 1},
        SILENT_LOG,
      );
      await sim.runFor(freezesAt + 400);
      const taken = takeOver(second);
      await sim.until(Promise.all([old, taken]), 60_000);
      await sim.runFor(5_000);
      expect([seed, group.isMixed]).toEqual([seed, false]);
      expect(['armed', 'stuck', 'not-prepared', 'not-held']).toContain(
        await taken,
      );
    }
  });

  it('goes back where the planner and its rank are silent', async () => {
    const {sim, group, ranksOf} = makeWorld(3, CALM);
    const ranks = ranksOf(2);
    group.ranks.forEach((_, at) => group.carryOut(at, prepare(9)));
    const step = group.step + 40;
    group.carryOut(1, {kind: 'hold', epoch: 1, step});
    group.carryOut(2, {kind: 'arm', epoch: 1, version: 9, step});
    const others = [1, 2, 3].map(at => group.stateOf(at));
    const work = changes.undoWithoutPlanner(ranks, others, SILENT_LOG);
    await sim.until(work, 10_000);
    expect(await work).toBe(true);
    expect(group.ranks.map(rank => rank.armed)).toEqual(Array(4).fill(null));
    expect(group.ranks.map(rank => rank.held)).toEqual(Array(4).fill(null));
  });

  it('waits where the silent rank may be armed', async () => {
    const {sim, group, ranksOf} = makeWorld(3, CALM);
    const ranks = ranksOf(2);
    group.ranks.forEach((_, at) => group.carryOut(at, prepare(9)));
    const step = group.step + 40;
    group.carryOut(1, {kind: 'hold', epoch: 1, step});
    [1, 2, 3].forEach(at =>
      group.carryOut(at, {kind: 'arm', epoch: 1, version: 9, step}),
    );
    const others = [1, 2, 3].map(at => group.stateOf(at));
    const work = changes.undoWithoutPlanner(ranks, others, SILENT_LOG);
    await sim.until(work, 10_000);
    expect(await work).toBe(false);
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
    expectedMs: 1,
    patienceMs: 1,
  };
}

/** What a new planner does: reads all, finishes, and changes the map. */
async function takeOver(ranks: FakeRanks): Promise<string> {
  let end = 'nothing-left' as changes.ChangeEnd | 'nothing-left';
  for (let tries = 0; tries < 5; tries += 1) {
    const states = await readStates(ranks);
    end = await changes.finishChange(ranks, states, 2, SILENT_LOG);
    if (end !== 'stuck' && end !== 'deposed') {
      break;
    }
  }
  if (end === 'stuck') {
    return end;
  }
  let version = 10;
  let result = '';
  for (let tries = 0; tries < 4 && result !== 'armed'; tries += 1) {
    version += 1;
    result = await changes.changeMap(
      ranks,
      change(version),
      {own: 2, holder: 3},
      SILENT_LOG,
    );
  }
  return result;
}

async function readStates(ranks: FakeRanks): Promise<types.RankState[]> {
  const states = await ranks.readStates(ranks.all);
  return states.flatMap(state => state ?? []);
}
