/**
 * Lends what targets take among the processes that send to them. One process
 * lends for a target; the others send only what they have borrowed. So the sum
 * stays under the limit though nobody knows what the others send, and what is
 * lent goes where the requests are. Pure over a clock reading.
 *
 * Who begins to lend waits first: the one that lent before has been told by
 * then, and what it had lent has run out. So does one that has been frozen.
 */
import * as bounded from '../bounded';
import * as limitWords from './rate-limit';
import type {RateLimit} from './rate-limit';

/** Time for which a permit holds, in milliseconds, from when it was asked for. */
export const PERMIT_TTL_MS = 1_000;
/**
 * Wait of a process that begins to lend, in milliseconds: that of a permit, and
 * of a call that tells the one that lent before.
 */
export const HANDOVER_DELAY_MS = 1_500;
/** Time between two signs of life of a process that lends, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 1_000;
/** Time without one after which others may have begun to lend. */
const HEARTBEAT_TIMEOUT_MS = 1.4 * HEARTBEAT_INTERVAL_MS;
/** Time after which nobody is taken to want permits of a target any more. */
const IDLE_TIMEOUT_MS = 30_000;
/**
 * Permits that gather while nobody asks: what a target takes in so much time,
 * in seconds, and at least one.
 */
const BURST_S = 0.25;
/**
 * Requests a second that are sent to a target that takes fewer: one that gets
 * nothing can't say that it takes more again.
 */
const MIN_RATE_PER_SECOND = 0.05;
/**
 * Longest time after which who got too little asks again, in milliseconds, and
 * the shortest.
 */
const MAX_WAIT_MS = 1_000;
const MIN_WAIT_MS = 50;
/** Targets for which one process lends. Source: as `MOST_RESTS`. */
const MAX_BUCKETS = 4_096;
const SECOND_MS = 1_000;

interface TokenBucket {
  limit: RateLimit;
  /** Monotonic time from which on permits are lent. */
  opensAt: number;
  /** Permits that may be lent, as of `filledAt`. */
  tokens: number;
  filledAt: number;
  requestedAt: number;
}

/** What a borrower gets. */
export interface PermitGrant {
  readonly permits: number;
  /** Milliseconds after which to ask again. */
  readonly waitMs: number;
  readonly word: RateLimit;
}

export class PermitIssuer {
  private readonly buckets = new Map<string, TokenBucket>();
  private lastHeartbeatAt = -Infinity;

  /**
   * Lends up to `wanted` permits for a lifetime of a target; `word` is what the
   * borrower knows of its limit.
   */
  grant(
    lifetime: string,
    word: RateLimit,
    wanted: number,
    now: number,
  ): PermitGrant {
    if (now - this.lastHeartbeatAt > HEARTBEAT_TIMEOUT_MS) {
      this.restart(now);
    }
    const loan = this.bucketOf(lifetime, word, now);
    loan.limit = limitWords.newer(loan.limit, word);
    loan.requestedAt = now;
    const {perSecond} = loan.limit;
    if (perSecond === undefined) {
      return {permits: 0, waitMs: 0, word: loan.limit};
    }
    const rate = Math.max(perSecond, MIN_RATE_PER_SECOND);
    refill(loan, rate, now);
    const permits = Math.min(Math.floor(loan.tokens), wanted);
    loan.tokens -= permits;
    const untilNext = (Math.max(1 - loan.tokens, 0) * SECOND_MS) / rate;
    const waitMs = Math.max(loan.opensAt - now, 0) + untilNext;
    return {permits, waitMs: clampWait(waitMs), word: loan.limit};
  }

  /** True while it lends for a lifetime of a target. */
  isIssuing(lifetime: string): boolean {
    return this.buckets.has(lifetime);
  }

  /** Another process lends from now on. */
  stop(lifetime: string): void {
    this.buckets.delete(lifetime);
  }

  /**
   * A sign of life: answers the lifetimes for which it lends, with what is
   * known of their limits.
   */
  heartbeat(now: number): ReadonlyArray<readonly [string, RateLimit]> {
    if (now - this.lastHeartbeatAt > HEARTBEAT_TIMEOUT_MS) {
      this.restart(now);
    }
    this.lastHeartbeatAt = now;
    for (const [lifetime, loan] of this.buckets) {
      if (now - loan.requestedAt > IDLE_TIMEOUT_MS) {
        this.buckets.delete(lifetime);
      }
    }
    return [...this.buckets].map(([lifetime, {limit: word}]) => [
      lifetime,
      word,
    ]);
  }

  /** Others may have begun to lend: whoever was suspended waits as at first. */
  restart(now: number): void {
    this.lastHeartbeatAt = now;
    this.buckets.forEach(loan => reset(loan, now));
  }

  get size(): number {
    return this.buckets.size;
  }

  private bucketOf(
    lifetime: string,
    word: RateLimit,
    now: number,
  ): TokenBucket {
    let loan = this.buckets.get(lifetime);
    if (loan === undefined) {
      loan = {
        limit: word,
        opensAt: 0,
        tokens: 0,
        filledAt: 0,
        requestedAt: now,
      };
      reset(loan, now);
      this.buckets.set(lifetime, loan);
      bounded.dropOldest(this.buckets, MAX_BUCKETS);
    }
    return loan;
  }
}

/** Nothing is lent for a while, and nothing has gathered after it. */
function reset(loan: TokenBucket, now: number): void {
  loan.opensAt = now + HANDOVER_DELAY_MS;
  loan.filledAt = loan.opensAt;
  loan.tokens = 0;
}

function refill(loan: TokenBucket, rate: number, now: number): void {
  const sinceMs = Math.max(now - loan.filledAt, 0);
  const depth = Math.max(rate * BURST_S, 1);
  loan.tokens = Math.min(loan.tokens + (rate * sinceMs) / SECOND_MS, depth);
  loan.filledAt = Math.max(now, loan.filledAt);
}

function clampWait(waitMs: number): number {
  return Math.min(Math.max(waitMs, MIN_WAIT_MS), MAX_WAIT_MS);
}
