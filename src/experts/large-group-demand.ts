/**
 * Estimates the demand for the experts of a large group as `RecentDemand` does,
 * but learns the noise from the distances between consecutive readings. With few
 * prompts these share most prompts and differ too little; with many, a drift among
 * the first readings doesn't hide the later ones.
 */
import * as statistics from '../statistics';
import {DemandEstimate, DemandUpdate, totalOf} from './demand-estimate';
import type {Growth} from './types';

const HALF_LIFE_MS = 1_500;
/** A new map would gain little after a smaller drift. */
const MIN_DRIFT = 0.04;
/** The same until the noise is known. */
const MIN_INITIAL_DRIFT = 0.11;
const EWMA_ALPHA = 0.05;
/** Distances between consecutive readings that the noise is estimated from. */
const MAX_DISTANCES = 25;
/**
 * Assumed in place of one distance at the start. Larger values miss drifts
 * that fall on the second reading.
 */
const INITIAL_NOISE = 0.075;
/** Distances from which their spread is known. */
const MIN_DISTANCES = 9;
/** Distance that counts as a drift, over the expected one, until then. */
const INITIAL_FACTOR = 1.9;
/**
 * Median deviations from the expected distance that count as a drift: few
 * prompts per reading make distances vary more than many.
 */
const DEVIATIONS = 8;
const MIN_FACTOR = 1.5;
const MAX_FACTOR = 2.4;
/** A window with a smaller share of the mean tokens is not compared. */
const MIN_TOKEN_SHARE = 0.4;

/** Newest readings and the average of those before them. */
interface Comparison {
  readonly newest: Growth;
  readonly average: Growth;
  readonly readings: number;
}

/** For groups with many prompts per reading. */
export class LargeGroupDemand extends DemandEstimate {
  /** `sum` without its newest reading; undefined: it has only that one. */
  private sumBefore: Float64Array | undefined;
  private lastAt = 0;
  /** The newest reading; undefined: none. */
  private last: Growth | undefined;
  private readonly noise = new NoiseEstimate();
  private meanTokens = 0;

  /** Adds the growth since the last reading; `now` is monotonic. */
  update(growth: Growth, now: number): DemandUpdate {
    const decay = 0.5 ** ((now - this.lastAt) / HALF_LIFE_MS);
    const tokens = totalOf(growth);
    if (tokens === 0) {
      return {distance: 0, hasDrifted: false};
    }
    this.lastAt = now;
    const {sum, last} = this;
    this.last = growth;
    if (
      sum === undefined ||
      last === undefined ||
      sum.length !== growth.length
    ) {
      this.reset(growth);
      return {distance: 0, hasDrifted: false};
    }
    this.meanTokens += EWMA_ALPHA * (tokens - this.meanTokens);
    this.noise.update(this.distanceOf(growth, last), growth, last);
    const comparisons = this.comparisonsOf(growth, sum, last);
    const distances = comparisons.map(one =>
      this.distanceOf(one.newest, one.average),
    );
    const hasDrifted = distances.some((one, at) =>
      this.isDrift(comparisons[at]!, one),
    );
    const distance = Math.max(0, ...distances);
    if (hasDrifted) {
      // A longer window may span the drift, so only the newest reading is kept.
      this.reset(growth);
      return {distance, hasDrifted};
    }
    this.sumBefore = sum;
    this.sum = sum.map((one, at) => one * decay + growth[at]!);
    return {distance, hasDrifted};
  }

  private reset(growth: Growth): void {
    this.sum = Float64Array.from(growth);
    this.sumBefore = undefined;
  }

  /** Of the newest reading and of the newest two, unless they have few tokens. */
  private comparisonsOf(
    growth: Growth,
    sum: Growth,
    last: Growth,
  ): readonly Comparison[] {
    const comparisons: Comparison[] = [
      {newest: growth, average: sum, readings: 1},
    ];
    if (this.sumBefore !== undefined) {
      const newest = Float64Array.from(last, (one, at) => one + growth[at]!);
      comparisons.push({newest, average: this.sumBefore, readings: 2});
    }
    return comparisons.filter(
      ({newest, readings}) =>
        totalOf(newest) >= this.meanTokens * readings * MIN_TOKEN_SHARE,
    );
  }

  private isDrift({newest, average}: Comparison, distance: number): boolean {
    const {noise} = this;
    const threshold = noise.distance(newest, average) * noise.factor;
    return distance > Math.max(threshold, noise.minDrift);
  }
}

/**
 * Distance between two samples of the same demand, from the distances between
 * consecutive readings. A drift appears in at most two of these, so their median
 * is correct also for a planner that starts just before a drift.
 */
class NoiseEstimate {
  /** Distances of readings with one token each, as if noise fell with 1 / sqrt. */
  private readonly units: number[] = [];
  private unit = 0;
  /** Distance that counts as a drift, over the expected one. */
  factor = INITIAL_FACTOR;
  minDrift = MIN_INITIAL_DRIFT;

  update(distance: number, newest: Growth, previous: Growth): void {
    const scale = scaleOf(newest, previous);
    if (this.units.length === 0) {
      this.units.push(INITIAL_NOISE / scale);
    }
    this.units.push(distance / scale);
    this.units.splice(0, this.units.length - MAX_DISTANCES);
    this.unit = statistics.median(this.units);
    if (this.units.length >= MIN_DISTANCES) {
      this.minDrift = MIN_DRIFT;
      const deviations = this.units.map(one => Math.abs(one - this.unit));
      const spread = statistics.median(deviations) / (this.unit || 1);
      const factor = 1 + spread * DEVIATIONS;
      this.factor = Math.min(Math.max(factor, MIN_FACTOR), MAX_FACTOR);
    }
  }

  /** Expected distance without a drift. */
  distance(newest: Growth, older: Growth): number {
    return this.unit * scaleOf(newest, older);
  }
}

function scaleOf(one: Growth, other: Growth): number {
  return Math.sqrt(1 / totalOf(one) + 1 / totalOf(other));
}
