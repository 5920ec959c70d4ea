/** Inputs and results of expert placement. */
import type {ExpertMap} from '../groups/types';

/** Tokens per second by layer and expert, exponentially decayed. */
export type Demand = readonly Float64Array[];

/** The state of a group that a placement is planned for. */
export interface PolicyInput {
  readonly map: ExpertMap;
  readonly demand: Demand;
  /** By rank: time per token relative to the median rank, which is 1. */
  readonly slowness: readonly number[];
  /** Experts that a rank can hold in one layer. */
  readonly slotsPerLayer: number;
}

/** Weights of the skew saved against the experts moved. */
export interface PlacementWeights {
  /** Worth of each millisecond of skew saved in a step. */
  readonly skew: number;
  /** Cost of loading one expert, in the same unit. */
  readonly move: number;
  /** Steps over which saved skew is counted. */
  readonly horizonSteps: number;
  /** Milliseconds that one token per second adds to a rank's step. */
  readonly msPerDemand: number;
}

/** An expert that rank `to` must load. */
export interface Move {
  readonly layer: number;
  readonly expert: number;
  readonly to: number;
}

/** A new map and the experts that must be loaded for it. */
export interface Plan {
  /** By layer, by expert: the ranks that hold it. */
  readonly layers: number[][][];
  readonly moves: readonly Move[];
  /** Skew per step that the demand predicts for the old and the new map. */
  readonly skewBeforeMs: number;
  readonly skewAfterMs: number;
}

export abstract class PlacementPolicy {
  /** Returns null if the map in force should stay. */
  abstract plan(situation: PolicyInput, weights: PlacementWeights): Plan | null;
}
