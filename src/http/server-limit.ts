/** How many requests a target takes a second, as its answers name it. */

import * as decimal from './decimal';

/** Requests a second from which on a limit is taken for a mistake. */
const IMPLAUSIBLE_REQUESTS_PER_SECOND = 1_000_000;

/** What an answer names as its target's limit. */
export type RateLimitHeader =
  /** None: the target takes what comes. */
  | {readonly kind: 'none'}
  /** Requests a second from all senders together; 0 for none at all. */
  | {readonly kind: 'limit'; readonly perSecond: number}
  /** Something that can't be read. */
  | decimal.UnparsableText;

/** Reads a header's text; undefined where the answer has none. */
export function parseRateLimit(header: string | undefined): RateLimitHeader {
  const text = header?.trim();
  if (text === undefined) {
    return {kind: 'none'};
  }
  const perSecond = decimal.parseDecimal(text);
  return perSecond !== undefined && perSecond < IMPLAUSIBLE_REQUESTS_PER_SECOND
    ? {kind: 'limit', perSecond}
    : decimal.unparsable(text);
}
