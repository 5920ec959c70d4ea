/**
 * State of the ranks of a lock-step group, and the orders that change the
 * group's expert map. The schemas are part of the sidecars' RPC protocol.
 */
import * as v from 'valibot';
import type {Result} from '../result';

/** Indexed by set of layers, then by rank: the experts that the rank holds. */
export type ExpertMap = readonly (readonly (readonly number[])[])[];

const integer = v.pipe(v.number(), v.integer());

/** A map that the rank switches to when pass `step` begins. */
const armedMapSchema = v.object({version: integer, step: integer});
export type ArmedMap = v.InferOutput<typeof armedMapSchema>;

/** State that a rank reports. */
const rankStateSchema = v.object({
  group: v.string(),
  /** Increases each time the group forms, which discards prepared maps. */
  epoch: integer,
  rank: integer,
  /** Start of the rank, Unix milliseconds; absent if not reported. */
  born: v.optional(integer),
  /** Number of ranks in the group. */
  size: integer,
  isOpen: v.boolean(),
  /** Number of the pass that began last. */
  step: integer,
  running: v.number(),
  waiting: v.number(),
  /** Version of the active map. */
  mapVersion: integer,
  /** Version whose experts are copied, so that it can be armed; null: none. */
  prepared: v.nullable(integer),
  armed: v.nullable(armedMapSchema),
  /** Pass that the group does not begin before a release; null: not held. */
  held: v.nullable(integer),
  /** Duration of the rank's work over its normal duration; at least 1. */
  slowness: v.number(),
});
export type RankState = v.InferOutput<typeof rankStateSchema>;

/** Experts of one rank by set, under the active map. */
const heldExpertsSchema = v.object({
  version: integer,
  experts: v.array(v.array(integer)),
});
export type HeldExperts = v.InferOutput<typeof heldExpertsSchema>;

/**
 * The last arm order that a sidecar sent to another rank. The planner's own
 * rank is armed by another sidecar, so that a successor can learn the outcome
 * while the planner's instance is unreachable.
 */
const sentArmSchema = v.object({
  epoch: integer,
  rank: integer,
  version: integer,
  step: integer,
  /** The rank has acknowledged the order. */
  isConfirmed: v.boolean(),
});
export type SentArm = v.InferOutput<typeof sentArmSchema>;

/** A planner's reading of one rank. */
const rankReadingSchema = v.object({
  state: rankStateSchema,
  /**
   * The last arm order that the rank's sidecar sent to another rank; null:
   * none. Absent after a restart of the sidecar, until a planner has read the
   * rank with `planning` set.
   */
  gave: v.optional(v.nullable(sentArmSchema)),
  /** Absent if not requested or not answered. */
  held: v.optional(heldExpertsSchema),
});
export type RankReading = v.InferOutput<typeof rankReadingSchema>;

/**
 * Result of reading a rank. `deposed`: its sidecar has heard a planner with a
 * higher term; `silent`: its sidecar does not answer; `no-rank`: its engine
 * does not answer or is in no group.
 */
export const readAnswerSchema = v.variant('kind', [
  v.object({kind: v.literal('read'), reading: rankReadingSchema}),
  v.object({kind: v.literal('deposed')}),
  v.object({kind: v.literal('no-rank')}),
  v.object({kind: v.literal('silent')}),
]);
export type ReadAnswer = v.InferOutput<typeof readAnswerSchema>;

/** A map and its version, which is unique within an epoch of the group. */
export interface VersionedMap {
  readonly version: number;
  readonly map: ExpertMap;
}

/** An order to one rank, which refuses it in any other epoch. */
export type Order =
  /** Copy the experts that the map adds to this rank. */
  | {
      readonly kind: 'prepare';
      readonly epoch: number;
      readonly version: number;
      readonly map: ExpertMap;
      /** Active map; `map` is sent as its difference from this one. */
      readonly base: VersionedMap;
      /** Expected duration of the copy, in milliseconds. */
      readonly expectedMs: number;
      /** Timeout of the copy, in milliseconds. */
      readonly patienceMs: number;
    }
  /** Switch to a prepared map when pass `step` begins. */
  | {
      readonly kind: 'arm';
      readonly epoch: number;
      readonly version: number;
      readonly step: number;
    }
  | {
      readonly kind: 'disarm';
      readonly epoch: number;
      readonly version: number;
    }
  /** Keep the group from beginning pass `step`. */
  | {readonly kind: 'hold'; readonly epoch: number; readonly step: number}
  /** Let the group begin pass `step`. */
  | {readonly kind: 'release'; readonly epoch: number; readonly step: number};

export type OrderKind = Order['kind'];

/**
 * Result of an order. `no-answer`: the order may have been carried out, or may
 * still be, seconds later. `deposed`: the sidecar has heard a planner with a higher
 * term, or the time for retries is over.
 */
export type OrderResult = 'done' | 'refused' | 'no-answer' | 'deposed';

/** Tokens sent to each expert since the rank started, sets concatenated. */
export interface ExpertCounts {
  /** Start of the rank, Unix milliseconds; undefined: not reported. */
  readonly born: number | undefined;
  readonly values: readonly number[];
}

export type EngineError = {readonly kind: 'no-answer'};

/** Client of one rank's engine. */
export abstract class Engine {
  /** Undefined: the engine is not a rank of a group. */
  abstract state(): Promise<Result<RankState | undefined, EngineError>>;
  abstract counts(): Promise<Result<ExpertCounts, EngineError>>;
  abstract heldExperts(): Promise<Result<HeldExperts, EngineError>>;
  /** Sends the order once, and does not wait for a copy that it starts. */
  abstract order(order: Order): Promise<OrderResult>;
  abstract close(): void;
}

/** A planner's summary of its group. */
export const groupViewSchema = v.object({
  /** By rank: running and waiting requests. */
  requests: v.array(v.number()),
  /** Load of the most loaded rank over the mean, under the active map. */
  imbalance: v.number(),
  /** Ranks whose work takes markedly longer than it should. */
  slow: v.array(v.object({rank: integer, slowness: v.number()})),
});
export type GroupView = v.InferOutput<typeof groupViewSchema>;

/** Increase of the counters by expert, sets concatenated. */
export type Growth = ArrayLike<number>;

/** What a reading includes besides the state. */
export interface ReadOptions {
  readonly growth: boolean;
  /** The planner has settled what its predecessor left unfinished. */
  readonly planning: boolean;
  readonly held: boolean;
}

/**
 * A planner's access to the ranks of its group. Results come in the order of
 * the ranks passed in; an order that gets no answer is sent again.
 */
export abstract class Ranks {
  /** Number of ranks in the group. */
  abstract readonly size: number;
  abstract readStates(
    ranks: readonly number[],
  ): Promise<(RankState | undefined)[]>;
  /** Orders each rank through its own sidecar. */
  abstract order(
    ranks: readonly number[],
    order: Order,
  ): Promise<OrderResult[]>;
  /**
   * Orders each rank from an instance other than its own; an instance that
   * orders others has had its own rank ordered before. If it freezes, its own
   * rank's order is known elsewhere, and the others can be ordered again from
   * there.
   */
  abstract orderRemotely(
    ranks: readonly number[],
    order: Order,
  ): Promise<OrderResult[]>;
  /** Orders a rank through the sidecar of another. */
  abstract orderThrough(
    helper: number,
    rank: number,
    order: Order,
  ): Promise<OrderResult>;

  /** Every rank. */
  get all(): number[] {
    return Array.from({length: this.size}, (_, rank) => rank);
  }
}
