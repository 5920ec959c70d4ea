import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import {RecentDemand} from './demand';

const SETS = 4;
const EXPERTS = 72;
const TOPICS = 9;
const READING_MS = 100;

interface Shape {
  /** Prompts per reading. */
  readonly prompts: number;
  /** Exponent of the Zipf distribution of tokens over experts. */
  readonly skew: number;
}
const SMALL: Shape = {prompts: 6, skew: 1.1};
/** As with 129 ranks: many prompts, and a more even spread over experts. */
const LARGE: Shape = {prompts: 60, skew: 0.45};

/** Simulates readings of prompts on topics that partly share their experts. */
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

  /** Draws each distribution anew with probability `share`. */
  shift(share: number): void {
    const redraw = (old: Float64Array | undefined) =>
      old === undefined || this.random() < share
        ? this.drawDistribution()
        : old;
    this.shared = Array.from({length: SETS}, (_, set) =>
      redraw(this.shared[set]),
    );
    this.topics = Array.from({length: SETS}, (_, set) =>
      Array.from({length: TOPICS}, (__, topic) =>
        redraw(this.topics[set]?.[topic]),
      ),
    );
  }

  /** Growth of one reading, whose prompts are on random topics. */
  read(): Float64Array {
    const growth = new Float64Array(SETS * EXPERTS);
    for (let prompt = 0; prompt < this.shape.prompts; prompt += 1) {
      const topic = Math.floor(this.random() * TOPICS);
      const tokens = 20_000 + this.random() * 60_000;
      for (let set = 0; set < SETS; set += 1) {
        for (let expert = 0; expert < EXPERTS; expert += 1) {
          const share =
            0.7 * this.shared[set]![expert]! +
            0.3 * this.topics[set]![topic]![expert]!;
          growth[set * EXPERTS + expert]! += tokens * share;
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
  it.each([SMALL, LARGE])('sees no drift in steady demand (%o)', shape => {
    for (const seed of SEEDS) {
      const group = new FakeGroup(seed, shape);
      const demand = new RecentDemand(SETS);
      let drifts = 0;
      for (let at = 1; at <= 200; at += 1) {
        drifts += demand.update(group.read(), at * READING_MS).hasDrifted
          ? 1
          : 0;
      }
      expect([seed, drifts]).toEqual([seed, 0]);
    }
  });

  it('detects a drift within two readings', () => {
    for (const seed of SEEDS) {
      const group = new FakeGroup(seed);
      const demand = new RecentDemand(SETS);
      let at = 0;
      for (let shift = 0; shift < 5; shift += 1) {
        for (let reading = 0; reading < 30; reading += 1) {
          at += 1;
          demand.update(group.read(), at * READING_MS);
        }
        group.shift(0.8);
        const drifts = [1, 2].map(() => {
          at += 1;
          return demand.update(group.read(), at * READING_MS).hasDrifted;
        });
        expect([seed, shift, drifts]).toEqual([
          seed,
          shift,
          expect.arrayContaining([true]),
        ]);
      }
    }
  });

  it('detects small drifts of a large group from the first second on', () => {
    for (const seed of SEEDS) {
      const group = new FakeGroup(seed, LARGE);
      const demand = new RecentDemand(SETS);
      let at = 0;
      for (let shift = 0; shift < 5; shift += 1) {
        for (let reading = 0; reading < 8; reading += 1) {
          at += 1;
          demand.update(group.read(), at * READING_MS);
        }
        group.shift(0.8);
        at += 1;
        const update = demand.update(group.read(), at * READING_MS);
        expect([seed, shift, update.hasDrifted]).toEqual([seed, shift, true]);
      }
    }
  });

  it('keeps only the newest growth after a drift', () => {
    const demand = new RecentDemand(1);
    for (let at = 1; at <= 30; at += 1) {
      demand.update([900, 100], at * READING_MS);
    }
    demand.update([100, 900], 31 * READING_MS);
    expect([...demand.demand![0]!]).toEqual([100, 900]);
  });

  it('ignores a reading without growth', () => {
    const demand = new RecentDemand(1);
    demand.update([9, 1], READING_MS);
    const update = demand.update([0, 0], 2 * READING_MS);
    expect(update.hasDrifted).toBe(false);
    expect(demand.total).toBe(10);
  });
});
