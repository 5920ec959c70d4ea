/**
 * The score of a candidate: milliseconds that the request, and the group's
 * other requests through it, would lose there.
 */
import type {Candidate, RoutedRequest, Scored} from './types';

/** Weights of the score. */
export interface ScoreSettings {
  /** Time to read one prompt token. */
  readonly prefillMsPerToken: number;
  /** What a hop to another hall costs, both ways. */
  readonly hallMs: number;
  /** Steps for which a slow rank's excess is charged to the request. */
  readonly skewSteps: number;
  /** Time that a report older than this is trusted with, in full. */
  readonly halfLifeMs: number;
}

export const DEFAULT_SCORE: ScoreSettings = {
  prefillMsPerToken: 0.05,
  hallMs: 3,
  skewSteps: 4,
  halfLifeMs: 1_000,
};

/** Scores one candidate; the lowest is the best. */
export function score(
  request: RoutedRequest,
  candidate: Candidate,
  cfg: ScoreSettings,
): Scored {
  const waitMs = waitMsOf(candidate, cfg);
  const prefillMs = prefillMsOf(request, candidate, cfg);
  const stepMs = stepExcessMsOf(candidate) * cfg.skewSteps;
  const hallMs = candidate.hall === request.hall ? 0 : cfg.hallMs;
  return {
    id: candidate.id,
    score: waitMs + prefillMs + stepMs + hallMs,
    waitMs,
    prefillMs,
    stepMs,
    hallMs,
  };
}

/** The reported wait fades with its age; what was sent since is added. */
function waitMsOf(candidate: Candidate, cfg: ScoreSettings): number {
  const {load} = candidate;
  const trust = 0.5 ** (candidate.loadAgeMs / cfg.halfLifeMs);
  const own = Math.max(candidate.unreported, 0);
  const seats = Math.max(load.capacity, 1);
  const perRequestMs = Math.max(load.stepMs, 1);
  const running = Math.max(load.running, candidate.inFlight);
  const share = (running + own) / seats;
  const isFull = share >= 1 ? (share - 1) * seats * perRequestMs : 0;
  return load.waitMs * trust + share * perRequestMs + isFull;
}

function prefillMsOf(
  request: RoutedRequest,
  candidate: Candidate,
  cfg: ScoreSettings,
): number {
  const queued = candidate.load.prefillTokens + candidate.unreportedTokens;
  const own = Math.max(request.promptTokens - candidate.cachedTokens, 0);
  return (queued + own) * cfg.prefillMsPerToken;
}

/**
 * How much a rank exceeds the rest of its group's step: work added to the
 * slowest rank makes every request of the group wait.
 */
function stepExcessMsOf(candidate: Candidate): number {
  const {rankMs, stepMs} = candidate.load;
  const SLOWEST_SHARE = 0.9;
  return stepMs > 0 && rankMs > SLOWEST_SHARE * stepMs
    ? rankMs - SLOWEST_SHARE * stepMs
    : 0;
}
