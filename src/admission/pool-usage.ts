/** Counts requests in flight by pool, rank and client account. */
import type {DemandLine} from '../capacity/types';

/** What a request counts as. */
export interface DemandKey {
  readonly priority: number;
  /** Reported in place of the priority if there is one. */
  readonly rank?: number;
  readonly account: string;
}

interface PoolCount {
  total: number;
  /** Requests in flight by account, by rank; without zeros. */
  readonly byPriority: Map<number, Map<string, number>>;
}

export class PoolUsage {
  private readonly pools = new Map<string, PoolCount>();

  /** Requests in flight in a pool. */
  inFlight(pool: string): number {
    return this.pools.get(pool)?.total ?? 0;
  }

  /** Adds `change` requests in flight. */
  add(pool: string, key: DemandKey, change: number): void {
    const {account} = key;
    const priority = rankOf(key);
    let count = this.pools.get(pool);
    if (count === undefined) {
      count = {total: 0, byPriority: new Map()};
      this.pools.set(pool, count);
    }
    count.total += change;
    let byAccount = count.byPriority.get(priority);
    if (byAccount === undefined) {
      byAccount = new Map();
      count.byPriority.set(priority, byAccount);
    }
    const inFlight = (byAccount.get(account) ?? 0) + change;
    if (inFlight > 0) {
      byAccount.set(account, inFlight);
    } else {
      byAccount.delete(account);
    }
  }

  /** The pool's lines together with those of the waiting requests. */
  demandOf(pool: string, waiting: Iterable<DemandKey>): DemandLine[] {
    const lines = new Map<string, DemandLine>();
    for (const [priority, byAccount] of this.pools.get(pool)?.byPriority ??
      []) {
      for (const [account, inFlight] of byAccount) {
        const line = {priority, account, inFlight, waiting: 0};
        lines.set(`${priority} ${account}`, line);
      }
    }
    for (const key of waiting) {
      const {account} = key;
      const priority = rankOf(key);
      const name = `${priority} ${account}`;
      const none = {priority, account, inFlight: 0, waiting: 0};
      const line = lines.get(name) ?? none;
      lines.set(name, {...line, waiting: line.waiting + 1});
    }
    return [...lines.values()];
  }
}

/** Unlike in the order of starts, started streams count by their own rank. */
function rankOf({priority, rank}: DemandKey): number {
  return rank ?? priority;
}
