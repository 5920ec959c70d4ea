/** What the estimates of the demand for a group's experts have in common. */
import type {Demand} from './plan-types';
import type {Growth} from './types';

export interface DemandUpdate {
  /** Share of tokens that went to other experts than the average predicts. */
  readonly distance: number;
  /** The average was reset to the newest growth. */
  readonly hasDrifted: boolean;
}

export abstract class DemandEstimate {
  protected sum: Float64Array | undefined;

  constructor(protected readonly sets: number) {}

  /** Adds the growth since the last reading; `now` is monotonic. */
  abstract update(growth: Growth, now: number): DemandUpdate;

  /** Tokens in the average, where older ones are discounted. */
  get total(): number {
    return this.sum === undefined ? 0 : totalOf(this.sum);
  }

  /** By set and expert; undefined before any growth. */
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

  /** Total variation distance, averaged over sets: 0 to 1. */
  protected distanceOf(newest: Growth, older: Growth): number {
    const experts = newest.length / this.sets;
    let distance = 0;
    for (let set = 0; set < this.sets; set += 1) {
      const from = set * experts;
      const newestTotal = totalOf(newest, from, from + experts) || 1;
      const olderTotal = totalOf(older, from, from + experts) || 1;
      for (let at = from; at < from + experts; at += 1) {
        const change = newest[at]! / newestTotal - older[at]! / olderTotal;
        distance += Math.abs(change) / 2;
      }
    }
    return distance / this.sets;
  }
}

export function totalOf(
  values: ArrayLike<number>,
  from = 0,
  end = values.length,
): number {
  let total = 0;
  for (let at = from; at < end; at += 1) {
    total += values[at]!;
  }
  return total;
}
