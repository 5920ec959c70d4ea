/** A request that waits for its start, as the admission decisions see it. */
export interface WaitingRequest {
  /** Client account; empty: none. */
  readonly account: string;
  /** Weight of the account among those of its rank. */
  readonly weight: number;
  /** Of its account, else of its route, as logged; 0 is the highest. */
  readonly priority: number;
  /** Position in the order by that and then by the route's; 0 is the first. */
  readonly rank: number;
  /** Expected work; all requests of a service use the same unit. */
  readonly cost: number;
  /** Monotonic milliseconds, as are the other times. */
  readonly arrivedAt: number;
  /** When its first event or its answer is due; Infinity: no objective. */
  readonly objectiveAt: number;
  /** When its caller gives up. */
  readonly deadlineAt: number;
  /** The caller has probably no attempt left. */
  readonly isRetry: boolean;
  /** A stream that has begun; it precedes all others and can't be refused. */
  readonly isStarted: boolean;
  /** Predicted time to the first event, in units of the service's pace. */
  readonly firstUnits: number;
  /** Predicted time to completion, in the same units. */
  readonly wholeUnits: number;
  /** It waits for a permit to send to a rate-limited target. */
  needsPermit: boolean;
}

/** Waiting requests that precede another one. */
export interface Ahead {
  /** Of a higher rank. */
  readonly higher: number;
  /** Of the same rank. */
  readonly same: number;
}

export function totalOf(ahead: Ahead): number {
  return ahead.higher + ahead.same;
}

export function sumOf(a: Ahead, b: Ahead): Ahead {
  return {higher: a.higher + b.higher, same: a.same + b.same};
}

/** Decides which waiting request of a service is next. Pure. */
export abstract class AdmissionOrder<T extends WaitingRequest> {
  abstract get size(): number;
  abstract push(item: T): void;
  /** Sorts the items into those that can be in time and late ones. */
  abstract classify(now: number, paceMs: number): void;
  /** Removes an item that doesn't start; false if it is not queued. */
  abstract remove(item: T): boolean;
  /**
   * The item to start next, without those in `skipped`. `paceMs`: duration of a
   * unit of predicted time.
   */
  abstract next(
    now: number,
    paceMs: number,
    skipped: ReadonlySet<T>,
  ): T | undefined;
  /** Removes an item that starts. */
  abstract start(item: T): void;
  /**
   * Items to which this one leaves places and permits that become free, as last
   * classified; one that is not queued counts as one that can be in time.
   */
  abstract countAhead(item: WaitingRequest): Ahead;
  /** Late items that precede this one among the late ones, once it is late. */
  abstract countLateAhead(item: WaitingRequest): Ahead;
  /** The item that would start last. */
  abstract last(now: number, paceMs: number): T | undefined;
  abstract items(): T[];
}
