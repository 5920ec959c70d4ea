/**
 * Schedules the retries of callers that were refused because all targets of a
 * service are at their rate limits: evenly spaced, at the accepted rate.
 */

/** Maximum delay, unless the targets need longer. */
const MAX_DELAY_MS = 10_000;

export class RetrySchedule {
  /** Monotonic time of the last scheduled retry, by service. */
  private readonly lastSlots = new Map<string, number>();

  /**
   * Milliseconds until a service's next retry: at least `soonestMs`, and at least
   * `spacingMs` after the one before, up to the maximum delay.
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
