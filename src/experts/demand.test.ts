import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import {RecentDemand} from './demand';

const SETS = 4;
const EXPERTS = 72;
const TOPICS = 9;
const READING_MS = 100;

/** What a fleet's readings are like. */
interface Shape {
  /** Prompts whose tokens a reading covers. */
  readonly prompts: number;
  /** Exponent of demand by an expert's place in a liking. */
  readonly skew: number;
}
const SMALL: Shape = {prompts: 6, skew: 1.1};
/** As with 129 ranks: many prompts, and experts that are liked more evenly. */
const LARGE: Shape = {prompts: 60, skew: 0.45};

/** Demand of topics that share some experts, as the fleets show it. */
class FakeGroup {
  private readonly generator;
  private shared: Float64Array[] = [];
  private topics: Float64Array[][] = [];

  constructor(
    seed: number,
    private readonly shape = SMALL,
  ) {
    this.generator = xoroshiro.xoroshiro128plus(seed);
    this.shift(1);
  }

  /** Every liking is drawn anew with this probability. */
  shift(share: number): void {
    const renew = (old: Float64Array | undefined) =>
      old === undefined || this.random() < share
        ? this.drawDistribution()
        : old;
    this.shared = Array.from({length: SETS}, (_, set) =>
      renew(this.shared[set]),
    );
    this.topics = Array.from({length: SETS}, (_, set) =>
      Array.from({length: TOPICS}, (__, topic) =>
        renew(this.topics[set]?.[topic]),
      ),
    );
  }

  /** Growth of one reading: a few prompts on topics of their own. */
  read(): Float64Array {
    const growth = new Float64Array(SETS * EXPERTS);
    for (let prompt = 0; prompt < this.shape.prompts; prompt += 1) {
      const topic = Math.floor(this.random() * TOPICS);
      const tokens = 20_000 + this.random() * 60_000;
      for (let set = 0; set < SETS; set += 1) {
        for (let expert = 0; expert < EXPERTS; expert += 1) {
          const liked =
            0.7 * this.shared[set]![expert]! +
            0.3 * this.topics[set]![topic]![expert]!;
          growth[set * EXPERTS + expert]! += tokens * liked;
        }
      }
    }
    return growth;
  }

  private drawDistribution(): Float64Array {
    const weights = Array.from({length: EXPERTS}, (_, at) => ({
      weight: 1 / (at + 1) ** this.shape.skew,
      order: this.random(),
    })).sort((a, b) => a.order - b.order);
    const total = weights.reduce((sum, one) => sum + one.weight, 0);
    return Float64Array.from(weights, one => one.weight / total);
  }

  private random(): number {
    return (this.generator.next() >>> 0) / 2 ** 32;
  }
}

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

describe('demand for experts', () => {
  it.each([SMALL, LARGE])('takes steady demand for steady (%o)', shape => {
    for (const seed of SEEDS) {
      const fleet = new FakeGroup(seed, shape);
      const demand = new RecentDemand(SETS);
      let drifts = 0;
      for (let at = 1; at <= 200; at += 1) {
        drifts += demand.update(fleet.read(), at * READING_MS).hasDrifted
          ? 1
          : 0;
      }
      expect([seed, drifts]).toEqual([seed, 0]);
    }
  });

  it('notices within two readings that demand has changed', () => {
    for (const seed of SEEDS) {
      const fleet = new FakeGroup(seed);
      const demand = new RecentDemand(SETS);
      let at = 0;
      for (let shift = 0; shift < 5; shift += 1) {
        for (let calm = 0; calm < 30; calm += 1) {
          at += 1;
          demand.update(fleet.read(), at * READING_MS);
        }
        fleet.shift(0.8);
        const notes = [1, 2].map(() => {
          at += 1;
          return demand.update(fleet.read(), at * READING_MS).hasDrifted;
        });
        expect([seed, shift, notes]).toEqual([
          seed,
          shift,
          expect.arrayContaining([true]),
        ]);
      }
    }
  });

  it('notices small drifts of a large fleet, from the first second on', () => {
    for (const seed of SEEDS) {
      const fleet = new FakeGroup(seed, LARGE);
      const demand = new RecentDemand(SETS);
      let at = 0;
      for (let shift = 0; shift < 5; shift += 1) {
        for (let calm = 0; calm < 8; calm += 1) {
          at += 1;
          demand.update(fleet.read(), at * READING_MS);
        }
        fleet.shift(0.8);
        at += 1;
        const note = demand.update(fleet.read(), at * READING_MS);
        expect([seed, shift, note.hasDrifted]).toEqual([seed, shift, true]);
      }
    }
  });

  it('forgets what was before the change', () => {
    const demand = new RecentDemand(1);
    for (let at = 1; at <= 30; at += 1) {
      demand.update([900, 100], at * READING_MS);
    }
    demand.update([100, 900], 31 * READING_MS);
    expect([...demand.demand![0]!]).toEqual([100, 900]);
  });

  it('lets a reading without growth be', () => {
    const demand = new RecentDemand(1);
    demand.update([9, 1], READING_MS);
    const note = demand.update([0, 0], 2 * READING_MS);
    expect(note.hasDrifted).toBe(false);
    expect(demand.total).toBe(10);
  });
});
