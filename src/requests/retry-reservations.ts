/**
 * Times at which refused callers were told to retry, per account and spaced by
 * the rate at which the target serves the account. The admission refuses new
 * requests in their favour, so that a caller that retries on time finds
 * capacity. The retry header is not authenticated: a forged one uses up only
 * its own account's reservations.
 */

/** A reservation expires this long after its time. */
const RESERVATION_GRACE_MS = 5_000;
const MAX_EARLY_MS = 20;
export const MAX_RETRY_AFTER_MS = 60_000;

export class RetryReservations {
  private readonly timesByAccount = new Map<string, number[]>();

  /**
   * Reserves the account's next free time and returns it; nothing is reserved
   * beyond MAX_RETRY_AFTER_MS. `earliest` is when the target can serve another
   * request, `spacingMs` the time between two requests of the account.
   */
  reserve(account: string, now: number, earliest: number, spacingMs: number) {
    const times = this.timesByAccount.get(account) ?? [];
    this.timesByAccount.set(account, times);
    const last = times[times.length - 1] ?? 0;
    const time = Math.max(earliest, last + spacingMs);
    if (time - now >= MAX_RETRY_AFTER_MS) {
      return now + MAX_RETRY_AFTER_MS;
    }
    times.push(time);
    return time;
  }

  /** Consumes the account's first reservation if it is due; false if not. */
  consumeDue(account: string, now: number): boolean {
    const times = this.unexpiredTimes(account, now);
    if (times === undefined || times[0]! > now + MAX_EARLY_MS) {
      return false;
    }
    times.shift();
    if (times.length === 0) {
      this.timesByAccount.delete(account);
    }
    return true;
  }

  hasAny(account: string, now: number): boolean {
    return this.unexpiredTimes(account, now) !== undefined;
  }

  private unexpiredTimes(account: string, now: number): number[] | undefined {
    const times = this.timesByAccount.get(account);
    while (
      times !== undefined &&
      times.length > 0 &&
      times[0]! < now - RESERVATION_GRACE_MS
    ) {
      times.shift();
    }
    if (times?.length === 0) {
      this.timesByAccount.delete(account);
      return undefined;
    }
    return times;
  }
}
