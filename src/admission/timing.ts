/**
 * Until when a waiting request is worth starting, and how long it will wait.
 * Times are monotonic milliseconds. Pure.
 */
import type {EngineParameters} from '../routes/types';
import type {Ahead, WaitingRequest} from './types';

/**
 * Maximum wait of a request that is served late. Callers abandon a stream after
 * two seconds without events, and the first event takes a part of that.
 */
export const MAX_LATE_WAIT_MS = 1_200;
/** Callers abandon a request that has been silent for that long. */
const MAX_SILENCE_MS = 2_000;
/** The same as a multiple of the objective, if that is longer. */
const MAX_SILENCE = 4;
/**
 * Part of its objective for which a request counts as one that can be in time,
 * whatever the measured durations predict: slow answers would otherwise make all
 * requests late on arrival, and places would go to whichever arrives next,
 * whatever its rank.
 */
const MIN_TIMELY_SHARE = 0.25;
/**
 * Before the end of its wait, in which a caller's retry is not held to the share of
 * its entry, and no prediction refuses it: it has no attempt left.
 */
export const LAST_TRY_MS = 180;
/** Minimum time left for another send. */
export const MIN_TIME_LEFT_MS = 20;
/**
 * Margin of the expected length of an answer in deciding that it can't be
 * completed; callers' hints are often off by this factor.
 */
const LENGTH_MARGIN = 2;
/** Cost of a token of the answer; a prompt's tokens are read many at a time. */
const ANSWER_TOKEN_COST = 10;
/**
 * Margin of the predicted wait of a request that arrives: later requests of
 * accounts that are behind in their shares overtake it.
 */
export const ARRIVAL_MARGIN = 1.5;
/**
 * A waiting request is refused by prediction only where the predicted wait is
 * longer than what is left by this factor: rates observed over a second vary.
 */
export const WAITING_TOLERANCE = 1.5;
/**
 * The same for a caller's retry, which has no attempt left: served late is better
 * than not at all.
 */
export const RETRY_TOLERANCE = 3;
const SECOND_MS = 1_000;

/** What a request's headers say about its length, in tokens. */
export interface PromptSize {
  readonly promptTokens: number;
  readonly maxAnswerTokens: number;
  /** 0: unknown. */
  readonly expectedAnswerTokens: number;
}

/** Work of a request, in units of the service's pace and as a cost. */
export interface Work {
  readonly firstUnits: number;
  readonly wholeUnits: number;
  readonly cost: number;
}

/** A request of a service without an engine: it takes one mean duration. */
export const PLAIN_WORK: Work = {firstUnits: 1, wholeUnits: 1, cost: 1};

/** Work of a stream; its units are passes of the engine's group. */
export function streamWork(
  engine: EngineParameters | undefined,
  prompt: PromptSize | undefined,
): Work {
  const promptTokens = prompt?.promptTokens || engine?.meanPromptTokens || 0;
  const hint = prompt?.expectedAnswerTokens || engine?.meanAnswerTokens || 0;
  const most = prompt?.maxAnswerTokens || Infinity;
  const answerTokens = Math.min(hint, most);
  const cost = Math.max(promptTokens + ANSWER_TOKEN_COST * answerTokens, 1);
  if (engine === undefined) {
    return {firstUnits: 0, wholeUnits: 0, cost};
  }
  const perPass = engine.chunkTokens * engine.stride;
  const firstUnits = 1 + (perPass > 0 ? Math.ceil(promptTokens / perPass) : 1);
  const answerUnits = answerTokens / LENGTH_MARGIN / engine.stride;
  return {firstUnits, wholeUnits: firstUnits + answerUnits, cost};
}

/** Latest start with which the request meets its objective. */
export function lastTimelyStart(item: WaitingRequest, paceMs: number): number {
  const {arrivedAt, objectiveAt, firstUnits, isStarted} = item;
  if (isStarted || objectiveAt === Infinity) {
    return Infinity;
  }
  const timely = objectiveAt - firstUnits * paceMs;
  return isMeasured(item)
    ? Math.max(timely, arrivedAt + (objectiveAt - arrivedAt) * MIN_TIMELY_SHARE)
    : timely;
}

/** Latest start after which its caller still takes the whole answer. */
export function lastUsefulStart(item: WaitingRequest, paceMs: number): number {
  const {arrivedAt, objectiveAt, deadlineAt, isStarted} = item;
  const maxWaitBy = arrivedAt + MAX_LATE_WAIT_MS;
  const latest = deadlineAt - MIN_TIME_LEFT_MS;
  if (isStarted) {
    return Math.min(maxWaitBy, latest);
  }
  const completed = deadlineAt - item.wholeUnits * paceMs;
  if (objectiveAt === Infinity) {
    return Math.min(maxWaitBy, completed, latest);
  }
  const timely = lastTimelyStart(item, paceMs);
  const late = Math.min(maxWaitBy, silenceEnd(item) - item.firstUnits * paceMs);
  // Measured durations limit the wait, but not before it is late.
  const possible = isMeasured(item) ? Math.max(completed, timely) : completed;
  return Math.min(Math.max(timely, late), possible, latest);
}

/** When its caller abandons a request of which nothing has arrived. */
function silenceEnd({arrivedAt, objectiveAt}: WaitingRequest): number {
  const objectiveMs = objectiveAt - arrivedAt;
  return arrivedAt + Math.max(MAX_SILENCE_MS, MAX_SILENCE * objectiveMs);
}

/**
 * True if its times are predicted from measured durations: its first event is its
 * whole answer.
 */
function isMeasured({firstUnits, wholeUnits}: WaitingRequest): boolean {
  return firstUnits === wholeUnits;
}

/** Starts per second of a service. */
export interface StartRates {
  readonly perSecond: number;
  /** Of these, starts of higher ranks in time, which overtake. */
  readonly higherPerSecond: number;
}

/**
 * Starts per second that a rank gets. `floorShare`: minimum share of the starts
 * that each lower rank gets.
 */
export function perSecondFor(rates: StartRates, floorShare: number): number {
  return Math.max(
    rates.perSecond - rates.higherPerSecond,
    leastPerSecond(rates, floorShare),
  );
}

/** Predicted wait in milliseconds; undefined without a rate. */
export function predictWaitMs(
  ahead: Ahead,
  rates: StartRates,
  floorShare: number,
): number | undefined {
  if (rates.perSecond <= 0) {
    return undefined;
  }
  // The next start comes after half an interval on average.
  const own = ahead.same + 0.5;
  const seconds = Math.min(
    (ahead.higher + own) / perSecondFor(rates, floorShare),
    own / leastPerSecond(rates, floorShare),
  );
  return seconds * SECOND_MS;
}

/** Wait behind so many requests in milliseconds; Infinity without starts. */
export function waitMsAt(ahead: number, perSecond: number): number {
  return ((ahead + 0.5) / perSecond) * SECOND_MS;
}

/**
 * True if a predicted wait is within the time left: with a margin for a new
 * request, with a tolerance for one that waits already.
 */
export function isWithin(
  waitMs: number,
  leftMs: number,
  isNew: boolean,
): boolean {
  return isNew
    ? waitMs * ARRIVAL_MARGIN <= leftMs
    : waitMs <= leftMs * WAITING_TOLERANCE;
}

/** Keeps predicted waits finite where the floor is 0. */
const MIN_SHARE = 0.01;

function leastPerSecond(rates: StartRates, floorShare: number): number {
  return rates.perSecond * Math.max(floorShare, MIN_SHARE);
}
