/** What a configuration of routes says, in the project's own terms. */

/** What may be repeated of a route's requests. */
export type RouteKind = 'safe' | 'unsafe' | 'stream';

/** A service that takes a share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** How requests of one host and path prefix are served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Not empty. */
  readonly services: readonly WeightedService[];
  /** Longest time that a request is held, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective; of a stream up to its first event. */
  readonly latencyObjectiveMs: number;
  /** Longest pause between events that keeps a stream in time. */
  readonly pauseMs: number;
  /** Targets that one request may be sent to. */
  readonly attempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Needs no API key. */
  readonly isPublic: boolean;
  /** A stream that another target may carry on. */
  readonly isResumable: boolean;
}

/** Costs of an engine's steps, as its operator states them. */
export interface EngineParameters {
  /** Requests in a batch. */
  readonly slots: number;
  readonly stepMs: number;
  /** Per request that is generating. */
  readonly perSequenceMs: number;
  /** Per 1,000 tokens of context of a request that is generating. */
  readonly perContextKMs: number;
  readonly promptTokensPerSecond: number;
  /** Prompt tokens read in one step, at most. */
  readonly chunkTokens: number;
  /** Steps in a pass while something is generating. */
  readonly stride: number;
  /** Mean tokens of a prompt and of an answer. */
  readonly meanPromptTokens: number;
  readonly meanAnswerTokens: number;
  readonly experts: ExpertParameters | undefined;
}

/** How experts lie on the ranks of an engine's group. */
export interface ExpertParameters {
  /** Sets of layers that share a placement. */
  readonly sets: number;
  /** Experts in each set. */
  readonly experts: number;
  /** Experts that a rank holds in a set, at most. */
  readonly places: number;
  /** Experts new to a rank in a set that one change may bring, at most. */
  readonly spare: number;
  /** Share of a token's work that is done by experts. */
  readonly share: number;
  /** Milliseconds to copy one expert to a rank. */
  readonly copyMs: number;
  /** Milliseconds until a group opens once all its ranks are there. */
  readonly formMs: number;
}

export interface Service {
  readonly name: string;
  /** Connections that one of its targets accepts from all callers. */
  readonly connectionLimit: number;
  readonly engine: EngineParameters | undefined;
}

export interface ClientAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the route's, where given. */
  readonly priority: number | undefined;
}

/** Bounds on what callers may send and how long it may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration, whole. */
export interface Snapshot {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Undefined: no request needs a key. */
  readonly accounts: readonly ClientAccount[] | undefined;
  readonly limits: CallerLimits;
}
