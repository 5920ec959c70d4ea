/**
 * How many requests a group of ranks may work on so that its passes stay
 * shorter than the pause that streams may have. All ranks make each pass
 * together; its length is the slowest rank's own part plus, for each set of
 * layers, the part of the rank with the most loaded experts. Pure.
 */
import type {EngineParameters} from '../routes/types';

/** What is known of a group that decides how long its passes are. */
export interface PassFactors {
  /** Ranks in the group. */
  readonly size: number;
  /** Most loaded rank over the mean, averaged over sets; 1 is even. */
  readonly imbalance: number;
  /** Of the slowest rank; 1 or more. */
  readonly slowness: number;
}

/** Requests of the fullest rank over the mean. */
const FULLEST_RANK_RATIO = 1.25;
/** Part of the pause that a pass may take: passes are not all alike. */
const PAUSE_SHARE = 0.93;
/**
 * Where fewer than this part of the slots could be used, the pause can't be
 * kept whatever is refused, and all are served as well as they can be.
 */
const MIN_SLOT_SHARE = 0.3;
/** Beyond the slots requests wait; a few fill places that become free. */
const MAX_SLOT_SHARE = 1.05;
const THOUSAND = 1_000;

/** Milliseconds of work that a request is to its rank in one pass. */
function workMsPerPass(engine: EngineParameters): number {
  const context = engine.meanPromptTokens + engine.meanAnswerTokens / 2;
  const step =
    engine.perSequenceMs + (engine.perContextKMs * context) / THOUSAND;
  const passes = Math.max(engine.meanAnswerTokens / engine.stride, 1);
  const readMs =
    engine.promptTokensPerSecond > 0
      ? (engine.meanPromptTokens / engine.promptTokensPerSecond) * THOUSAND
      : 0;
  return step * engine.stride + readMs / passes;
}

/** Milliseconds of a pass with so many requests a rank. */
export function passMs(
  engine: EngineParameters,
  pace: PassFactors,
  perRank: number,
): number {
  const share = engine.experts?.share ?? 0;
  const work = workMsPerPass(engine) * perRank;
  const fixed = engine.stepMs * engine.stride;
  const own = fixed + (1 - share) * work * FULLEST_RANK_RATIO;
  return Math.max(own, fixed * pace.slowness) + share * work * pace.imbalance;
}

/** Requests that the group may work on at once. */
export function maxRequests(
  engine: EngineParameters,
  pace: PassFactors,
  pauseMs: number,
): number {
  const {size} = pace;
  const full = engine.slots * size;
  const first = passMs(engine, pace, 0);
  const eachMs = passMs(engine, pace, engine.slots) - first;
  const left = pauseMs * PAUSE_SHARE - first;
  const timely = eachMs > 0 ? (left / eachMs) * full : full;
  const cap = full * MAX_SLOT_SHARE;
  return timely < full * MIN_SLOT_SHARE ? cap : Math.min(timely, cap);
}
