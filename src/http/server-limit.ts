/** How many requests a target takes a second, as its answers name it. */

/** A decimal number; a sign or an exponent makes it none. */
const DECIMAL = /^(\d+\.?\d*|\.\d+)$/;
/** Requests a second from which on a limit is taken for a mistake. */
export const LARGEST_LIMIT = 1_000_000;
/** Longest part of a text that can't be read that is kept, in characters. */
const MAX_UNREAD = 40;

/** What an answer names as its target's limit. */
export type LimitNamed =
  /** None: the target takes what comes. */
  | {readonly kind: 'none'}
  /** Requests a second from all senders together; 0 for none at all. */
  | {readonly kind: 'limit'; readonly perSecond: number}
  /** Something that can't be read. */
  | {readonly kind: 'unread'; readonly text: string};

/** Reads a header's text; undefined where the answer has none. */
export function readLimit(header: string | undefined): LimitNamed {
  const text = header?.trim();
  if (text === undefined) {
    return {kind: 'none'};
  }
  const perSecond = DECIMAL.test(text) ? Number(text) : NaN;
  return perSecond < LARGEST_LIMIT
    ? {kind: 'limit', perSecond}
    : {kind: 'unread', text: text.slice(0, MAX_UNREAD)};
}
