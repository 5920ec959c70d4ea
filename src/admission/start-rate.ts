/** Counts the starts of the last second by rank. Pure. */

const BUCKET_MS = 100;
const BUCKETS = 10;

interface Bucket {
  /** Number of the interval that it counts. */
  interval: number;
  readonly byRank: Map<number, number>;
}

export class StartRate {
  private readonly buckets: Bucket[] = Array.from({length: BUCKETS}, () => ({
    interval: -Infinity,
    byRank: new Map<number, number>(),
  }));

  note(rank: number, now: number): void {
    const interval = Math.floor(now / BUCKET_MS);
    const bucket = this.buckets[interval % BUCKETS]!;
    if (bucket.interval !== interval) {
      bucket.interval = interval;
      bucket.byRank.clear();
    }
    const count = bucket.byRank.get(rank) ?? 0;
    bucket.byRank.set(rank, count + 1);
  }

  /** Starts in the last second by rank. */
  byRank(now: number): Map<number, number> {
    const oldest = Math.floor(now / BUCKET_MS) - BUCKETS;
    const total = new Map<number, number>();
    for (const {interval, byRank} of this.buckets) {
      for (const [rank, starts] of interval > oldest ? byRank : []) {
        total.set(rank, (total.get(rank) ?? 0) + starts);
      }
    }
    return total;
  }

  /** Starts in the last second of ranks below this number. */
  perSecond(now: number, below = Infinity): number {
    const oldest = Math.floor(now / BUCKET_MS) - BUCKETS;
    let count = 0;
    for (const {interval, byRank} of this.buckets) {
      if (interval > oldest) {
        for (const [rank, starts] of byRank) {
          count += rank < below ? starts : 0;
        }
      }
    }
    return count;
  }
}
