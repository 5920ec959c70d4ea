/** Classifies outcomes of sends, for target state, retries and the log. Pure. */
import type * as exchanges from './exchange';
import type {ResponseHead, Target} from './types';

/** Status of a target that is not the expected one. Source: RFC 9110. */
export const MISDIRECTED = 421;
export const UNAVAILABLE = 503;
const FIRST_SERVER_ERROR = 500;

/**
 * Lower than a failure's: a target that refuses is full or its group is
 * closing, and works normally afterwards.
 */
const REFUSAL_FAILURE_SCORE = 0.125;

/** Kind of outcome of the last send to each target, by its lifetime. */
export type TriedTargets = Map<string, exchanges.Outcome['kind']>;

/** 0 for success to 1 for failure of the target. */
export function failureScoreOf(outcome: exchanges.Outcome): number {
  switch (outcome.kind) {
    case 'answered':
      return outcome.head.status >= FIRST_SERVER_ERROR ? 1 : 0;
    case 'streaming':
    case 'cancelled':
      return 0;
    case 'not-run':
      // Without a status no connection was made.
      return outcome.status === undefined ? 1 : REFUSAL_FAILURE_SCORE;
    case 'unknown':
    case 'timed-out':
      return 1;
  }
}

/** False if it is certain that the target did not run the request. */
export function mayHaveRun(outcome: exchanges.Outcome): boolean {
  const isUnsent = outcome.kind === 'timed-out' && !outcome.sent;
  return outcome.kind !== 'not-run' && !isUnsent;
}

/** True if the connection broke before the response was complete. */
export function isLost(outcome: exchanges.Outcome): boolean {
  return (
    outcome.kind === 'unknown' &&
    (outcome.why === 'connection-lost' || outcome.why === 'broken-answer')
  );
}

/**
 * True if it may have run without success, so that a retry may succeed. A send
 * that was ended because too many bytes were held is not retried: its body would
 * still be held.
 */
export function hasFailed(outcome: exchanges.Outcome): boolean {
  return (
    (outcome.kind === 'unknown' && outcome.why !== 'slow-target') ||
    (outcome.kind === 'answered' && outcome.head.status >= FIRST_SERVER_ERROR)
  );
}

/** True if the target itself has responded. */
export function hasResponded(outcome: exchanges.Outcome): boolean {
  const isRefusal = outcome.kind === 'not-run' && outcome.status !== undefined;
  return (
    isRefusal || outcome.kind === 'answered' || outcome.kind === 'streaming'
  );
}

/** Log fields of an outcome. */
export function outcomeFields(outcome: exchanges.Outcome): object {
  switch (outcome.kind) {
    case 'answered':
      return {
        status: outcome.head.status,
        // Without framing, a truncated body is visible by its length only.
        ...(outcome.head.isUnframed ? {unframed: outcome.body.length} : {}),
      };
    case 'streaming':
      return {status: outcome.head.status};
    case 'not-run':
      return {status: outcome.status};
    case 'unknown':
      return {why: outcome.why};
    case 'timed-out':
      return {sent: outcome.sent};
    case 'cancelled':
      return {};
  }
}

/** Log fields of a response head: cooldown, rate limit and shutdown. */
export function headFields(head: ResponseHead | undefined): object {
  const {retryAfter, rateLimit} = head ?? {};
  return {
    ...(retryAfter?.kind === 'rest' ? {restMs: retryAfter.ms} : {}),
    ...(retryAfter?.kind === 'unread' ? {unreadRest: retryAfter.text} : {}),
    ...(head?.isLeaving === true ? {leaving: true} : {}),
    ...(rateLimit?.kind === 'limit' ? {limit: rateLimit.perSecond} : {}),
    ...(rateLimit?.kind === 'unread' ? {unreadLimit: rateLimit.text} : {}),
  };
}

/**
 * Targets that were not tried yet; if there are none, those that answered: the
 * only target of a service may fail one run and succeed in the next.
 */
export function untried(
  targets: readonly Target[],
  tried: ReadonlyMap<string, exchanges.Outcome['kind']>,
): readonly Target[] {
  if (tried.size === 0) {
    return targets;
  }
  const others = targets.filter(({lifetime}) => !tried.has(lifetime));
  return others.length > 0
    ? others
    : targets.filter(({lifetime}) => tried.get(lifetime) === 'answered');
}
