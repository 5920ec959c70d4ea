/**
 * Tells a caller's later tries from its first. Callers say how long they will
 * wait; who has tried before has less time left than others on the route.
 */

/** A caller that is this much shorter of time has tried before. */
const SHORTER_MS = 250;

/** Beyond that all are learnt anew: routes come and go. */
const MOST_ROUTES = 8_192;

export class AttemptAges {
  /** Longest time that callers of a route wait, by the route's name. */
  private readonly longest = new Map<string, number>();

  /** Notes a request and tells whether its caller has likely tried before. */
  isLater(route: string, timeLeftMs: number, timeoutMs: number): boolean {
    if (this.longest.size >= MOST_ROUTES) {
      this.longest.clear();
    }
    const longest = Math.max(this.longest.get(route) ?? 0, timeLeftMs);
    this.longest.set(route, longest);
    return Math.max(longest, timeoutMs) - timeLeftMs > SHORTER_MS;
  }
}
