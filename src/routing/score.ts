/**
 * Scores a candidate: estimated milliseconds that the request, and the group's
 * other requests because of it, would lose there.
 */
import type {Candidate, RoutedRequest, Scored} from './types';

/** Weights of the score. */
export interface ScoreSettings {
  /** Prefill time per prompt token. */
  readonly prefillMsPerToken: number;
  /** Round trip to another hall. */
  readonly hallMs: number;
  /** Steps over which a slow rank's excess time counts. */
  readonly skewSteps: number;
  /** Age of a load report at which its wait counts half. */
  readonly halfLifeMs: number;
}

export const DEFAULT_SCORE: ScoreSettings = {
  prefillMsPerToken: 0.05,
  hallMs: 3,
  skewSteps: 4,
  halfLifeMs: 1_000,
};

/** Scores one candidate; lower is better. */
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

/** The reported wait, decayed by age, plus the requests sent since. */
function waitMsOf(candidate: Candidate, cfg: ScoreSettings): number {
  const {load} = candidate;
  const weight = 0.5 ** (candidate.loadAgeMs / cfg.halfLifeMs);
  const own = Math.max(candidate.unreported, 0);
  const capacity = Math.max(load.capacity, 1);
  const perRequestMs = Math.max(load.stepMs, 1);
  const running = Math.max(load.running, candidate.inFlight);
  const share = (running + own) / capacity;
  const overflowMs = share >= 1 ? (share - 1) * capacity * perRequestMs : 0;
  return load.waitMs * weight + share * perRequestMs + overflowMs;
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
 * Milliseconds by which a rank's part nears or exceeds its group's step: work
 * added to the slowest rank delays every request of the group.
 */
function stepExcessMsOf(candidate: Candidate): number {
  const {rankMs, stepMs} = candidate.load;
  const SLOWEST_SHARE = 0.9;
  return stepMs > 0 && rankMs > SLOWEST_SHARE * stepMs
    ? rankMs - SLOWEST_SHARE * stepMs
    : 0;
}
