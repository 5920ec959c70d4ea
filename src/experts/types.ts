/** Groups of ranks in lock-step, and orders that change their expert map. */
import * as v from 'valibot';
import type {Result} from '../result';

/** By set of layers, by rank: the experts that the rank holds. */
export type ExpertMap = readonly (readonly (readonly number[])[])[];

const integer = v.pipe(v.number(), v.integer());

/** A map that every rank takes as the pass `step` begins. */
const armedMapSchema = v.object({version: integer, step: integer});
export type ArmedMap = v.InferOutput<typeof armedMapSchema>;

/** What a rank tells of itself. */
const rankStateSchema = v.object({
  group: v.string(),
  /** Rises each time the group forms; everything prepared is then gone. */
  epoch: integer,
  rank: integer,
  /** Unix milliseconds of the rank's start; left out where it isn't told. */
  born: v.optional(integer),
  /** Ranks in the group. */
  size: integer,
  isOpen: v.boolean(),
  /** The pass that began last. */
  step: integer,
  running: v.number(),
  waiting: v.number(),
  /** Version of the map in force. */
  mapVersion: integer,
  /** Version that was copied and may be armed. */
  prepared: v.nullable(integer),
  armed: v.nullable(armedMapSchema),
  /** The group does not begin this pass until it is released. */
  held: v.nullable(integer),
  /** How many times as long as it should the rank's work takes; 1 or more. */
  slowness: v.number(),
});
export type RankState = v.InferOutput<typeof rankStateSchema>;

/** Experts of one rank by set, under the map in force. */
const heldExpertsSchema = v.object({
  version: integer,
  experts: v.array(v.array(integer)),
});
export type HeldExperts = v.InferOutput<typeof heldExpertsSchema>;

/**
 * An order to arm another rank, as the sidecar that gave it remembers it. A
 * planner's own rank is armed this way, so that others can tell.
 */
const sentArmSchema = v.object({
  epoch: integer,
  rank: integer,
  version: integer,
  step: integer,
  /** The rank has answered that it is armed. */
  isConfirmed: v.boolean(),
});
export type SentArm = v.InferOutput<typeof sentArmSchema>;

/** What a planner reads of a rank. */
const rankReadingSchema = v.object({
  state: rankStateSchema,
  /**
   * The last arm that the rank's sidecar gave for another; null: none. Left
   * out where the sidecar can't tell, since it has started again meanwhile.
   */
  gave: v.optional(v.nullable(sentArmSchema)),
  /** Left out where it was not asked for. */
  held: v.optional(heldExpertsSchema),
});
export type RankReading = v.InferOutput<typeof rankReadingSchema>;

/**
 * What came of reading a rank. `silent`: its sidecar does not answer;
 * `no-rank`: its engine doesn't, or is in no group.
 */
export const readAnswerSchema = v.variant('kind', [
  v.object({kind: v.literal('read'), reading: rankReadingSchema}),
  v.object({kind: v.literal('deposed')}),
  v.object({kind: v.literal('no-rank')}),
  v.object({kind: v.literal('silent')}),
]);
export type ReadAnswer = v.InferOutput<typeof readAnswerSchema>;

/** A map and the version that names it in an epoch of its group. */
export interface VersionedMap {
  readonly version: number;
  readonly map: ExpertMap;
}

/** An order to one rank. All are refused in another epoch. */
export type Order =
  /** Copy what the map brings to this rank. */
  | {
      readonly kind: 'prepare';
      readonly epoch: number;
      readonly version: number;
      readonly map: ExpertMap;
      /** The map in force, which every sidecar should have. */
      readonly base: VersionedMap;
      /** Time that the copying should take, in milliseconds. */
      readonly expectedMs: number;
      /** Longest time that it may take. */
      readonly patienceMs: number;
    }
  /** Take a prepared map as a pass begins. */
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
  /** Keep the group from beginning a pass. */
  | {readonly kind: 'hold'; readonly epoch: number; readonly step: number}
  /** Let it begin. */
  | {readonly kind: 'release'; readonly epoch: number; readonly step: number};

export type OrderKind = Order['kind'];

/**
 * How an order ended. `no-answer`: it may have been taken, or may be carried
 * out seconds later. `deposed`: a newer planner has spoken to this rank.
 */
export type OrderResult = 'done' | 'refused' | 'no-answer' | 'deposed';

/** Tokens sent to each expert since a rank's start, all sets in a row. */
export interface ExpertCounts {
  /** The start that they count from; undefined: not told. */
  readonly born: number | undefined;
  readonly values: readonly number[];
}

export type EngineError = {readonly kind: 'no-answer'};

/** One rank's engine, as its own orders and reports go. */
export abstract class Engine {
  /** Undefined: it is not a rank of a group. */
  abstract state(): Promise<Result<RankState | undefined, EngineError>>;
  abstract counts(): Promise<Result<ExpertCounts, EngineError>>;
  abstract heldExperts(): Promise<Result<HeldExperts, EngineError>>;
  /** One try, without a wait for what it begins. */
  abstract order(order: Order): Promise<OrderResult>;
  abstract close(): void;
}

/** What a group's planner tells of it. */
export const groupViewSchema = v.object({
  /** By rank: requests that run or wait there. */
  requests: v.array(v.number()),
  /** Most loaded rank over the mean under the map in force; 1 is even. */
  imbalance: v.number(),
  /** Ranks whose work takes longer than it should. */
  slow: v.array(v.object({rank: integer, slowness: v.number()})),
});
export type GroupView = v.InferOutput<typeof groupViewSchema>;

/** Counters' growth by expert, all sets in a row. */
export type Growth = ArrayLike<number>;

/** What a reading should hold beside the state. */
export interface ReadOptions {
  readonly growth: boolean;
  /** The planner has finished what it found, and plans. */
  readonly planning: boolean;
  readonly held: boolean;
}

/**
 * The ranks of a group as a planner reaches them. Places are ranks: answers
 * come in the order of the places asked. Every order is carried out also where
 * single answers are lost.
 */
export abstract class Ranks {
  /** Ranks in the group. */
  abstract readonly size: number;
  abstract readStates(
    places: readonly number[],
  ): Promise<(RankState | undefined)[]>;
  /** Each rank is ordered by its own sidecar, which obeys the newest planner. */
  abstract order(
    places: readonly number[],
    order: Order,
  ): Promise<OrderResult[]>;
  /**
   * Each rank is ordered from an instance that is not its own, and whoever
   * orders others has its own rank ordered before. So an instance that stands
   * still keeps nothing to itself: the others can be ordered once more from
   * elsewhere, and what its own rank was told is known.
   */
  abstract orderRemotely(
    places: readonly number[],
    order: Order,
  ): Promise<OrderResult[]>;
  /** One rank is ordered by the sidecar of another. */
  abstract orderThrough(
    helper: number,
    place: number,
    order: Order,
  ): Promise<OrderResult>;

  /** Every place. */
  get all(): number[] {
    return Array.from({length: this.size}, (_, place) => place);
  }
}
