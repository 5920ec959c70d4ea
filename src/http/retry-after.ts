/** The header Retry-After as whoever gets it reads it. Source: RFC 9110. */
import type * as http from 'node:http';
import * as decimal from './decimal';

/** Statuses of answers that may ask not to be sent more for a while. */
const RETRY_AFTER_STATUSES = new Set([429, 503]);
const SECOND_MS = 1_000;
/**
 * Longest rest that is kept, in milliseconds: what asks for more is taken for a
 * mistake, and whoever means it asks again.
 */
export const MAX_RETRY_AFTER_MS = 3_600_000;

/** What an answer asks of whoever sent the request. */
export type RetryAfterHeader =
  /** Nothing. */
  | {readonly kind: 'none'}
  /** To send nothing more for so long. */
  | {readonly kind: 'rest'; readonly ms: number}
  /** Something that can't be read. */
  | decimal.UnparsableText;

/** What an answer asks for; those that turned nobody away ask for nothing. */
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
