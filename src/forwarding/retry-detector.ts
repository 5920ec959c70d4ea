/**
 * Detects callers' retries: a caller that has already tried states less time
 * left than other callers of the same route. A heuristic.
 */

/** Difference in time left above which a request counts as a retry. */
const MIN_DIFFERENCE_MS = 250;

/** Routes remembered before all are dropped and learnt again. */
const MAX_ROUTES = 8_192;

export class RetryDetector {
  /** Longest time left seen, by the route's name. */
  private readonly maxTimeLeftMs = new Map<string, number>();

  /** Records a request; true if it is likely a retry. Times in milliseconds. */
  isLikelyRetry(route: string, timeLeftMs: number, timeoutMs: number): boolean {
    if (this.maxTimeLeftMs.size >= MAX_ROUTES) {
      this.maxTimeLeftMs.clear();
    }
    const longest = Math.max(this.maxTimeLeftMs.get(route) ?? 0, timeLeftMs);
    this.maxTimeLeftMs.set(route, longest);
    return Math.max(longest, timeoutMs) - timeLeftMs > MIN_DIFFERENCE_MS;
  }
}
