/** Every refusal a caller can get: its type, status and outcome. */
import type * as http from 'node:http';
import * as body from '../http/body';
import {KEY_HEADER, RETURN_HEADER} from './headers';

/** What is known about whether the request (or its key) has run. */
export type Outcome = 'not-run' | 'ran' | 'unknown';

/** A refusal by kind. `retryAfterMs` is set where a later try can succeed. */
export interface Refusal {
  readonly kind: RefusalKind;
  readonly outcome: Outcome;
  readonly detail: string;
  readonly retryAfterMs?: number;
  /** The target that keeps a place for the caller's return. */
  readonly reservedTargetId?: string;
}

interface RefusalEntry {
  readonly status: number;
  readonly title: string;
}

/** Status and title by kind; `type` in the answer is `/problems/<kind>`. */
export const REFUSALS = {
  'bad-request': {status: 400, title: 'The request is malformed'},
  'key-required': {status: 400, title: 'An Idempotency-Key is required'},
  'bad-key': {status: 400, title: 'The Idempotency-Key is no UUIDv7'},
  unauthorized: {status: 401, title: 'No client account has this API key'},
  forbidden: {status: 403, title: 'The client account may not do this'},
  'not-found': {status: 404, title: 'Nothing is served under this path'},
  'method-not-allowed': {status: 405, title: 'This method is not served here'},
  'request-timeout': {status: 408, title: 'The request came too slowly'},
  'key-burnt': {status: 409, title: 'The key has not run and never will'},
  'outcome-unknown': {status: 409, title: 'The key may have run'},
  'already-ran': {status: 409, title: 'The key ran; its answer is not kept'},
  'body-too-large': {status: 413, title: 'The body is too large'},
  'key-reused': {status: 422, title: 'The key belongs to another request'},
  'key-ahead': {status: 425, title: 'The key was minted ahead of time'},
  'key-too-old': {status: 410, title: 'The key is too old'},
  'account-limit': {status: 429, title: 'The client account is at its limit'},
  'target-failed': {status: 502, title: 'The target did not answer'},
  overloaded: {status: 503, title: 'The targets are overloaded'},
  resting: {status: 503, title: 'The targets have asked for rest'},
  leaving: {status: 503, title: 'The target is leaving'},
  'no-target': {status: 503, title: 'No target is available'},
  'not-owner': {status: 503, title: 'Another target owns the key'},
  'owner-unreachable': {status: 503, title: 'The owner of the key is silent'},
  'deadline-unreachable': {
    status: 503,
    title: 'The deadline cannot be met',
  },
  'deadline-exceeded': {status: 504, title: 'The deadline has passed'},
  'stream-lost': {status: 410, title: 'The stream is no longer kept'},
} as const satisfies Record<string, RefusalEntry>;

/** Name of a refusal. */
export type RefusalKind = keyof typeof REFUSALS;

export const OUTCOME_HEADER = 'ferrycleat-outcome';
export const REQUEST_HEADER = 'ferrycleat-request';
/** Set by a sidecar whose refusal means: another target may be tried. */
export const REFUSAL_HEADER = 'ferrycleat-refusal';

const SECOND_MS = 1_000;
const PROBLEM_TYPE = 'application/problem+json';

/** The outcome of several tries together: `not-run` only if all were. */
export function worstOutcome(outcomes: readonly Outcome[]): Outcome {
  if (outcomes.includes('ran')) {
    return 'ran';
  }
  return outcomes.includes('unknown') ? 'unknown' : 'not-run';
}

/** A refusal of a request that no target has seen. */
export function notRun(
  kind: RefusalKind,
  detail: string,
  retryAfterMs?: number,
): Refusal {
  return {kind, outcome: 'not-run', detail, retryAfterMs};
}

/** A refusal that cannot tell whether the request ran. */
export function unknownOutcome(
  kind: RefusalKind,
  detail: string,
  retryAfterMs?: number,
): Refusal {
  return {kind, outcome: 'unknown', detail, retryAfterMs};
}

/**
 * A refusal by a process that can't ask the key's owner. Of a call with a key
 * it can't say `not-run`: an earlier copy may have run.
 */
export function withUnconfirmedOutcome(
  req: http.IncomingMessage,
  refusal: Refusal,
): Refusal {
  const hasKey = body.headerOf(req, KEY_HEADER) !== undefined;
  return hasKey && refusal.outcome === 'not-run'
    ? {...refusal, outcome: 'unknown'}
    : refusal;
}

/** The problem document of a refusal. Source: RFC 9457. */
export function problemDocument(refusal: Refusal, requestId: string) {
  const entry = REFUSALS[refusal.kind];
  return {
    type: `/problems/${refusal.kind}`,
    title: entry.title,
    status: entry.status,
    detail: refusal.detail,
    outcome: refusal.outcome,
    request: requestId,
    retryAfterMs: refusal.retryAfterMs,
  };
}

/** Sends a refusal as the final answer. */
export function sendRefusal(
  res: http.ServerResponse,
  refusal: Refusal,
  requestId: string,
): void {
  const headers: http.OutgoingHttpHeaders = {
    'content-type': PROBLEM_TYPE,
    [REQUEST_HEADER]: requestId,
    [OUTCOME_HEADER]: refusal.outcome,
    [REFUSAL_HEADER]: refusal.kind,
  };
  if (refusal.retryAfterMs !== undefined) {
    const seconds = Math.ceil(refusal.retryAfterMs / SECOND_MS);
    headers['retry-after'] = String(Math.max(seconds, 1));
  }
  if (refusal.reservedTargetId !== undefined) {
    headers[RETURN_HEADER] = refusal.reservedTargetId;
  }
  body.sendJson(
    res,
    REFUSALS[refusal.kind].status,
    problemDocument(refusal, requestId),
    headers,
  );
}
