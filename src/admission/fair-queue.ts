/**
 * A queue that is fair between client accounts: each request takes cost /
 * weight of virtual time, so an account with a backlog waits behind its own
 * requests and not ahead of others'. Lower priority numbers are always served
 * first.
 */
import {AccountClock} from './account-clock';

export interface QueueItem {
  readonly account: string;
  readonly weight: number;
  /** Lower numbers are served first. */
  readonly priority: number;
  /** Expected work; all items use the same unit. */
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
  private readonly clock = new AccountClock();
  private pushCount = 0;

  get size(): number {
    return this.entries.length;
  }

  push(item: T): void {
    const slot = this.schedule(item);
    this.clock.charge(item.account, item.cost / item.weight);
    this.pushCount += 1;
    this.entries.splice(this.positionOf(slot), 0, slot);
  }

  /** Number of queued items that would be served before this one. */
  countAhead(item: T): number {
    return this.positionOf(this.schedule(item));
  }

  /** Removes and returns the next item. */
  shift(): T | undefined {
    const slot = this.entries.shift();
    if (slot === undefined) {
      this.clock.clear();
      return undefined;
    }
    this.clock.advance(slot.start);
    return slot.item;
  }

  /** The item that would be served last. */
  last(): T | undefined {
    return this.entries[this.entries.length - 1]?.item;
  }

  /** Removes an item; false if it is not queued. */
  remove(item: T): boolean {
    const at = this.entries.findIndex(slot => slot.item === item);
    if (at < 0) {
      return false;
    }
    this.entries.splice(at, 1);
    return true;
  }

  /** All items, next first. */
  items(): T[] {
    return this.entries.map(slot => slot.item);
  }

  private schedule(item: T): QueueEntry<T> {
    const start = this.clock.startOf(item.account);
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
