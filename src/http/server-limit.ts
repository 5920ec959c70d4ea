/** How many requests a target takes a second, as its answers name it. */

import * as decimal from './decimal';

/** Requests a second from which on a limit is taken for a mistake. */
const LARGEST_LIMIT = 1_000_000;

/** What an answer names as its target's limit. */
export type LimitNamed =
  /** None: the target takes what comes. */
  | {readonly kind: 'none'}
  /** Requests a second from all senders together; 0 for none at all. */
  | {readonly kind: 'limit'; readonly perSecond: number}
  /** Something that can't be read. */
  | decimal.UnreadText;

/** Reads a header's text; undefined where the answer has none. */
export function readLimit(header: string | undefined): LimitNamed {
  const text = header?.trim();
  if (text === undefined) {
    return {kind: 'none'};
  }
  const perSecond = decimal.readDecimal(text);
  return perSecond !== undefined && perSecond < LARGEST_LIMIT
    ? {kind: 'limit', perSecond}
    : decimal.unread(text);
}
