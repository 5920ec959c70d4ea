/** The routing configuration, independent of its format in the store. */

/**
 * Whether requests of a route may be retried: `safe` ones may, `unsafe` ones
 * may not, a `stream` only if it is resumable.
 */
export type RouteKind = 'safe' | 'unsafe' | 'stream';

/** A service and its relative share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** Handling of the requests with one host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Not empty. */
  readonly services: readonly WeightedService[];
  /** Milliseconds after which a request is given up. */
  readonly timeoutMs: number;
  /** Target latency, for a stream until its first event; 0: none. */
  readonly latencyObjectiveMs: number;
  /** Maximum gap between events of a stream; 0: none. */
  readonly pauseMs: number;
  /** Maximum number of targets that one request is sent to. */
  readonly attempts: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** True if no API key is required. */
  readonly isPublic: boolean;
  /** True if another target may continue a stream. */
  readonly isResumable: boolean;
}

/** Cost model of an engine's steps, from the operator's configuration. */
export interface EngineParameters {
  /** Maximum requests in a batch. */
  readonly slots: number;
  readonly stepMs: number;
  /** Step time added by each generating request. */
  readonly perSequenceMs: number;
  /** Step time added by 1,000 tokens of context of a generating request. */
  readonly perContextKMs: number;
  readonly promptTokensPerSecond: number;
  /** Maximum prompt tokens processed in one step. */
  readonly chunkTokens: number;
  /** Steps in a pass while any request is generating. */
  readonly stride: number;
  readonly meanPromptTokens: number;
  readonly meanAnswerTokens: number;
  readonly experts: ExpertParameters | undefined;
}

/** Placement of experts on the ranks of an engine's group. */
export interface ExpertParameters {
  /** Sets of layers that share a placement. */
  readonly sets: number;
  /** Experts in each set. */
  readonly experts: number;
  /** Maximum experts that a rank holds in a set. */
  readonly places: number;
  /** Maximum experts per set that one map change may add to a rank. */
  readonly spare: number;
  /** Fraction of a token's work that is done by experts. */
  readonly share: number;
  /** Milliseconds to copy one expert to a rank. */
  readonly copyMs: number;
  /**
   * Milliseconds until a group accepts requests once all its ranks are present.
   */
  readonly formMs: number;
}

export interface Service {
  readonly name: string;
  /** Maximum connections to one target, from all callers together. */
  readonly connectionLimit: number;
  /** Milliseconds for which a target is cold after its start; 0: unknown. */
  readonly coldStartMs: number;
  /** Requests per second that a cold target accepts; 0: never cold. */
  readonly coldPerSecond: number;
  readonly engine: EngineParameters | undefined;
}

export interface ClientAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the route's priority; undefined: does not. */
  readonly priority: number | undefined;
}

/** Limits on the size and duration of callers' requests. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One complete version of the configuration. */
export interface Snapshot {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Undefined: no request needs a key. */
  readonly accounts: readonly ClientAccount[] | undefined;
  readonly limits: CallerLimits;
}
