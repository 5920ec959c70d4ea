/** Counts the starts of the last second by rank. Pure. */

const BUCKET_MS = 100;
const BUCKETS = 10;

interface Bucket {
  /** Number of the interval that it counts. */
  interval: number;
  total: number;
  readonly byRank: Map<number, number>;
}

export class StartRate {
  private readonly buckets: Bucket[] = Array.from({length: BUCKETS}, () => ({
    interval: -Infinity,
    total: 0,
    byRank: new Map<number, number>(),
  }));

  note(rank: number, now: number): void {
    const interval = Math.floor(now / BUCKET_MS);
    const bucket = this.buckets[interval % BUCKETS]!;
    if (bucket.interval !== interval) {
      bucket.interval = interval;
      bucket.total = 0;
      bucket.byRank.clear();
    }
    bucket.total += 1;
    const count = bucket.byRank.get(rank) ?? 0;
    bucket.byRank.set(rank, count + 1);
  }

  /** Starts in the last second. */
  perSecond(now: number): number {
    const oldest = oldestInterval(now);
    let count = 0;
    for (const {interval, total} of this.buckets) {
      count += interval > oldest ? total : 0;
    }
    return count;
  }

  /** Starts in the last second of ranks below this number. */
  perSecondBelow(now: number, below: number): number {
    const oldest = oldestInterval(now);
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

function oldestInterval(now: number): number {
  return Math.floor(now / BUCKET_MS) - BUCKETS;
}
