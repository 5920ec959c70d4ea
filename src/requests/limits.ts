/**
 * Rate and concurrency limits of client accounts at one entry: a token bucket
 * and a counter per account. Each entry enforces its share of the limits.
 */
import * as refusals from './refusals';

/** An account's limits over all entries together. */
export interface AccountLimit {
  readonly requestsPerSecond: number;
  readonly burst: number;
  readonly concurrent: number;
}

interface TokenBucket {
  tokens: number;
  refilledAt: number;
  running: number;
}

const SECOND_MS = 1_000;
const MAX_BUCKETS = 10_000;

export class AccountLimits {
  private readonly buckets = new Map<string, TokenBucket>();

  /** `share` is this entry's share of every limit, in (0, 1]. */
  constructor(private readonly share: () => number) {}

  /**
   * Admits a request or returns the refusal. Pair an admission with `release`.
   */
  acquire(
    account: string,
    limit: AccountLimit,
    now: number,
  ): refusals.Refusal | undefined {
    const bucket = this.refill(account, limit, now);
    const maxRunning = Math.max(1, Math.ceil(limit.concurrent * this.share()));
    if (bucket.running >= maxRunning) {
      return refusals.notRun(
        'account-limit',
        `${bucket.running} requests are running`,
        SECOND_MS,
      );
    }
    if (bucket.tokens < 1) {
      const rate = limit.requestsPerSecond * this.share();
      const waitMs = ((1 - bucket.tokens) / rate) * SECOND_MS;
      return refusals.notRun(
        'account-limit',
        `more than ${limit.requestsPerSecond} requests a second`,
        waitMs,
      );
    }
    bucket.tokens -= 1;
    bucket.running += 1;
    return undefined;
  }

  release(account: string): void {
    const bucket = this.buckets.get(account);
    if (bucket !== undefined) {
      bucket.running = Math.max(0, bucket.running - 1);
    }
  }

  private refill(
    account: string,
    limit: AccountLimit,
    now: number,
  ): TokenBucket {
    const burst = Math.max(1, limit.burst * this.share());
    const existing = this.buckets.get(account);
    if (existing === undefined) {
      const bucket = {tokens: burst, refilledAt: now, running: 0};
      this.buckets.set(account, bucket);
      this.evictIdle();
      return bucket;
    }
    const rate = limit.requestsPerSecond * this.share();
    const gained = ((now - existing.refilledAt) / SECOND_MS) * rate;
    existing.tokens = Math.min(burst, existing.tokens + Math.max(gained, 0));
    existing.refilledAt = now;
    return existing;
  }

  private evictIdle(): void {
    for (const [account, bucket] of this.buckets) {
      if (this.buckets.size <= MAX_BUCKETS) {
        return;
      }
      if (bucket.running === 0) {
        this.buckets.delete(account);
      }
    }
  }
}
