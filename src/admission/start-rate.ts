/** Counts the starts of the last second by priority. Pure. */

const BUCKET_MS = 100;
const BUCKETS = 10;

interface Bucket {
  /** Number of the interval that it counts. */
  interval: number;
  readonly byPriority: Map<number, number>;
  /** Sum over the priorities. */
  total: number;
}

export class StartRate {
  private readonly buckets: Bucket[] = Array.from({length: BUCKETS}, () => ({
    interval: -Infinity,
    byPriority: new Map<number, number>(),
    total: 0,
  }));

  note(priority: number, now: number): void {
    const interval = Math.floor(now / BUCKET_MS);
    const bucket = this.buckets[interval % BUCKETS]!;
    if (bucket.interval !== interval) {
      bucket.interval = interval;
      bucket.byPriority.clear();
      bucket.total = 0;
    }
    bucket.total += 1;
    const count = bucket.byPriority.get(priority) ?? 0;
    bucket.byPriority.set(priority, count + 1);
  }

  /** Starts in the last second of priorities below this number. */
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

function startsBelow({byPriority}: Bucket, below: number): number {
  let count = 0;
  for (const [priority, starts] of byPriority) {
    count += priority < below ? starts : 0;
  }
  return count;
}
