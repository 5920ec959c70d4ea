/**
 * The times at which refused callers were told to come back: a line of each
 * account's own, one place to each request that the target can serve for it.
 * While a line stands, newcomers of the account go to its end, so that who
 * comes back when told finds room. A caller that comes back says so; one that
 * lies takes a place from its own account only, so nothing is signed.
 */

/** A place that nobody came for is given up after this time. */
const RESERVATION_GRACE_MS = 5_000;
/** A caller may come this much before its time. */
const MAX_EARLY_MS = 20;
/** Longest time that a caller is told to stay away. */
export const MAX_RETRY_AFTER_MS = 60_000;

export class RetryReservations {
  private readonly timesByAccount = new Map<string, number[]>();

  /**
   * Takes the next place in the account's line; answers its time. `soonest`
   * is when the target could serve another request at all, `spacingMs` the
   * time from one request of the account to the next.
   */
  reserve(account: string, now: number, soonest: number, spacingMs: number) {
    const line = this.timesByAccount.get(account) ?? [];
    this.timesByAccount.set(account, line);
    const last = line[line.length - 1] ?? 0;
    const time = Math.max(soonest, last + spacingMs);
    if (time - now >= MAX_RETRY_AFTER_MS) {
      return now + MAX_RETRY_AFTER_MS;
    }
    line.push(time);
    return time;
  }

  /** True where the account had a place that is due; it is then used up. */
  consumeDue(account: string, now: number): boolean {
    const line = this.unexpiredTimes(account, now);
    if (line === undefined || line[0]! > now + MAX_EARLY_MS) {
      return false;
    }
    line.shift();
    if (line.length === 0) {
      this.timesByAccount.delete(account);
    }
    return true;
  }

  /** True while callers of the account have been told to come back. */
  hasAny(account: string, now: number): boolean {
    return this.unexpiredTimes(account, now) !== undefined;
  }

  private unexpiredTimes(account: string, now: number): number[] | undefined {
    const line = this.timesByAccount.get(account);
    while (
      line !== undefined &&
      line.length > 0 &&
      line[0]! < now - RESERVATION_GRACE_MS
    ) {
      line.shift();
    }
    if (line?.length === 0) {
      this.timesByAccount.delete(account);
      return undefined;
    }
    return line;
  }
}
