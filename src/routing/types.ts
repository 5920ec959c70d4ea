/** What a routing decision is made from. */
import type {Load} from '../targets/types';

/** A target that could take the request. */
export interface Candidate {
  readonly id: string;
  readonly group: string;
  readonly hall: string;
  readonly load: Load;
  /** Milliseconds since the load was reported. */
  readonly loadAgeMs: number;
  /** Sent by this entry since the report. */
  readonly unreported: number;
  readonly unreportedTokens: number;
  /** This entry's requests that are at the target now. */
  readonly inFlight: number;
  /** Prompt tokens that the target is believed to hold. */
  readonly cachedTokens: number;
}

/** A request to be routed. */
export interface RoutedRequest {
  readonly account: string;
  /** Digest of the prompt's first part; empty for plain services. */
  readonly prefix: string;
  readonly promptTokens: number;
  /** The entry's own hall. */
  readonly hall: string;
}

/** A candidate with the parts of its score; all in milliseconds. */
export interface Scored {
  readonly id: string;
  readonly score: number;
  readonly waitMs: number;
  readonly prefillMs: number;
  readonly stepMs: number;
  readonly hallMs: number;
}

/** A decision, and what was weighed for it. */
export interface Decision {
  readonly chosen: string;
  readonly weighed: readonly Scored[];
}

/** A way to choose a target. */
export abstract class Policy {
  /** Candidates are not empty. */
  abstract choose(
    request: RoutedRequest,
    candidates: readonly Candidate[],
  ): Decision;
}
