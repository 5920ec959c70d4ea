/** Counts requests in flight by pool, rank and client account. */
import type {DemandLine} from '../capacity/types';

/** What a request counts as. */
export interface DemandKey {
  readonly rank: number;
  readonly account: string;
}

interface PoolCount {
  total: number;
  /** Lines of the requests in flight by account, by rank; without zeros. */
  readonly byRank: Map<number, Map<string, DemandLine>>;
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
    const inFlight = (byAccount.get(account)?.inFlight ?? 0) + change;
    if (inFlight > 0) {
      byAccount.set(account, {priority: rank, account, inFlight, waiting: 0});
    } else {
      byAccount.delete(account);
    }
  }

  /** The pool's lines together with those of the waiting requests. */
  demandOf(pool: string, waiting: Iterable<DemandKey>): DemandLine[] {
    const lines: DemandLine[] = [];
    for (const byAccount of this.pools.get(pool)?.byRank.values() ?? []) {
      lines.push(...byAccount.values());
    }
    return withWaiting(lines, waiting);
  }
}

function withWaiting(
  lines: DemandLine[],
  waiting: Iterable<DemandKey>,
): DemandLine[] {
  let indexes: Map<string, number> | undefined;
  for (const {rank, account} of waiting) {
    indexes ??= new Map(lines.map((line, at) => [nameOf(line), at]));
    const none = {priority: rank, account, inFlight: 0, waiting: 0};
    const name = nameOf(none);
    const at = indexes.get(name) ?? lines.length;
    indexes.set(name, at);
    const line = lines[at] ?? none;
    lines[at] = {...line, waiting: line.waiting + 1};
  }
  return lines;
}

function nameOf({priority, account}: DemandLine): string {
  return `${priority} ${account}`;
}
