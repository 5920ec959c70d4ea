/** What forwarding a request deals in, whatever is spoken on the wire. */
import type * as http from 'node:http';
import type {RetryAfterHeader} from '../http/retry-after';
import type {RateLimitHeader} from '../http/server-limit';
import type {StoreRevision} from '../platform/revisions';
import type {Route} from '../routes/types';

/** A process that serves requests of a service. */
export interface Target {
  /** Names the process; it may start again under the same id. */
  readonly id: string;
  /**
   * Names one lifetime of the process, by its id and its start. Whatever is
   * learnt of a target or sent to it belongs to a lifetime: the next one knows
   * and holds nothing of it.
   */
  readonly lifetime: string;
  readonly service: string;
  readonly address: string;
  readonly hall: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /** The store's revision of its entry; a later life has a higher one. */
  readonly revision: StoreRevision;
  /** Rises each time that it writes its entry, whatever the store's era. */
  readonly sequence: number;
  /** Group of ranks in lock-step that it belongs to; undefined: none. */
  readonly group: string | undefined;
  /** Its rank there; undefined: not told. */
  readonly rank: number | undefined;
}

/** What a request says of its prompt. */
export interface Prompt {
  readonly promptTokens: number;
  /** Most tokens that it wants. */
  readonly maxAnswerTokens: number;
  /** The caller's guess of how many it will be; 0: none. */
  readonly expectedAnswerTokens: number;
  /** The part that says what it is about; empty: unknown. */
  readonly subject: string;
}

/** A request as the caller sent it, without its body. */
export interface RequestHead {
  /** Names this try of the caller; it comes back in the answer. */
  readonly id: string;
  readonly method: string;
  /** With its query, as sent. */
  readonly path: string;
  readonly host: string;
  readonly key: string | undefined;
  /** Milliseconds that the caller waits; undefined: it did not say. */
  readonly timeLeftMs: number | undefined;
  readonly lastEventId: string | undefined;
  readonly prompt: Prompt | undefined;
  /** Headers as sent, names and values by turns. */
  readonly rawHeaders: readonly string[];
}

/** What is told to a target beside the caller's own request. */
export interface RequestMetadata {
  readonly targetId: string;
  readonly timeLeftMs: number;
  /** Client account that holds the key; undefined: none. */
  readonly account: string | undefined;
  /** Event after which a stream goes on; undefined: as the caller said. */
  readonly resumeAfterEventId: string | undefined;
}

/** What a target's answer says before its body. */
export interface ResponseHead {
  readonly status: number;
  /** The id that the answer claims to be for. */
  readonly requestId: string | undefined;
  /** The target vouches for the body. */
  readonly isSigned: boolean;
  /** The target states that it did not run the request. */
  readonly isNotRun: boolean;
  /** The body is not the target's own bytes. */
  readonly isEncoded: boolean;
  /** What the target asks for besides. */
  readonly retryAfter: RetryAfterHeader;
  /** The target says that it leaves. */
  readonly isLeaving: boolean;
  /** What the target names as its limit; undefined: it isn't its answer. */
  readonly rateLimit: RateLimitHeader | undefined;
  /** No length and no chunks: the end of the connection ends the body. */
  readonly isUnframed: boolean;
  /** Headers to pass on, names and values by turns. */
  readonly passedHeaders: readonly string[];
}

/** Why a caller gets an answer of our own. */
export type Refusal =
  | {readonly kind: 'bad-request'; readonly detail: string}
  | {readonly kind: 'no-route'}
  | {readonly kind: 'unknown-key'}
  | {readonly kind: 'too-large'; readonly limitBytes: number}
  /** Nothing was run and nothing will be. */
  | {readonly kind: 'not-run'; readonly why: NotRunReason; retryMs: number}
  /**
   * It may have run, or has run and its answer is of no use. `retryMs`: when a
   * caller that may repeat it had better come back; left out: at once.
   */
  | {
      readonly kind: 'failed';
      readonly why: FailureReason;
      readonly retryMs?: number;
    }
  /** Time ran out after it was sent. */
  | {readonly kind: 'timed-out'};

export type NotRunReason =
  | 'no-configuration'
  | 'stale-configuration'
  | 'stopping'
  | 'no-target'
  | 'overloaded'
  | 'target-full'
  | 'targets-resting'
  | 'targets-limited'
  | 'crashes-targets'
  | 'group-closed'
  | 'timed-out';

export type FailureReason =
  | 'connection-lost'
  | 'foreign-answer'
  | 'unsigned-answer'
  | 'broken-answer'
  | 'unproven-refusal';

/** Translates between a caller's or target's headers and these types. */
export abstract class Wire {
  /** Undefined where the request lacks what every request must carry. */
  abstract readRequest(req: http.IncomingMessage): RequestHead | undefined;
  /** Headers of the request to a target, names and values by turns. */
  abstract targetHeaders(head: RequestHead, to: RequestMetadata): string[];
  abstract readResponse(res: http.IncomingMessage): ResponseHead;
  /** Status and headers of an answer of our own. */
  abstract refusalHead(
    refusal: Refusal,
    requestId: string | undefined,
  ): {status: number; headers: string[]};
}

/** True where sending a request twice does no harm. */
export function isRetrySafe(route: Route): boolean {
  return (
    route.kind === 'safe' || (route.kind === 'stream' && route.isResumable)
  );
}
