/** Counts requests in flight by pool, priority and client account. */
import type {DemandLine} from '../capacity/types';

/** What a request counts as. */
export interface DemandKey {
  readonly priority: number;
  readonly account: string;
}

export class PoolUsage {
  private readonly counts = new Map<string, Map<string, DemandLine>>();
  private readonly totals = new Map<string, number>();

  /** Requests in flight in a pool. */
  inFlight(pool: string): number {
    return this.totals.get(pool) ?? 0;
  }

  /** Adds `change` requests in flight. */
  add(pool: string, key: DemandKey, change: number): void {
    const total = this.inFlight(pool) + change;
    const lines = this.counts.get(pool) ?? new Map<string, DemandLine>();
    const {priority, account} = key;
    const name = `${priority} ${account}`;
    const inFlight = (lines.get(name)?.inFlight ?? 0) + change;
    if (inFlight > 0) {
      lines.set(name, {priority, account, inFlight, waiting: 0});
    } else {
      lines.delete(name);
    }
    if (total > 0) {
      this.counts.set(pool, lines);
      this.totals.set(pool, total);
    } else {
      this.counts.delete(pool);
      this.totals.delete(pool);
    }
  }

  /** The pool's lines together with those of the waiting requests. */
  demandOf(pool: string, waiting: Iterable<DemandKey>): DemandLine[] {
    const lines = new Map(this.counts.get(pool) ?? []);
    for (const {priority, account} of waiting) {
      const name = `${priority} ${account}`;
      const line = lines.get(name) ?? {
        priority,
        account,
        inFlight: 0,
        waiting: 0,
      };
      lines.set(name, {...line, waiting: line.waiting + 1});
    }
    return [...lines.values()];
  }
}
