/** Parses the rate limit that a target states in its responses. */
import * as decimal from './decimal';

/** Limits from this value on are treated as errors. */
const IMPLAUSIBLE_REQUESTS_PER_SECOND = 1_000_000;

/** The rate limit that a response states. */
export type RateLimitHeader =
  /** No header: the target has no limit. */
  | {readonly kind: 'none'}
  /** Requests per second from all senders together; 0 allows none. */
  | {readonly kind: 'limit'; readonly perSecond: number}
  /** A value that is not a number or implausibly large. */
  | decimal.UnparsableText;

/** Parses the header's value; undefined if the response has none. */
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
