/** Every refusal that a caller can get, with its status, title and outcome. */
import type * as http from 'node:http';
import * as body from '../http/body';
import {KEY_HEADER, RETURN_HEADER} from './headers';

/** Whether the request, or its key, has run. */
export type Outcome = 'not-run' | 'ran' | 'unknown';

/** A refusal. `retryAfterMs` is set if a later attempt can succeed. */
export interface Refusal {
  readonly kind: RefusalKind;
  readonly outcome: Outcome;
  readonly detail: string;
  readonly retryAfterMs?: number;
  /** The target that has reserved a time for the caller's retry. */
  readonly reservedTargetId?: string;
}

interface RefusalEntry {
  readonly status: number;
  readonly title: string;
}

/** Status and title by kind; the problem's `type` is `/problems/<kind>`. */
export const REFUSALS = {
  'bad-request': {status: 400, title: 'The request is malformed'},
  'key-required': {status: 400, title: 'An Idempotency-Key is required'},
  'bad-key': {status: 400, title: 'The Idempotency-Key is not a UUIDv7'},
  unauthorized: {status: 401, title: 'No client account has this API key'},
  forbidden: {status: 403, title: 'The client account may not do this'},
  'not-found': {status: 404, title: 'Nothing exists under this path'},
  'method-not-allowed': {status: 405, title: 'This method is not allowed here'},
  'request-timeout': {
    status: 408,
    title: 'The request was received too slowly',
  },
  'key-burnt': {status: 409, title: 'The key has not run and never will'},
  'outcome-unknown': {status: 409, title: 'The key may have run'},
  'already-ran': {
    status: 409,
    title: 'The key ran; its response is not stored',
  },
  'body-too-large': {status: 413, title: 'The body is too large'},
  'key-reused': {status: 422, title: 'The key belongs to another request'},
  'key-ahead': {
    status: 425,
    title: 'The minting time of the key is in the future',
  },
  'key-too-old': {status: 410, title: 'The key is too old'},
  'account-limit': {
    status: 429,
    title: 'The client account has reached its limit',
  },
  'target-failed': {status: 502, title: 'The target did not answer'},
  overloaded: {status: 503, title: 'The targets are overloaded'},
  resting: {status: 503, title: 'The targets are in a cooldown'},
  leaving: {status: 503, title: 'The target is leaving'},
  'no-target': {status: 503, title: 'No target is available'},
  'not-owner': {status: 503, title: 'Another target owns the key'},
  'owner-unreachable': {
    status: 503,
    title: 'The owner of the key does not respond',
  },
  'deadline-unreachable': {
    status: 503,
    title: 'The deadline cannot be met',
  },
  'deadline-exceeded': {status: 504, title: 'The deadline has passed'},
  'stream-lost': {status: 410, title: 'The stream is no longer available'},
} as const satisfies Record<string, RefusalEntry>;

export type RefusalKind = keyof typeof REFUSALS;

export const OUTCOME_HEADER = 'ferrycleat-outcome';
export const REQUEST_HEADER = 'ferrycleat-request';
/** Kind of the refusal; its presence marks the response as a refusal. */
export const REFUSAL_HEADER = 'ferrycleat-refusal';

const SECOND_MS = 1_000;
const PROBLEM_TYPE = 'application/problem+json';

/** Combined outcome of several attempts: `not-run` only if all are. */
export function worstOutcome(outcomes: readonly Outcome[]): Outcome {
  if (outcomes.includes('ran')) {
    return 'ran';
  }
  return outcomes.includes('unknown') ? 'unknown' : 'not-run';
}

/** A refusal of a request that has not run. */
export function notRun(
  kind: RefusalKind,
  detail: string,
  retryAfterMs?: number,
): Refusal {
  return {kind, outcome: 'not-run', detail, retryAfterMs};
}

/** A refusal of a request that may have run. */
export function unknownOutcome(
  kind: RefusalKind,
  detail: string,
  retryAfterMs?: number,
): Refusal {
  return {kind, outcome: 'unknown', detail, retryAfterMs};
}

/**
 * Changes `not-run` to `unknown` for a call with a key, in a process that
 * cannot ask the key's owner: an earlier call with the key may have run.
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

/** Sends a refusal as the final response. */
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
