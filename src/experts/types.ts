/** Groups of ranks in lock-step, and orders that change their expert map. */
import type {Result} from '../result';

/** By set of layers, by rank: the experts that the rank holds. */
export type ExpertMap = readonly (readonly (readonly number[])[])[];

/** A map that every rank takes as the pass `step` begins. */
export interface ArmedMap {
  readonly version: number;
  readonly step: number;
}

/** What a rank tells of itself. */
export interface RankState {
  readonly group: string;
  /** Rises each time the group forms; everything prepared is then gone. */
  readonly epoch: number;
  readonly rank: number;
  /** Ranks in the group. */
  readonly size: number;
  readonly isOpen: boolean;
  /** The pass that began last. */
  readonly step: number;
  readonly running: number;
  readonly waiting: number;
  /** Version of the map in force. */
  readonly mapVersion: number;
  /** Version that was copied and may be armed. */
  readonly prepared: number | null;
  readonly armed: ArmedMap | null;
  /** The group does not begin this pass until it is released. */
  readonly held: number | null;
}

/** Experts of one rank by set, under the map in force. */
export interface HeldExperts {
  readonly version: number;
  readonly experts: readonly (readonly number[])[];
}

/** An order to one rank. All are refused in another epoch. */
export type Order =
  /** Copy what the map brings to this rank. */
  | {
      readonly kind: 'prepare';
      readonly epoch: number;
      readonly version: number;
      readonly map: ExpertMap;
      /** Longest time that the copying should take. */
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

export type EngineError = {readonly kind: 'no-answer'};

/** One rank's engine, as its own orders and reports go. */
export abstract class Engine {
  /** Undefined: it is not a rank of a group. */
  abstract state(): Promise<Result<RankState | undefined, EngineError>>;
  /** Tokens sent to each expert since the start, all sets in a row. */
  abstract counts(): Promise<Result<readonly number[], EngineError>>;
  abstract held(): Promise<Result<HeldExperts, EngineError>>;
  /** One try, without a wait for what it begins. */
  abstract order(order: Order): Promise<OrderResult>;
  abstract close(): void;
}

/** What a planner reads of a rank. */
export interface RankReading {
  readonly state: RankState;
  /** Undefined where they were not asked for. */
  readonly counts: readonly number[] | undefined;
  readonly held: HeldExperts | undefined;
}

/** What a reading should hold beside the state. */
export interface ReadWish {
  readonly counts: boolean;
  readonly held: boolean;
}

/** One rank as a planner reaches it. */
export abstract class RankLink {
  abstract read(wish: ReadWish): Promise<RankReading | 'deposed' | undefined>;
  /** Carries an order out, also where single answers are lost. */
  abstract order(order: Order): Promise<OrderResult>;
}
