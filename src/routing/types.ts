/** Inputs and outputs of routing policies. */
import type {Load} from '../targets/types';

/** A target that may be chosen. */
export interface Candidate {
  readonly id: string;
  readonly group: string;
  readonly hall: string;
  readonly load: Load;
  /** Milliseconds since the load was reported. */
  readonly loadAgeMs: number;
  /** Requests that this entry has sent since the report. */
  readonly unreported: number;
  /** Prompt tokens that this entry has sent since the report. */
  readonly unreportedTokens: number;
  /** This entry's requests in flight to the target. */
  readonly inFlight: number;
  /** Prompt tokens that the target is estimated to have cached. */
  readonly cachedTokens: number;
}

/** A request to be routed. */
export interface RoutedRequest {
  readonly account: string;
  /** Digest of the prompt's prefix; empty for services without prompts. */
  readonly prefix: string;
  readonly promptTokens: number;
  /** The entry's own hall. */
  readonly hall: string;
}

/** A candidate's score and its parts, in milliseconds. Stored as it is. */
export interface Scored {
  readonly id: string;
  readonly score: number;
  readonly waitMs: number;
  readonly prefillMs: number;
  readonly stepMs: number;
  readonly hallMs: number;
}

export interface Decision {
  readonly chosen: string;
  readonly weighed: readonly Scored[];
}

export abstract class Policy {
  /** `candidates` must not be empty. */
  abstract choose(
    request: RoutedRequest,
    candidates: readonly Candidate[],
  ): Decision;
}
