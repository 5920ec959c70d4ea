/** Input types for planning expert maps. */

/** By set, then by expert: tokens per second, or any other single unit. */
export type Demand = readonly Float64Array[];

/** By rank: factor by which its work takes longer than normal; 1 is normal. */
export type Slowness = readonly number[];

/** Limits of one map change. */
export interface PlanLimits {
  /** Maximum experts that a rank holds in a set. */
  readonly places: number;
  /** Maximum experts new to a rank in a set. */
  readonly spare: number;
  /** Maximum experts new to a rank over all sets. */
  readonly copiesPerRank: number;
  /** Minimum relief by a copy in its set, in multiples of the mean load. */
  readonly minRelief: number;
}
