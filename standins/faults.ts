/** Faults that tests and trials set on a stand-in over `/standin/faults`. */
import type * as http from 'node:http';
import * as v from 'valibot';
import * as body from '../src/http/body';

export const platformFaultsSchema = v.partial(
  v.strictObject({
    /** No call is answered; connections are cut. */
    outage: v.boolean(),
    /** An outage begins after this many more writes. */
    outageAfterWrites: v.nullable(v.number()),
    /** Watches are not woken by changes. */
    hideWatches: v.boolean(),
    /** Writes that take effect but whose answer is cut. */
    loseAnswers: v.number(),
    /** Milliseconds before each answer. */
    delayMs: v.number(),
    /** Milliseconds by which the list of instances lags. */
    listLagMs: v.number(),
    /** Lists and reads are answered as of this revision. */
    staleRevision: v.nullable(v.number()),
  }),
);
export type PlatformFaults = Required<
  v.InferOutput<typeof platformFaultsSchema>
>;

export const engineFaultsSchema = v.partial(
  v.strictObject({
    /** The next streams are cut after this many events. */
    cutAfter: v.nullable(v.number()),
    /** Events are sent twice. */
    doubled: v.boolean(),
    /** Pairs of events change places. */
    reordered: v.boolean(),
    /** Milliseconds before each answer's head. */
    lateMs: v.number(),
    /** Factor on this rank's share of a step. */
    slowness: v.number(),
    /** Answers name another request. */
    foreign: v.boolean(),
    /** New chats are turned away with 503 and this Retry-After. */
    retryAfter: v.nullable(v.string()),
  }),
);
export type EngineFaults = Required<v.InferOutput<typeof engineFaultsSchema>>;

export const serviceFaultsSchema = v.partial(
  v.strictObject({
    /** Milliseconds that a run takes. */
    runMs: v.number(),
    /** The next runs take effect, but their connection is cut. */
    loseAnswers: v.number(),
    /** Calls answered with 500 without running. */
    failing: v.boolean(),
    /** Calls are turned away with 503 and this Retry-After. */
    retryAfter: v.nullable(v.string()),
  }),
);
export type ServiceFaults = Required<v.InferOutput<typeof serviceFaultsSchema>>;

/** Requests that a stand-in has turned away, asking for rest. */
export class RejectionLog {
  /** When they came, in Unix milliseconds. */
  private readonly arrivals: number[] = [];

  /** Turns a request away. */
  reject(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    retryAfter: string,
  ): void {
    this.arrivals.push(Date.now());
    req.resume();
    const headers = {'retry-after': retryAfter};
    body.sendJson(res, 503, {error: {message: 'rest is asked for'}}, headers);
  }

  /** Tells when they came. */
  sendArrivals(res: http.ServerResponse): void {
    body.sendJson(res, 200, {arrivals: this.arrivals});
  }
}
