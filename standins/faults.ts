/** Faults that tests inject into the stand-ins through `/standin/faults`. */
import type * as http from 'node:http';
import * as v from 'valibot';
import * as body from '../src/http/body';

export const platformFaultsSchema = v.partial(
  v.strictObject({
    /** Connections are closed without a response. */
    outage: v.boolean(),
    /** An outage begins after this many further writes; null: none. */
    outageAfterWrites: v.nullable(v.number()),
    /** Changes do not wake pending watches. */
    hideWatches: v.boolean(),
    /** Number of upcoming writes that take effect but get no response. */
    loseAnswers: v.number(),
    /** Delay of each response. */
    delayMs: v.number(),
    /** Delay until a change of the list of instances is visible. */
    listLagMs: v.number(),
    /** Reads and lists return the objects as of this revision; null: current. */
    staleRevision: v.nullable(v.number()),
  }),
);
export type PlatformFaults = Required<
  v.InferOutput<typeof platformFaultsSchema>
>;

export const engineFaultsSchema = v.partial(
  v.strictObject({
    /** The next stream that reaches this many events is cut; null: none. */
    cutAfter: v.nullable(v.number()),
    /** Each event is sent twice. */
    doubled: v.boolean(),
    /** Each pair of events is sent in reverse order. */
    reordered: v.boolean(),
    /** Delay of the response to a new chat. */
    lateMs: v.number(),
    /** Factor on this rank's step time. */
    slowness: v.number(),
    /** Responses carry another request's name. */
    foreign: v.boolean(),
    /** New chats are rejected with 503 and this Retry-After; null: none. */
    retryAfter: v.nullable(v.string()),
  }),
);
export type EngineFaults = Required<v.InferOutput<typeof engineFaultsSchema>>;

export const serviceFaultsSchema = v.partial(
  v.strictObject({
    /** Duration of a run. */
    runMs: v.number(),
    /** Number of upcoming runs that take effect but get no response. */
    loseAnswers: v.number(),
    /** Calls get 500 and do not run. */
    failing: v.boolean(),
    /** Calls are rejected with 503 and this Retry-After; null: none. */
    retryAfter: v.nullable(v.string()),
  }),
);
export type ServiceFaults = Required<v.InferOutput<typeof serviceFaultsSchema>>;

/** Rejects requests with Retry-After and records when they arrived. */
export class RejectionLog {
  /** Unix milliseconds. */
  private readonly arrivals: number[] = [];

  reject(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    retryAfter: string,
  ): void {
    this.arrivals.push(Date.now());
    req.resume();
    const headers = {'retry-after': retryAfter};
    body.sendJson(
      res,
      503,
      {error: {message: 'stand-in set to reject requests'}},
      headers,
    );
  }

  sendArrivals(res: http.ServerResponse): void {
    body.sendJson(res, 200, {arrivals: this.arrivals});
  }
}
