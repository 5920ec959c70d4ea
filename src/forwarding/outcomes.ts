/** What the end of a send says: of the target, and for the log. Pure. */
import type * as exchanges from './exchange';
import type {ResponseHead, Target} from './types';

/** The status of a target that another was meant. Source: RFC 9110. */
export const MISDIRECTED = 421;
export const UNAVAILABLE = 503;
const FIRST_SERVER_ERROR = 500;

/**
 * What a refusal counts beside a failure: who refuses is full, or the first
 * rank of a group that closes, and is as good as the others once it opens.
 */
const REFUSAL_FAILURE_SCORE = 0.125;

/** How the last send to each target went, by its lifetime. */
export type TriedTargets = Map<string, exchanges.Outcome['kind']>;

/** How much the outcome speaks against the target, 0 to 1. */
export function failureScoreOf(outcome: exchanges.Outcome): number {
  switch (outcome.kind) {
    case 'answered':
      return outcome.head.status >= FIRST_SERVER_ERROR ? 1 : 0;
    case 'streaming':
    case 'cancelled':
      return 0;
    case 'not-run':
      return REFUSAL_FAILURE_SCORE;
    case 'unknown':
    case 'timed-out':
      return 1;
  }
}

/** False where it is certain that the target did not run the request. */
export function mayHaveRun(outcome: exchanges.Outcome): boolean {
  const isUnsent = outcome.kind === 'timed-out' && !outcome.sent;
  return outcome.kind !== 'not-run' && !isUnsent;
}

/** True where the target was gone before it had answered. */
export function isLost(outcome: exchanges.Outcome): boolean {
  return (
    outcome.kind === 'unknown' &&
    (outcome.why === 'connection-lost' || outcome.why === 'broken-answer')
  );
}

/** True where another run may do better than this one did. */
export function hasFailed(outcome: exchanges.Outcome): boolean {
  return (
    outcome.kind === 'unknown' ||
    (outcome.kind === 'answered' && outcome.head.status >= FIRST_SERVER_ERROR)
  );
}

/** True where the target itself has said something. */
export function hasResponded(outcome: exchanges.Outcome): boolean {
  const isRefusal = outcome.kind === 'not-run' && outcome.status !== undefined;
  return (
    isRefusal || outcome.kind === 'answered' || outcome.kind === 'streaming'
  );
}

/** Fields of a log line. */
export function outcomeFields(outcome: exchanges.Outcome): object {
  switch (outcome.kind) {
    case 'answered':
      return {
        status: outcome.head.status,
        // A short answer that was taken for whole shows nowhere else.
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

/** Fields of a log line: what the target asked for besides. */
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
 * Targets that were not tried yet. Where there are none left, those that gave
 * an answer of their own may give a better one: a service may have one target,
 * whose runs fail now and then.
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
