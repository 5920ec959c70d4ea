/** Types of request forwarding, independent of the protocol's header names. */
import type * as http from 'node:http';
import type {RetryAfterHeader} from '../http/retry-after';
import type {RateLimitHeader} from '../http/server-limit';
import type {StoreRevision} from '../platform/revisions';
import type {Route} from '../routes/types';

/** A process that serves requests of a service. */
export interface Target {
  /** Identifies the process; it may restart under the same id. */
  readonly id: string;
  /**
   * Identifies one run of the process, from start to exit. State kept about a
   * target belongs to one lifetime: a restarted process shares none of it.
   */
  readonly lifetime: string;
  readonly service: string;
  readonly address: string;
  readonly hall: string;
  /** Requests that it processes concurrently. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /** The store's revision of its entry; higher for a later lifetime. */
  readonly revision: StoreRevision;
  /** Increases with each write of its entry, also across the store's eras. */
  readonly sequence: number;
  /** Milliseconds for which it was still cold when its entry was written. */
  readonly coldRemainingMs: number;
  /** Group of lock-step ranks that it belongs to; undefined: none. */
  readonly group: string | undefined;
  /** Its rank in the group; undefined: unknown. */
  readonly rank: number | undefined;
}

/** What a request's headers say about its prompt. */
export interface Prompt {
  readonly promptTokens: number;
  readonly maxAnswerTokens: number;
  /** The caller's estimate of the answer's length; 0: none. */
  readonly expectedAnswerTokens: number;
}

/** A request as the caller sent it, without its body. */
export interface RequestHead {
  /** Identifies this attempt of the caller; echoed in the response. */
  readonly id: string;
  readonly method: string;
  /** Path and query, as sent. */
  readonly path: string;
  readonly host: string;
  readonly key: string | undefined;
  /** Milliseconds that the caller waits; undefined: not stated. */
  readonly timeLeftMs: number | undefined;
  readonly lastEventId: string | undefined;
  readonly prompt: Prompt | undefined;
  /** Ids of the prompt's parts that other requests may share, in order. */
  readonly sharedParts?: readonly string[];
  /** Headers as sent, alternating names and values. */
  readonly rawHeaders: readonly string[];
}

/** What is added to the caller's request for one target. */
export interface RequestMetadata {
  readonly targetId: string;
  readonly timeLeftMs: number;
  /** Client account of the key; undefined: none. */
  readonly account: string | undefined;
  /** Id after which to resume a stream; undefined: the caller's own. */
  readonly resumeAfterEventId: string | undefined;
  /** 0 is the highest; undefined: not stated to the target. */
  readonly priority: number | undefined;
}

/** Status and headers of a target's response. */
export interface ResponseHead {
  readonly status: number;
  /** Id of the request that the response claims to answer. */
  readonly requestId: string | undefined;
  /** The response carries the target's signature header. */
  readonly isSigned: boolean;
  /** The target states that it did not run the request. */
  readonly isNotRun: boolean;
  /** The body has a content encoding. */
  readonly isEncoded: boolean;
  /** The pause that the target asks for. */
  readonly retryAfter: RetryAfterHeader;
  /** The target says that it is shutting down. */
  readonly isLeaving: boolean;
  /** The target's rate limit; undefined: the response is another target's. */
  readonly rateLimit: RateLimitHeader | undefined;
  /** Neither length nor chunks: the body ends with the connection. */
  readonly isUnframed: boolean;
  /** Headers to pass on to the caller, alternating names and values. */
  readonly passedHeaders: readonly string[];
}

/** Why the entry itself answers a caller. Sent as JSON. */
export type Refusal =
  | {readonly kind: 'bad-request'; readonly detail: string}
  | {readonly kind: 'no-route'}
  | {readonly kind: 'unknown-key'}
  | {readonly kind: 'too-large'; readonly limitBytes: number}
  /** The time limit passed before the body was received; not run. */
  | {readonly kind: 'upload-timed-out'}
  /** Certainly not run by any target. `retryMs`: when to retry. */
  | {readonly kind: 'not-run'; readonly why: NotRunReason; retryMs: number}
  /**
   * It may have run, or its response was unusable. `retryMs`: when a caller
   * that may repeat it should retry; left out: at once.
   */
  | {
      readonly kind: 'failed';
      readonly why: FailureReason;
      readonly retryMs?: number;
    }
  /** The deadline passed after it was sent. */
  | {readonly kind: 'timed-out'};

export type NotRunReason =
  | 'no-configuration'
  | 'stale-configuration'
  /** The entry is stopping, and the answer would take longer than it has left. */
  | 'stopping'
  | 'no-target'
  | 'overloaded'
  /** The caller was slow to send the body, and too many bytes were held. */
  | 'slow-upload'
  /** All descriptors for connections to targets are in use. */
  | 'no-descriptors'
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
  | 'unproven-refusal'
  /** The entry stopped while a target worked on the request. */
  | 'stopping'
  /** The target was slow to read the body, and too many bytes were held. */
  | 'slow-target';

/** Translates between HTTP headers and these types. */
export abstract class Wire {
  /** Undefined if a mandatory header is missing. */
  abstract readRequest(req: http.IncomingMessage): RequestHead | undefined;
  /** Headers of the request to a target, alternating names and values. */
  abstract targetHeaders(head: RequestHead, to: RequestMetadata): string[];
  abstract readResponse(res: http.IncomingMessage): ResponseHead;
  /** Status and headers of a response that the entry itself makes. */
  abstract refusalHead(
    refusal: Refusal,
    requestId: string | undefined,
  ): {status: number; headers: string[]};
}

/** True if a request may run more than once. */
export function isRetrySafe(route: Route): boolean {
  return (
    route.kind === 'safe' || (route.kind === 'stream' && route.isResumable)
  );
}
