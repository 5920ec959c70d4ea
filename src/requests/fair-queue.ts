/**
 * A queue that is fair between client accounts: each account's requests are
 * spaced on a virtual time by cost over weight, so an account that floods
 * waits behind its own requests and not in front of others'.
 * Source: start-time fair queueing (Goyal, Vin and Cheng, 1996).
 */

/** What the queue needs to know of an entry. */
export interface QueueItem {
  readonly account: string;
  readonly weight: number;
  /** A lower number is served first. */
  readonly priority: number;
  /** Expected work, in any one unit. */
  readonly cost: number;
}

interface QueueEntry<T extends QueueItem> {
  readonly item: T;
  readonly start: number;
  readonly finish: number;
  readonly order: number;
}

export class FairQueue<T extends QueueItem> {
  private readonly entries: QueueEntry<T>[] = [];
  private readonly lastFinish = new Map<string, number>();
  private virtualTime = 0;
  private pushCount = 0;

  get size(): number {
    return this.entries.length;
  }

  /** Queues an entry. */
  push(item: T): void {
    const slot = this.schedule(item);
    this.lastFinish.set(item.account, slot.finish);
    this.pushCount += 1;
    this.entries.splice(this.positionOf(slot), 0, slot);
  }

  /** How many queued entries would be served before this one. */
  countAhead(item: T): number {
    return this.positionOf(this.schedule(item));
  }

  /** Takes the entry that is next. */
  shift(): T | undefined {
    const slot = this.entries.shift();
    if (slot === undefined) {
      this.lastFinish.clear();
      this.virtualTime = 0;
      return undefined;
    }
    this.virtualTime = Math.max(this.virtualTime, slot.start);
    this.forgetIdleAccounts();
    return slot.item;
  }

  /** The entry that would be served last. */
  last(): T | undefined {
    return this.entries[this.entries.length - 1]?.item;
  }

  /** Takes an entry out. False where it is not queued. */
  remove(item: T): boolean {
    const at = this.entries.findIndex(slot => slot.item === item);
    if (at < 0) {
      return false;
    }
    this.entries.splice(at, 1);
    return true;
  }

  /** All entries, next first. */
  items(): T[] {
    return this.entries.map(slot => slot.item);
  }

  private schedule(item: T): QueueEntry<T> {
    const after = this.lastFinish.get(item.account) ?? 0;
    const start = Math.max(this.virtualTime, after);
    const finish = start + item.cost / item.weight;
    return {item, start, finish, order: this.pushCount};
  }

  private positionOf(slot: QueueEntry<T>): number {
    let low = 0;
    let high = this.entries.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (isBefore(slot, this.entries[middle]!)) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return low;
  }

  /** An account whose last entry is behind has no debt to remember. */
  private forgetIdleAccounts(): void {
    for (const [account, finish] of this.lastFinish) {
      if (finish <= this.virtualTime) {
        this.lastFinish.delete(account);
      }
    }
  }
}

function isBefore<T extends QueueItem>(
  a: QueueEntry<T>,
  b: QueueEntry<T>,
): boolean {
  if (a.item.priority !== b.item.priority) {
    return a.item.priority < b.item.priority;
  }
  return a.finish !== b.finish ? a.finish < b.finish : a.order < b.order;
}
