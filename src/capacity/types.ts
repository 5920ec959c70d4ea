/**
 * Types of the capacity that the entries of a site share. A pool is what a limit
 * on concurrent requests applies to: a group of lock-step ranks, or all targets
 * of a service without groups.
 */
import * as v from 'valibot';

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Requests of one rank and client account in a pool. */
export const demandLineSchema = v.object({
  /**
   * The rank; 0 is the highest. Entries of earlier versions, which may allocate
   * during an upgrade, know it by this name.
   */
  priority: count,
  /** Empty: requests without an account. */
  account: v.string(),
  inFlight: count,
  waiting: count,
});
export type DemandLine = v.InferOutput<typeof demandLineSchema>;

/** One entry's requests in a pool. */
export type PoolDemand = readonly DemandLine[];

/** What the sharing of capacity needs to know of an entry's requests. */
export abstract class PoolSource {
  abstract demandOf(pool: string): PoolDemand;
  /**
   * Concurrent requests of all entries; undefined: unlimited, not known, or of a
   * service without admission, whose capacity is not shared.
   */
  abstract capacityOf(pool: string, now: number): number | undefined;
}

/** Shares of pools of which this entry may use no more at a time. */
export abstract class CapacityShares {
  /**
   * Maximum concurrent requests of this entry; undefined: no limit. `since`: only
   * a share that was granted on a report sent since that monotonic time.
   */
  abstract shareOf(
    pool: string,
    now: number,
    since?: number,
  ): number | undefined;
  /**
   * Call when requests start or wait in a pool. `isFull`: one that found the
   * targets full waits.
   */
  abstract noteUse(pool: string, now: number, isFull?: boolean): void;
}

/** Limits nothing. */
export class UnlimitedShares extends CapacityShares {
  shareOf(): undefined {
    return undefined;
  }

  noteUse(): void {}
}
