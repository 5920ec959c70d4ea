/**
 * The rate limit that a target advertises, for all senders together. The latest
 * observation counts, whichever process made it.
 */
export interface RateLimit {
  /** Requests per second; undefined if the limit has ended. */
  readonly perSecond: number | undefined;
  /** Monotonic time of the observation, in milliseconds. */
  readonly at: number;
}

export function newer(
  held: RateLimit | undefined,
  other: RateLimit,
): RateLimit {
  return held === undefined || other.at > held.at ? other : held;
}
