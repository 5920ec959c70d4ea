/**
 * Parses the Retry-After header of target responses (RFC 9110, section 10.2.3).
 * Seconds may have a fraction; dates are not supported.
 */
import type * as http from 'node:http';
import * as decimal from './decimal';

/** Statuses with which Retry-After is honoured. */
const RETRY_AFTER_STATUSES = new Set([429, 503]);
const SECOND_MS = 1_000;
/**
 * Longer delays are taken for errors and cut to this; a target that means it
 * can repeat the header.
 */
export const MAX_RETRY_AFTER_MS = 3_600_000;

/** The delay that a response asks for. */
export type RetryAfterHeader =
  /** No delay. */
  | {readonly kind: 'none'}
  /** No requests for `ms` milliseconds. */
  | {readonly kind: 'rest'; readonly ms: number}
  /** A value that is not a number of seconds. */
  | decimal.UnparsableText;

/** Parses the header of a response; ignored unless the status is 429 or 503. */
export function parseRetryAfter(
  status: number,
  headers: http.IncomingHttpHeaders,
): RetryAfterHeader {
  const text = headers['retry-after']?.trim();
  if (text === undefined || !RETRY_AFTER_STATUSES.has(status)) {
    return {kind: 'none'};
  }
  const seconds = decimal.parseDecimal(text);
  if (seconds === undefined) {
    return decimal.unparsable(text);
  }
  const ms = Math.min(seconds * SECOND_MS, MAX_RETRY_AFTER_MS);
  return ms > 0 ? {kind: 'rest', ms} : {kind: 'none'};
}
