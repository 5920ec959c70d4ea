/** The header Retry-After as whoever gets it reads it. Source: RFC 9110. */
import type * as http from 'node:http';
import * as decimal from './decimal';

/** Statuses of answers that may ask not to be sent more for a while. */
const TURNED_AWAY = new Set([429, 503]);
const SECOND_MS = 1_000;
/**
 * Longest rest that is kept, in milliseconds: what asks for more is taken for a
 * mistake, and whoever means it asks again.
 */
export const LONGEST_REST_MS = 3_600_000;

/** What an answer asks of whoever sent the request. */
export type RestAsked =
  /** Nothing. */
  | {readonly kind: 'none'}
  /** To send nothing more for so long. */
  | {readonly kind: 'rest'; readonly ms: number}
  /** Something that can't be read. */
  | decimal.UnreadText;

/** What an answer asks for; those that turned nobody away ask for nothing. */
export function readRest(
  status: number,
  headers: http.IncomingHttpHeaders,
): RestAsked {
  const text = headers['retry-after']?.trim();
  if (text === undefined || !TURNED_AWAY.has(status)) {
    return {kind: 'none'};
  }
  const seconds = decimal.readDecimal(text);
  if (seconds === undefined) {
    return decimal.unread(text);
  }
  const ms = Math.min(seconds * SECOND_MS, LONGEST_REST_MS);
  return ms > 0 ? {kind: 'rest', ms} : {kind: 'none'};
}
