/**
 * Virtual time of client accounts that share one resource: each piece of work
 * advances its account's time by work / weight, and the account that is furthest
 * behind is served next. An account that was idle gets no credit for it.
 * Source: start-time fair queueing (Goyal, Vin and Cheng, 1996).
 */
export class AccountClock {
  private readonly lastFinish = new Map<string, number>();
  private virtualTime = 0;

  /** Virtual start time of an account's next work. */
  startOf(account: string): number {
    return Math.max(this.virtualTime, this.lastFinish.get(account) ?? 0);
  }

  /** Records an account's next work; returns its virtual finish time. */
  charge(account: string, work: number): number {
    const finish = this.startOf(account) + work;
    this.lastFinish.set(account, finish);
    return finish;
  }

  /** Work with this virtual start time is served now. */
  advance(start: number): void {
    this.virtualTime = Math.max(this.virtualTime, start);
    // Accounts whose last finish time has passed start afresh.
    for (const [account, finish] of this.lastFinish) {
      if (finish <= this.virtualTime) {
        this.lastFinish.delete(account);
      }
    }
  }

  /** Forgets all accounts. Call when nothing waits any more. */
  clear(): void {
    this.lastFinish.clear();
    this.virtualTime = 0;
  }
}
