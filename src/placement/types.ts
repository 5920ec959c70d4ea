/** Where experts sit, what is asked of them, and what a move costs. */
import type {ExpertMap} from '../groups/types';

/** Tokens a second by layer and expert, decayed. */
export type Demand = readonly Float64Array[];

/** What a placement is made for. */
export interface PlacementInput {
  readonly map: ExpertMap;
  readonly demand: Demand;
  /** By rank: time for one token relative to the others; 1 is normal. */
  readonly slowness: readonly number[];
  /** Experts that a rank can hold in one layer. */
  readonly slotsPerLayer: number;
}

/** How a fleet weighs the two measures. */
export interface PlacementWeights {
  /** Worth of a millisecond of skew saved, per step. */
  readonly skew: number;
  /** Price of one expert loaded, in the same unit. */
  readonly move: number;
  /** Steps over which a gain is counted. */
  readonly horizonSteps: number;
  /** Milliseconds that one token a second adds to a rank's step. */
  readonly msPerDemand: number;
}

/** One expert that a rank has to load. */
export interface Move {
  readonly layer: number;
  readonly expert: number;
  readonly to: number;
}

/** A map to change to, and what has to be loaded for it. */
export interface Plan {
  /** By layer, by expert: the ranks that hold it. */
  readonly layers: number[][][];
  readonly moves: readonly Move[];
  /** Skew before and after, by the demand, in milliseconds. */
  readonly skewBeforeMs: number;
  readonly skewAfterMs: number;
}

/** A way to place experts. */
export abstract class PlacementPolicy {
  /** Null: the map in force stays. */
  abstract plan(
    situation: PlacementInput,
    weights: PlacementWeights,
  ): Plan | null;
}
