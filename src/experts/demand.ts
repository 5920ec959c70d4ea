/**
 * Demand for experts of a group, from the growth of its ranks' counters.
 *
 * Demand is steady for seconds and then changes at once, when other subjects
 * come up. A plain average is either noisy or slow to forget, so this one is
 * long, and is dropped as soon as the newest growth no longer fits it.
 */
import type {Demand} from './plan-types';
import type {Growth} from './types';

/** Age at which growth counts for half, in milliseconds. */
const HALF_LIFE_MS = 1_500;
/**
 * What is held against the average: the newest readings, so many at a time. The
 * more of them, the less their noise, and the later a drift is seen.
 */
const DRIFT_WINDOWS = [
  {readings: 1, noise: 0.14, factor: 1.8, margin: 0.06},
  {readings: 2, noise: 0.12, factor: 1.6, margin: 0.06},
] as const;
/**
 * Noise from which on the whole margin is added; beneath it a part. Small
 * drifts of a large group, whose readings hardly differ, count too.
 */
const FULL_MARGIN_NOISE = 0.07;
/** Least distance that is a drift: under it a new map is hardly a better one. */
const MIN_DRIFT = 0.04;
/** Weight of the newest distance in the usual one. */
const EWMA_ALPHA = 0.05;
/**
 * Distances after which their mean goes before what is written above: groups
 * differ by how much they work on, and a drift of a large one would pass for the
 * noise of a small one.
 */
const NOISE_WARM_UP_READINGS = 5;
/**
 * A reading with fewer tokens than this part of the usual is too thin to be
 * held against the average alone.
 */
const MIN_TOKEN_SHARE = 0.4;

/** What a reading told. */
export interface DemandUpdate {
  /** Share of the tokens that went elsewhere than the average says. */
  readonly distance: number;
  /** True where the average was dropped for the newest growth. */
  readonly hasDrifted: boolean;
}

export class RecentDemand {
  private sum: Float64Array | undefined;
  private lastAt = 0;
  private readonly newest: Growth[] = [];
  private readonly noiseByWindow = DRIFT_WINDOWS.map(
    one => new NoiseEstimate(one.noise),
  );
  private meanTokens = 0;

  constructor(private readonly sets: number) {}

  /** Takes the growth since the last reading; `now` is monotonic. */
  update(growth: Growth, now: number): DemandUpdate {
    const keep = 0.5 ** ((now - this.lastAt) / HALF_LIFE_MS);
    if (totalOf(growth) === 0) {
      return {distance: 0, hasDrifted: false};
    }
    this.lastAt = now;
    if (this.sum === undefined || this.sum.length !== growth.length) {
      this.reset([growth]);
      return {distance: 0, hasDrifted: false};
    }
    this.addToNewest(growth);
    const distances = DRIFT_WINDOWS.map((_, at) => this.distanceIn(at));
    const hasDrifted = distances.some((one, at) => this.isDrift(at, one));
    const distance = Math.max(...distances.map(one => one ?? 0));
    if (hasDrifted) {
      // Of a window that spans the change, the newest part is right.
      this.reset([growth]);
      return {distance, hasDrifted};
    }
    distances.forEach((one, at) => this.updateNoise(at, one));
    for (let at = 0; at < growth.length; at += 1) {
      this.sum[at] = this.sum[at]! * keep + growth[at]!;
    }
    return {distance, hasDrifted};
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

  private reset(growths: readonly Growth[]): void {
    this.sum = sumOf(growths);
    this.newest.splice(0, this.newest.length, ...growths);
  }

  private addToNewest(growth: Growth): void {
    this.newest.push(growth);
    const most = DRIFT_WINDOWS[DRIFT_WINDOWS.length - 1]!.readings;
    this.newest.splice(0, this.newest.length - most);
    const tokens = totalOf(growth);
    this.meanTokens += EWMA_ALPHA * (tokens - this.meanTokens);
  }

  /** Undefined where a window has too little in it to tell. */
  private distanceIn(at: number): number | undefined {
    const {readings} = DRIFT_WINDOWS[at]!;
    const window = this.newest.slice(-readings);
    const tokens = window.reduce((sum, growth) => sum + totalOf(growth), 0);
    const isThin = tokens < this.meanTokens * readings * MIN_TOKEN_SHARE;
    return window.length < readings || isThin
      ? undefined
      : this.distanceTo(window);
  }

  private isDrift(at: number, distance: number | undefined): boolean {
    const {factor, margin} = DRIFT_WINDOWS[at]!;
    const {mean: usual} = this.noiseByWindow[at]!;
    const added = margin * Math.min(usual / FULL_MARGIN_NOISE, 1);
    return (distance ?? 0) > Math.max(usual * factor + added, MIN_DRIFT);
  }

  private updateNoise(at: number, distance: number | undefined): void {
    if (distance !== undefined) {
      this.noiseByWindow[at]!.update(distance);
    }
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

/** How far readings usually are from the average of those before. */
class NoiseEstimate {
  private sum = 0;
  private count = 0;

  /** `usual`: until enough was seen. */
  constructor(public mean: number) {}

  update(distance: number): void {
    this.count += 1;
    if (this.count > NOISE_WARM_UP_READINGS) {
      this.mean += EWMA_ALPHA * (distance - this.mean);
      return;
    }
    this.sum += distance;
    if (this.count === NOISE_WARM_UP_READINGS) {
      this.mean = this.sum / this.count;
    }
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
