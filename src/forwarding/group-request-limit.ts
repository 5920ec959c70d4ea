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
  /** Measured over predicted duration beyond that of an empty pass; 1 or more. */
  readonly correction: number;
}

/** Times that a route allows, in milliseconds; Infinity: any. */
export interface AllowedTimes {
  /** Between two events of a stream. */
  readonly pauseMs: number;
  /** For a whole stream. */
  readonly timeoutMs: number;
}

/**
 * What limits the requests of a group. in-time: the allowed pause. late: that
 * can't be kept, but the time limit of streams. minimum: neither can be kept.
 */
export type LimitReason = 'in-time' | 'late' | 'minimum';

export interface RequestLimit {
  /** Requests that the group may process at once. */
  readonly most: number;
  readonly limitedBy: LimitReason;
}

/** Estimated requests of all entries at a group. */
export interface RequestCounts {
  readonly requests: number;
  /** Those of them at ranks that may receive more. */
  readonly usableRequests: number;
}

/**
 * The limit of the ranks that may receive requests. `requests` counts those at
 * other ranks only as far as the limit by passes has no room for them.
 */
export interface UsableLimit extends RequestLimit, RequestCounts {}

/** Requests of the fullest rank over the mean. */
const FULLEST_RANK_RATIO = 1.25;
/** Share of the allowed pause that a pass may take; passes vary in length. */
const PAUSE_SHARE = 0.93;
/**
 * If the pause allows less than this share of the slots, it is ignored: it can't
 * be kept whatever is refused.
 */
const MIN_SLOT_SHARE = 0.3;
/**
 * Factor on that share for a return to the limit by the pause, where measured
 * passes correct the model: their noise would otherwise alternate the limits.
 */
const RETURN_FACTOR = 1.2;
/** Share of a stream's time limit in which one of mean length should complete. */
const TIMEOUT_SHARE = 0.7;
/**
 * Factor on the duration of an empty pass that is allowed where that alone
 * exceeds this time, as with slow ranks: there a few requests hardly shorten the
 * passes, and refusing more would only serve fewer.
 */
const SLOW_PASS_FACTOR = 1.15;
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
  const slowed = fixed * group.slowness;
  const whole = Math.max(own, slowed) + share * work * group.imbalance;
  return slowed + (whole - slowed) * group.correction;
}

/** Requests that ranks may get at once, whatever their passes allow. */
export function slotLimit(engine: EngineParameters, ranks: number): number {
  return engine.slots * ranks * MAX_SLOT_SHARE;
}

/**
 * Limits the requests of a group. `before`: the reason of the last limit for the
 * same times; undefined: none.
 */
export function limitRequests(
  engine: EngineParameters,
  group: PassFactors,
  allowed: AllowedTimes,
  before?: LimitReason,
): RequestLimit {
  const slots = engine.slots * group.size;
  const cap = slotLimit(engine, group.size);
  const minimum = slots * MIN_SLOT_SHARE;
  const isReturn =
    before !== undefined && before !== 'in-time' && group.correction > 1;
  const inTime = requestsWithin(engine, group, allowed.pauseMs * PAUSE_SHARE);
  if (inTime >= minimum * (isReturn ? RETURN_FACTOR : 1)) {
    return {most: Math.min(inTime, cap), limitedBy: 'in-time'};
  }
  const passes = engine.meanAnswerTokens / engine.stride + 1;
  const lateMs = Math.max(
    (allowed.timeoutMs * TIMEOUT_SHARE) / passes,
    passMs(engine, group, 0) * SLOW_PASS_FACTOR,
  );
  const late = requestsWithin(engine, group, lateMs);
  return late >= minimum
    ? {most: Math.min(late, cap), limitedBy: 'late'}
    : {most: minimum, limitedBy: 'minimum'};
}

/**
 * Limits requests to what the usable ranks may get at once. Requests at other
 * ranks lengthen passes, but use none of these slots.
 */
export function limitToUsable(
  limit: RequestLimit,
  maxUsable: number,
  {requests, usableRequests}: RequestCounts,
): UsableLimit {
  const most = Math.min(limit.most, maxUsable);
  return {
    most,
    limitedBy: limit.limitedBy,
    requests: Math.max(usableRequests, requests - (limit.most - most)),
    usableRequests,
  };
}

/** Requests with which a pass takes `ms`; negative if an empty one takes longer. */
function requestsWithin(
  engine: EngineParameters,
  group: PassFactors,
  ms: number,
): number {
  const slots = engine.slots * group.size;
  const emptyMs = passMs(engine, group, 0);
  const fullSlotsMs = passMs(engine, group, engine.slots) - emptyMs;
  return fullSlotsMs > 0 ? ((ms - emptyMs) / fullSlotsMs) * slots : slots;
}
