/**
 * What a target says of its limit: the requests a second that it takes from all
 * senders together. Each process hears a part of it; the latest word counts,
 * whoever heard it.
 */
export interface RateLimit {
  /** Requests a second; undefined: it names no limit any more. */
  readonly perSecond: number | undefined;
  /** Monotonic time, in milliseconds, as of which it holds. */
  readonly at: number;
}

/** The later one of two words. */
export function newer(
  held: RateLimit | undefined,
  other: RateLimit,
): RateLimit {
  return held === undefined || other.at > held.at ? other : held;
}
