/**
 * Waiting requests of one priority: callers' retries before first attempts for up
 * to half of the starts, then weighted fair shares of the client accounts, then
 * the earliest objective. Pure.
 */
import {AccountClock} from './account-clock';
import type {WaitingRequest} from './types';

/** Items by account, each account's ordered by objective. */
type ItemsByAccount<T> = Map<string, T[]>;

const NO_ITEMS: readonly never[] = [];

export class PriorityBacklog<T extends WaitingRequest> {
  /** Starts owed to this priority while higher ones wait. */
  credit = 0;
  /** Starts of other priorities since it became empty. */
  idleStarts = 0;
  private readonly clock = new AccountClock();
  private readonly retries: ItemsByAccount<T> = new Map();
  private readonly firsts: ItemsByAccount<T> = new Map();
  private count = 0;
  /** The last start while both kinds waited was a retry's. */
  private isFirstsTurn = false;

  constructor(readonly rank: number) {}

  get size(): number {
    return this.count;
  }

  push(item: T): void {
    const kind = this.kindOf(item);
    const items = kind.get(item.account) ?? [];
    kind.set(item.account, items);
    items.splice(positionOf(items, item), 0, item);
    this.count += 1;
    this.idleStarts = 0;
  }

  remove(item: T): boolean {
    const kind = this.kindOf(item);
    const items = kind.get(item.account) ?? [];
    const at = items.indexOf(item);
    if (at < 0) {
      return false;
    }
    items.splice(at, 1);
    this.count -= 1;
    if (items.length === 0) {
      kind.delete(item.account);
    }
    return true;
  }

  /** The next item of those that match. */
  next(matches: (item: T) => boolean): T | undefined {
    const retry = this.nextOf(this.retries, matches);
    const first = this.nextOf(this.firsts, matches);
    return retry !== undefined && (first === undefined || !this.isFirstsTurn)
      ? retry
      : first;
  }

  /** Removes an item that starts and charges its account. */
  start(item: T): void {
    const haveBoth = this.retries.size > 0 && this.firsts.size > 0;
    this.isFirstsTurn = haveBoth && item.isRetry;
    const start = this.earliestStart();
    this.clock.charge(item.account, workOf(item));
    this.clock.advance(start);
    this.remove(item);
  }

  /**
   * Virtual start time of the account that is furthest behind. A retry may start
   * before its account's turn; the others must not lose what they are behind.
   */
  private earliestStart(): number {
    const accounts = [...this.retries.keys(), ...this.firsts.keys()];
    return Math.min(...accounts.map(one => this.clock.startOf(one)));
  }

  /** Items that start before this one, which need not be queued. */
  countAhead(item: WaitingRequest): number {
    const own = this.aheadOf(this.kindOf(item), item);
    const others = sizeOf(item.isRetry ? this.firsts : this.retries);
    // Both kinds alternate, beginning with a retry.
    return own + Math.min(others, item.isRetry ? own : own + 1);
  }

  /** The item that starts last. */
  last(): T | undefined {
    const kind = this.firsts.size > 0 ? this.firsts : this.retries;
    let last: T | undefined;
    let latest = -Infinity;
    for (const [account, items] of kind) {
      const work = items.reduce((sum, item) => sum + workOf(item), 0);
      const finish = this.clock.startOf(account) + work;
      if (finish > latest) {
        latest = finish;
        last = items[items.length - 1];
      }
    }
    return last;
  }

  items(): T[] {
    return [...this.retries.values(), ...this.firsts.values()].flat();
  }

  private nextOf(
    kind: ItemsByAccount<T>,
    matches: (item: T) => boolean,
  ): T | undefined {
    let best: T | undefined;
    let bestStart = Infinity;
    for (const [account, items] of kind) {
      const start = this.clock.startOf(account);
      const item = start <= bestStart ? items.find(matches) : undefined;
      const precedes =
        start < bestStart || (item?.objectiveAt ?? 0) < best!.objectiveAt;
      if (item !== undefined && precedes) {
        best = item;
        bestStart = start;
      }
    }
    return best;
  }

  /** Items of one kind that precede this one, by the accounts' fair shares. */
  private aheadOf(kind: ItemsByAccount<T>, item: WaitingRequest): number {
    const own = kind.get(item.account) ?? NO_ITEMS;
    const at = (own as readonly WaitingRequest[]).indexOf(item);
    let count = at < 0 ? positionOf(own, item) : at;
    let start = this.clock.startOf(item.account);
    for (let before = 0; before < count; before += 1) {
      start += workOf(own[before]!);
    }
    for (const [account, items] of kind) {
      let otherStart = this.clock.startOf(account);
      for (const other of items === own ? NO_ITEMS : items) {
        const precedes =
          otherStart < start ||
          (otherStart === start && other.objectiveAt <= item.objectiveAt);
        if (!precedes) {
          break;
        }
        count += 1;
        otherStart += workOf(other);
      }
    }
    return count;
  }

  private kindOf(item: WaitingRequest): ItemsByAccount<T> {
    return item.isRetry ? this.retries : this.firsts;
  }
}

function workOf(item: WaitingRequest): number {
  return item.cost / item.weight;
}

/** Position of a new item behind those with an objective not later. */
function positionOf(
  items: readonly WaitingRequest[],
  item: WaitingRequest,
): number {
  let at = items.length;
  while (at > 0 && items[at - 1]!.objectiveAt > item.objectiveAt) {
    at -= 1;
  }
  return at;
}

function sizeOf(kind: ReadonlyMap<string, readonly unknown[]>): number {
  let size = 0;
  for (const items of kind.values()) {
    size += items.length;
  }
  return size;
}
