/** Counts events by name over the last seconds. Pure. */

const BUCKETS = 10;

interface Bucket {
  /** Number of the interval that it counts. */
  interval: number;
  readonly counts: Map<string, number>;
}

export class RecentCounts {
  private readonly buckets: Bucket[] = Array.from({length: BUCKETS}, () => ({
    interval: -Infinity,
    counts: new Map<string, number>(),
  }));
  private readonly bucketMs: number;

  /** `windowMs`: how long an event counts, in steps of a tenth. */
  constructor(windowMs: number) {
    this.bucketMs = windowMs / BUCKETS;
  }

  note(name: string, now: number): void {
    const interval = Math.floor(now / this.bucketMs);
    const bucket = this.buckets[interval % BUCKETS]!;
    if (bucket.interval !== interval) {
      bucket.interval = interval;
      bucket.counts.clear();
    }
    bucket.counts.set(name, (bucket.counts.get(name) ?? 0) + 1);
  }

  /** The counts within the window, the largest first. */
  counts(now: number): Array<[string, number]> {
    const oldest = Math.floor(now / this.bucketMs) - BUCKETS;
    const total = new Map<string, number>();
    for (const {interval, counts} of this.buckets) {
      for (const [name, count] of interval > oldest ? counts : []) {
        total.set(name, (total.get(name) ?? 0) + count);
      }
    }
    return [...total].sort((a, b) => b[1] - a[1]);
  }
}

/** The first `most` counts, and the sum of the others as `other`. */
export function largest(
  counts: ReadonlyArray<readonly [string, number]>,
  most: number,
): Record<string, number> {
  const rest = counts.slice(most).reduce((sum, [, count]) => sum + count, 0);
  const shown = counts.slice(0, most);
  return Object.fromEntries(rest > 0 ? [...shown, ['other', rest]] : shown);
}
