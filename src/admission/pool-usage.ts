/** Counts requests in flight by pool, rank and client account. */
import type {DemandLine} from '../capacity/types';

/** What a request counts as. */
export interface DemandKey {
  readonly rank: number;
  readonly account: string;
}

interface PoolCount {
  total: number;
  /** Requests in flight by account, by rank; without zeros. */
  readonly byRank: Map<number, Map<string, number>>;
}

export class PoolUsage {
  private readonly pools = new Map<string, PoolCount>();

  /** Requests in flight in a pool. */
  inFlight(pool: string): number {
    return this.pools.get(pool)?.total ?? 0;
  }

  /** Adds `change` requests in flight. */
  add(pool: string, {rank, account}: DemandKey, change: number): void {
    let count = this.pools.get(pool);
    if (count === undefined) {
      count = {total: 0, byRank: new Map()};
      this.pools.set(pool, count);
    }
    count.total += change;
    let byAccount = count.byRank.get(rank);
    if (byAccount === undefined) {
      byAccount = new Map();
      count.byRank.set(rank, byAccount);
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
    for (const [rank, byAccount] of this.pools.get(pool)?.byRank ?? []) {
      for (const [account, inFlight] of byAccount) {
        const line = {priority: rank, account, inFlight, waiting: 0};
        lines.set(`${rank} ${account}`, line);
      }
    }
    for (const {rank, account} of waiting) {
      const name = `${rank} ${account}`;
      const none = {priority: rank, account, inFlight: 0, waiting: 0};
      const line = lines.get(name) ?? none;
      lines.set(name, {...line, waiting: line.waiting + 1});
    }
    return [...lines.values()];
  }
}
