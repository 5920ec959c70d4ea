/**
 * Estimates how many requests a group of ranks can process while its passes
 * stay shorter than the allowed pause of streams. All ranks make each pass
 * together: it lasts as long as the slowest rank's own part plus the part of
 * the rank whose experts are most loaded. Pure.
 */
import type {EngineParameters} from '../routes/types';

/** Properties of a group that determine the duration of its passes. */
export interface PassFactors {
  /** Ranks in the group. */
  readonly size: number;
  /** Load of the most loaded rank over the mean, averaged over sets; 1: even. */
  readonly imbalance: number;
  /** Actual over expected duration on the slowest rank; 1 or more. */
  readonly slowness: number;
}

/** Requests of the fullest rank over the mean. */
const FULLEST_RANK_RATIO = 1.25;
/** Share of the allowed pause that a pass may take; passes vary in length. */
const PAUSE_SHARE = 0.93;
/**
 * If the pause allows less than this share of the slots, it is ignored: it can't
 * be kept whatever is refused.
 */
const MIN_SLOT_SHARE = 0.3;
/** Maximum requests as a share of the slots; those above 1 wait for a slot. */
const MAX_SLOT_SHARE = 1.05;
const THOUSAND = 1_000;

/** Milliseconds that one request adds to a pass of its rank. */
function workMsPerPass(engine: EngineParameters): number {
  const context = engine.meanPromptTokens + engine.meanAnswerTokens / 2;
  const step =
    engine.perSequenceMs + (engine.perContextKMs * context) / THOUSAND;
  const passes = Math.max(engine.meanAnswerTokens / engine.stride, 1);
  const prefillMs =
    engine.promptTokensPerSecond > 0
      ? (engine.meanPromptTokens / engine.promptTokensPerSecond) * THOUSAND
      : 0;
  return step * engine.stride + prefillMs / passes;
}

/** Milliseconds of a pass with `perRank` requests on each rank. */
export function passMs(
  engine: EngineParameters,
  group: PassFactors,
  perRank: number,
): number {
  const share = engine.experts?.share ?? 0;
  const work = workMsPerPass(engine) * perRank;
  const fixed = engine.stepMs * engine.stride;
  const own = fixed + (1 - share) * work * FULLEST_RANK_RATIO;
  return Math.max(own, fixed * group.slowness) + share * work * group.imbalance;
}

/** Requests that the group may process at once. */
export function maxRequests(
  engine: EngineParameters,
  group: PassFactors,
  pauseMs: number,
): number {
  const {size} = group;
  const totalSlots = engine.slots * size;
  const emptyMs = passMs(engine, group, 0);
  const fullSlotsMs = passMs(engine, group, engine.slots) - emptyMs;
  const availableMs = pauseMs * PAUSE_SHARE - emptyMs;
  const withinPause =
    fullSlotsMs > 0 ? (availableMs / fullSlotsMs) * totalSlots : totalSlots;
  const cap = totalSlots * MAX_SLOT_SHARE;
  return withinPause < totalSlots * MIN_SLOT_SHARE
    ? cap
    : Math.min(withinPause, cap);
}
