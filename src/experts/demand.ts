/**
 * Demand for experts of a group, from the growth of its ranks' counters.
 *
 * Demand is steady for seconds and then changes at once, when other subjects
 * come up. A plain average is either noisy or slow to forget, so this one is
 * long, and is dropped as soon as the newest growth no longer fits it.
 */
import type {Demand} from './plan';
import type {Growth} from './types';

/** Age at which growth counts for half, in milliseconds. */
const HALF_LIFE_MS = 1_500;
/** Readings whose growth is held against the average. */
const WINDOW = 2;
/**
 * Distance between newest growth and average that is taken for the usual one
 * at first. Measured on two fleets of 12 ranks, 0.2 s a window: 0.06 to 0.15
 * while demand is steady, 0.3 to 0.45 after it changed.
 */
const FIRST_NOISE = 0.12;
/** Weight of the newest distance in the usual one. */
const NOISE_WEIGHT = 0.05;
/** Demand has changed where the distance is this many times the usual one. */
const DRIFT_FACTOR = 1.6;
/** And at least this much larger, in shares of all tokens. */
const DRIFT_MARGIN = 0.06;

/** What a reading told. */
export interface DemandNote {
  /** Share of the tokens that went elsewhere than the average says. */
  readonly distance: number;
  /** True where the average was dropped for the newest growth. */
  readonly hasDrifted: boolean;
}

export class RecentDemand {
  private sum: Float64Array | undefined;
  private lastAt = 0;
  private window: Growth[] = [];
  private noise = FIRST_NOISE;

  constructor(private readonly sets: number) {}

  /** Takes the growth since the last reading; `now` is monotonic. */
  note(growth: Growth, now: number): DemandNote {
    const keep = 0.5 ** ((now - this.lastAt) / HALF_LIFE_MS);
    if (totalOf(growth) === 0) {
      return {distance: 0, hasDrifted: false};
    }
    this.lastAt = now;
    if (this.sum === undefined || this.sum.length !== growth.length) {
      this.startFrom([growth]);
      return {distance: 0, hasDrifted: false};
    }
    this.window = [...this.window, growth].slice(-WINDOW);
    const distance = this.distanceTo(this.window);
    if (distance > this.noise * DRIFT_FACTOR + DRIFT_MARGIN) {
      // Of a window that spans the change, the newest part is right.
      this.startFrom([growth]);
      return {distance, hasDrifted: true};
    }
    this.noise += NOISE_WEIGHT * (distance - this.noise);
    for (let at = 0; at < growth.length; at += 1) {
      this.sum[at] = this.sum[at]! * keep + growth[at]!;
    }
    return {distance, hasDrifted: false};
  }

  /** Tokens noted, with older ones counting for less. */
  get total(): number {
    return this.sum === undefined ? 0 : totalOf(this.sum);
  }

  /** By set and expert; undefined until something has grown. */
  get demand(): Demand | undefined {
    const {sum} = this;
    if (sum === undefined) {
      return undefined;
    }
    const experts = sum.length / this.sets;
    return Array.from({length: this.sets}, (_, set) =>
      sum.subarray(set * experts, (set + 1) * experts),
    );
  }

  private startFrom(growths: readonly Growth[]): void {
    this.sum = sumOf(growths);
    this.window = [...growths];
  }

  /** Half the sum of differences of shares, averaged over sets: 0 to 1. */
  private distanceTo(window: readonly Growth[]): number {
    const newest = sumOf(window);
    const average = this.sum!;
    const experts = newest.length / this.sets;
    let distance = 0;
    for (let set = 0; set < this.sets; set += 1) {
      const from = set * experts;
      const newTotal = totalOf(newest.subarray(from, from + experts)) || 1;
      const oldTotal = totalOf(average.subarray(from, from + experts)) || 1;
      for (let at = from; at < from + experts; at += 1) {
        const change = newest[at]! / newTotal - average[at]! / oldTotal;
        distance += Math.abs(change) / 2;
      }
    }
    return distance / this.sets;
  }
}

function sumOf(growths: readonly Growth[]): Float64Array {
  const sum = new Float64Array(growths[0]?.length ?? 0);
  for (const growth of growths) {
    for (let at = 0; at < sum.length; at += 1) {
      sum[at]! += growth[at]!;
    }
  }
  return sum;
}

function totalOf(values: ArrayLike<number>): number {
  let total = 0;
  for (let at = 0; at < values.length; at += 1) {
    total += values[at]!;
  }
  return total;
}
