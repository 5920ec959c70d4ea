/**
 * Tells a caller's later tries from its first. Callers say how long they will
 * wait; who has tried before has less time left than others on the route.
 */

/** A caller that is this much shorter of time has tried before. */
const MIN_DIFFERENCE_MS = 250;

/** Beyond that all are learnt anew: routes come and go. */
const MAX_ROUTES = 8_192;

export class RetryDetector {
  /** Longest time that callers of a route wait, by the route's name. */
  private readonly maxTimeLeftMs = new Map<string, number>();

  /** Notes a request and tells whether its caller has likely tried before. */
  isLikelyRetry(route: string, timeLeftMs: number, timeoutMs: number): boolean {
    if (this.maxTimeLeftMs.size >= MAX_ROUTES) {
      this.maxTimeLeftMs.clear();
    }
    const longest = Math.max(this.maxTimeLeftMs.get(route) ?? 0, timeLeftMs);
    this.maxTimeLeftMs.set(route, longest);
    return Math.max(longest, timeoutMs) - timeLeftMs > MIN_DIFFERENCE_MS;
  }
}
