/** What plans of expert maps start from. */

/** Tokens a second, or any one unit, by set and expert. */
export type Demand = readonly Float64Array[];

/** By rank: how many times as long as it should its work takes. */
export type Slowness = readonly number[];

/** Bounds of one change. */
export interface PlanLimits {
  /** Experts that a rank holds in a set, at most. */
  readonly places: number;
  /** Experts new to a rank in a set, at most. */
  readonly spare: number;
  /** Experts new to a rank over all sets, at most: copies take turns. */
  readonly copiesPerRank: number;
  /** Least relief that a copy must bring, in shares of the mean load. */
  readonly minRelief: number;
}
