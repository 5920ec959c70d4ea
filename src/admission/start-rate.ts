/** Counts the starts of the last second by rank. Pure. */

const BUCKET_MS = 100;
const BUCKETS = 10;

interface Bucket {
  /** Number of the interval that it counts. */
  interval: number;
  readonly byRank: Map<number, number>;
  /** Sum over the ranks. */
  total: number;
}

export class StartRate {
  private readonly buckets: Bucket[] = Array.from({length: BUCKETS}, () => ({
    interval: -Infinity,
    byRank: new Map<number, number>(),
    total: 0,
  }));

  note(rank: number, now: number): void {
    const interval = Math.floor(now / BUCKET_MS);
    const bucket = this.buckets[interval % BUCKETS]!;
    if (bucket.interval !== interval) {
      bucket.interval = interval;
      bucket.byRank.clear();
      bucket.total = 0;
    }
    bucket.total += 1;
    const count = bucket.byRank.get(rank) ?? 0;
    bucket.byRank.set(rank, count + 1);
  }

  /** Starts in the last second of ranks below this number. */
  perSecond(now: number, below = Infinity): number {
    const oldest = Math.floor(now / BUCKET_MS) - BUCKETS;
    let count = 0;
    for (const bucket of this.buckets) {
      if (bucket.interval > oldest) {
        count += below === Infinity ? bucket.total : startsBelow(bucket, below);
      }
    }
    return count;
  }
}

function startsBelow({byRank}: Bucket, below: number): number {
  let count = 0;
  for (const [rank, starts] of byRank) {
    count += rank < below ? starts : 0;
  }
  return count;
}
