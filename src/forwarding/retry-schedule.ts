/**
 * When callers of services come back that are refused because all targets are
 * at their limits: one after the other, at the pace at which requests are taken.
 * Pure over a clock reading.
 */

/** Later than this nobody is told to come back, in milliseconds. */
const MAX_DELAY_MS = 10_000;

export class RetrySchedule {
  /** Monotonic time of the last place that was given, by service. */
  private readonly lastSlots = new Map<string, number>();

  /**
   * Milliseconds until the next place in a service's line: `soonestMs` at least,
   * and `spacingMs` after the one before.
   */
  nextDelayMs(
    service: string,
    soonestMs: number,
    spacingMs: number,
    now: number,
  ): number {
    const soonest = now + soonestMs;
    const last = this.lastSlots.get(service) ?? -Infinity;
    const latest = Math.max(now + MAX_DELAY_MS, soonest);
    const at = Math.min(Math.max(soonest, last + spacingMs), latest);
    this.lastSlots.set(service, at);
    return at - now;
  }
}
