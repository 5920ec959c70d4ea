/**
 * What the admission queue needs of a request, and what it hands back. `V` is what
 * a request starts with, `R` its refusal.
 */
import type {CapacityShares} from '../capacity/types';
import type {Log} from '../observability/log';
import type {Metrics} from '../observability/metrics';
import type {Prediction, RefusalReason} from './service-queue';
import type {AdmissionOrder, WaitingRequest} from './types';

/** Why a request is refused because of the load. */
export interface RefusalDetails {
  readonly reason: RefusalReason;
  readonly waitedMs: number;
  readonly prediction: Prediction;
  /** What a request of its kind that arrives now would have to wait. */
  readonly newcomer: Prediction;
}

/** A try to start a request that didn't start it. */
export interface Blocked {
  readonly kind: 'blocked';
  /** `unavailable`: for a reason other than the load. */
  readonly why: 'capacity' | 'share' | 'unavailable';
  /** Other requests may start although this one can't. */
  readonly isOwn: boolean;
  /** When it is refused, whatever the queue predicts. */
  readonly waitsUntil: number;
  /** Predicted duration of a pass; undefined: no groups. */
  readonly passMs: number | undefined;
  /** Pools that it waits for. */
  readonly pools: readonly string[];
}

export interface Started<V> {
  readonly kind: 'started';
  readonly value: V;
  readonly pool: string;
}

export type Attempt<V> = Started<V> | Blocked;

/** A request to admit. */
export interface Admittee<V, R> extends WaitingRequest {
  readonly service: string;
  readonly bodyBytes: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Refusal of a caller that has disconnected. */
  readonly unanswered: R;
  /** Starts it if possible; `ahead`: requests whose permits it must leave. */
  tryStart(now: number, ahead: number): Attempt<V>;
  /** Its refusal. Undefined details: the service has no objective. */
  refuse(details: RefusalDetails | undefined): R;
}

/** The place of a request in flight; only the first release has effect. */
export interface Ticket {
  /** `isServed`: its duration counts for predictions. */
  release(isServed: boolean): void;
}

export interface Admitted<V> {
  readonly value: V;
  readonly ticket: Ticket;
}

/** Dependencies of admission. */
export interface AdmissionContext<V, R> {
  readonly shares: CapacityShares;
  /** Minimum share of the starts of each lower priority that waits. */
  readonly floorShare: number;
  /** True if routes of the service have an objective. */
  hasObjective(service: string): boolean;
  makeOrder(hasObjective: boolean): AdmissionOrder<Admittee<V, R>>;
  readonly log: Log;
  readonly metrics: Metrics;
}
