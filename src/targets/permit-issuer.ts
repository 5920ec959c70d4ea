/**
 * Issues permits to send to rate-limited targets. One process issues a target's
 * permits; all others send only with permits from it, so their sum stays under the
 * limit. Takes the time as an argument.
 *
 * A new issuer, or one that was suspended, first waits until the former issuer
 * has been notified and its permits have expired.
 */
import * as bounded from '../bounded';
import * as rateLimits from './rate-limit';
import type {RateLimit} from './rate-limit';

/** Validity of a permit, counted from its request. */
export const PERMIT_TTL_MS = 1_000;
/** Covers the validity of a permit and the call to the former issuer. */
export const HANDOVER_DELAY_MS = 1_500;
export const HEARTBEAT_INTERVAL_MS = 1_000;
/** After this time without a heartbeat, others may have become issuer. */
const HEARTBEAT_TIMEOUT_MS = 1.4 * HEARTBEAT_INTERVAL_MS;
/** The bucket of a target without requests is removed after this time. */
const IDLE_TIMEOUT_MS = 30_000;
/** Bucket capacity as a time at the limit's rate; at least one token. */
export const BURST_S = 0.25;
/**
 * Minimum rate, whatever the limit: a target that gets no requests could not
 * advertise a higher limit.
 */
const MIN_RATE_PER_SECOND = 0.05;
const MAX_WAIT_MS = 1_000;
const MIN_WAIT_MS = 50;
/** Sized for sites of 3,200 targets. */
const MAX_BUCKETS = 4_096;
const SECOND_MS = 1_000;

interface TokenBucket {
  limit: RateLimit;
  /** Monotonic time from which permits are granted. */
  opensAt: number;
  /** As of `filledAt`. */
  tokens: number;
  filledAt: number;
  requestedAt: number;
}

export interface PermitGrant {
  readonly permits: number;
  /** Milliseconds until the next request. */
  readonly waitMs: number;
  readonly word: RateLimit;
}

export class PermitIssuer {
  private readonly buckets = new Map<string, TokenBucket>();
  private lastHeartbeatAt = -Infinity;
  /** When buckets were last removed, by lifetime. */
  private readonly removedAt = new Map<string, number>();

  /**
   * `handoverMs`: time for which a new or suspended issuer grants nothing.
   * `startedAt`: monotonic time of the start of this process. Without a handover, a
   * new bucket holds what it would have earned since then, or since its removal.
   */
  constructor(
    private readonly handoverMs = HANDOVER_DELAY_MS,
    private startedAt = -Infinity,
  ) {}

  /**
   * Grants up to `wanted` permits; `word` is the limit known to the requesting
   * process, `share` the part of it that this process issues.
   */
  grant(
    lifetime: string,
    word: RateLimit,
    wanted: number,
    now: number,
    share = 1,
  ): PermitGrant {
    if (now - this.lastHeartbeatAt > HEARTBEAT_TIMEOUT_MS) {
      this.restart(now);
    }
    const bucket = this.bucketOf(lifetime, word, now);
    bucket.limit = rateLimits.newer(bucket.limit, word);
    bucket.requestedAt = now;
    const {perSecond} = bucket.limit;
    if (perSecond === undefined) {
      return {permits: 0, waitMs: 0, word: bucket.limit};
    }
    const rate = Math.max(perSecond * share, MIN_RATE_PER_SECOND);
    refill(bucket, rate, now);
    const permits = Math.min(Math.floor(bucket.tokens), wanted);
    bucket.tokens -= permits;
    const untilNextMs = (Math.max(1 - bucket.tokens, 0) * SECOND_MS) / rate;
    const waitMs = Math.max(bucket.opensAt - now, 0) + untilNextMs;
    return {permits, waitMs: clampWait(waitMs), word: bucket.limit};
  }

  isIssuing(lifetime: string): boolean {
    return this.buckets.has(lifetime);
  }

  /** Call when another process has become the issuer. */
  stop(lifetime: string, now: number): void {
    if (this.buckets.delete(lifetime)) {
      this.removedAt.set(lifetime, now);
      bounded.dropOldest(this.removedAt, MAX_BUCKETS);
    }
  }

  /** Returns the lifetimes whose permits it issues, with their limits. */
  heartbeat(now: number): ReadonlyArray<readonly [string, RateLimit]> {
    if (now - this.lastHeartbeatAt > HEARTBEAT_TIMEOUT_MS) {
      this.restart(now);
    }
    this.lastHeartbeatAt = now;
    for (const [lifetime, bucket] of this.buckets) {
      if (now - bucket.requestedAt > IDLE_TIMEOUT_MS) {
        this.stop(lifetime, now);
      }
    }
    return [...this.buckets].map(([lifetime, {limit}]) => [lifetime, limit]);
  }

  /** Waits as a new issuer does: others may have issued permits meanwhile. */
  restart(now: number): void {
    this.lastHeartbeatAt = now;
    if (this.buckets.size > 0) {
      this.startedAt = Math.max(this.startedAt, now);
    }
    this.buckets.forEach(bucket => this.reset(bucket, now));
  }

  get size(): number {
    return this.buckets.size;
  }

  private bucketOf(
    lifetime: string,
    limit: RateLimit,
    now: number,
  ): TokenBucket {
    let bucket = this.buckets.get(lifetime);
    if (bucket === undefined) {
      bucket = {
        limit,
        opensAt: 0,
        tokens: 0,
        filledAt: 0,
        requestedAt: now,
      };
      this.reset(bucket, now);
      if (this.handoverMs === 0) {
        const emptyAt = this.removedAt.get(lifetime) ?? this.startedAt;
        bucket.filledAt = Math.min(Math.max(emptyAt, this.startedAt), now);
      }
      this.buckets.set(lifetime, bucket);
      bounded.dropOldest(this.buckets, MAX_BUCKETS);
    }
    return bucket;
  }

  /** Blocks grants for the handover delay and empties the bucket. */
  private reset(bucket: TokenBucket, now: number): void {
    bucket.opensAt = now + this.handoverMs;
    bucket.filledAt = bucket.opensAt;
    bucket.tokens = 0;
  }
}

function refill(bucket: TokenBucket, rate: number, now: number): void {
  const elapsedMs = Math.max(now - bucket.filledAt, 0);
  const capacity = Math.max(rate * BURST_S, 1);
  bucket.tokens = Math.min(
    bucket.tokens + (rate * elapsedMs) / SECOND_MS,
    capacity,
  );
  bucket.filledAt = Math.max(now, bucket.filledAt);
}

function clampWait(waitMs: number): number {
  return Math.min(Math.max(waitMs, MIN_WAIT_MS), MAX_WAIT_MS);
}
