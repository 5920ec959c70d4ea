/**
 * Estimates the demand for a group's experts from the growth of its ranks'
 * counters.
 *
 * Demand is steady for seconds and then shifts abruptly, so the estimate is a
 * long exponential average that is reset once the newest growth deviates from
 * it.
 */
import {DemandEstimate, DemandUpdate, totalOf} from './demand-estimate';
import type {Growth} from './types';

const HALF_LIFE_MS = 1_500;
/**
 * Windows of the newest readings that are compared with the average. A longer
 * window has less noise and detects a drift later.
 */
const DRIFT_WINDOWS = [
  {readings: 1, noise: 0.14, factor: 1.8, margin: 0.06},
  {readings: 2, noise: 0.12, factor: 1.6, margin: 0.06},
] as const;
/**
 * Below this noise the margin shrinks in proportion, to detect small drifts of
 * a large group, whose readings hardly differ.
 */
const FULL_MARGIN_NOISE = 0.07;
/** A new map would gain little after a smaller drift. */
const MIN_DRIFT = 0.04;
const EWMA_ALPHA = 0.05;
/**
 * Readings whose mean distance replaces a window's initial noise: a drift in a
 * large group can be as small as the noise in a small one.
 */
const NOISE_WARM_UP_READINGS = 5;
/**
 * A window with a smaller share of the mean tokens is not compared: it holds
 * too little to be compared with the average alone.
 */
const MIN_TOKEN_SHARE = 0.4;

export class RecentDemand extends DemandEstimate {
  private lastAt = 0;
  private readonly newest: Growth[] = [];
  private readonly noiseByWindow = DRIFT_WINDOWS.map(
    one => new NoiseEstimate(one.noise),
  );
  private meanTokens = 0;

  /** Adds the growth since the last reading; `now` is monotonic. */
  update(growth: Growth, now: number): DemandUpdate {
    const decay = 0.5 ** ((now - this.lastAt) / HALF_LIFE_MS);
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
      // A longer window may span the drift, so only the newest reading is kept.
      this.reset([growth]);
      return {distance, hasDrifted};
    }
    distances.forEach((one, at) => this.updateNoise(at, one));
    for (let at = 0; at < growth.length; at += 1) {
      this.sum[at] = this.sum[at]! * decay + growth[at]!;
    }
    return {distance, hasDrifted};
  }

  private reset(growths: readonly Growth[]): void {
    this.sum = sumOf(growths);
    this.newest.splice(0, this.newest.length, ...growths);
  }

  private addToNewest(growth: Growth): void {
    this.newest.push(growth);
    const maxReadings = DRIFT_WINDOWS[DRIFT_WINDOWS.length - 1]!.readings;
    this.newest.splice(0, this.newest.length - maxReadings);
    const tokens = totalOf(growth);
    this.meanTokens += EWMA_ALPHA * (tokens - this.meanTokens);
  }

  /** Undefined if the window is incomplete or has too few tokens. */
  private distanceIn(at: number): number | undefined {
    const {readings} = DRIFT_WINDOWS[at]!;
    const window = this.newest.slice(-readings);
    const tokens = window.reduce((sum, growth) => sum + totalOf(growth), 0);
    const isThin = tokens < this.meanTokens * readings * MIN_TOKEN_SHARE;
    return window.length < readings || isThin
      ? undefined
      : this.distanceOf(sumOf(window), this.sum!);
  }

  private isDrift(at: number, distance: number | undefined): boolean {
    const {factor, margin} = DRIFT_WINDOWS[at]!;
    const {mean} = this.noiseByWindow[at]!;
    const added = margin * Math.min(mean / FULL_MARGIN_NOISE, 1);
    return (distance ?? 0) > Math.max(mean * factor + added, MIN_DRIFT);
  }

  private updateNoise(at: number, distance: number | undefined): void {
    if (distance !== undefined) {
      this.noiseByWindow[at]!.update(distance);
    }
  }
}

/** Mean distance of readings from the average of those before. */
class NoiseEstimate {
  private sum = 0;
  private count = 0;

  /** `mean` starts as the value that applies during the warm-up. */
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
