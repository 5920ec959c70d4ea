/**
 * How many requests this process may send to one cold target, so that all
 * processes together keep to the target's bound. Takes the time as an argument.
 */
import type {RateLimitTracker} from './rate-limit-tracker';

const SECOND_MS = 1_000;
/** Validity of a permit for a cold target, counted from its request. */
export const COLD_PERMIT_TTL_MS = 250;
/**
 * Permits that may be used in one second, per permit issued in a second: their
 * validity adds a quarter, and the issuer's bucket another.
 */
const PERMIT_OVERSHOOT = 1.5;
/** The same without the bucket, which holds at least one permit. */
const PERMIT_TTL_OVERSHOOT = 1 + COLD_PERMIT_TTL_MS / SECOND_MS;
/**
 * Processes assumed at least, so that those that know few others, for instance
 * after a start, keep to the bound together with all others.
 */
export const MIN_ASSUMED_PROCESSES = 16;
/** With fewer, a sixteenth for each would use too little of the rate. */
const MIN_EQUAL_SHARES = 8;
/** Below a token by this much counts as a token: sums of fractions are inexact. */
const EPSILON = 1e-9;

/** The bound is rate x overshoot + slack requests in any one second. */
export interface WarmUpBounds {
  readonly overshoot: number;
  readonly slack: number;
}

/** What this process knows of the number of processes that send. */
export interface ProcessCount {
  /** Includes this process. */
  readonly known: number;
  /** This process may not have discovered the others yet. */
  readonly isProvisional: boolean;
}

/** Limit on the sends of this process to one cold target. */
export abstract class WarmUpLimit {
  /** Milliseconds until a request may be sent; 0 means now. */
  abstract waitMs(now: number): number;
  /** True if a request may be sent now and should be: what is unused is lost. */
  abstract hasPermit(now: number): boolean;
  /**
   * A request could be sent to the target. `fairPerSecond`: requests per second
   * that it would get from this process without the limit.
   */
  abstract noteDemand(fairPerSecond: number, now: number): void;
  abstract noteSent(now: number): void;
  /** `perSecond`: what the target accepts from all processes together. */
  abstract setRate(perSecond: number, count: ProcessCount, now: number): void;
  abstract close(): void;
}

/** An equal part of the rate, in a token bucket of size one. Makes no calls. */
export class EqualShare extends WarmUpLimit {
  private ownPerSecond = 0;
  /** The target would get more than this part without the limit. */
  private isShort = false;

  /** `tokens`: 1 if a request may be sent at once. */
  constructor(
    private tokens: number,
    private filledAt: number,
  ) {
    super();
  }

  waitMs(now: number): number {
    const missing = 1 - this.tokensAt(now);
    return missing < EPSILON ? 0 : (missing * SECOND_MS) / this.ownPerSecond;
  }

  hasPermit(now: number): boolean {
    return this.isShort && this.waitMs(now) === 0;
  }

  noteDemand(fairPerSecond: number): void {
    this.isShort = fairPerSecond > this.ownPerSecond;
  }

  noteSent(now: number): void {
    this.tokens = Math.max(this.tokensAt(now) - 1, 0);
    this.filledAt = now;
  }

  setRate(perSecond: number, count: ProcessCount, now: number): void {
    const ownPerSecond = perSecond / assumedProcesses(count);
    if (ownPerSecond !== this.ownPerSecond) {
      this.tokens = this.tokensAt(now);
      this.filledAt = now;
      this.ownPerSecond = ownPerSecond;
    }
  }

  close(): void {}

  private tokensAt(now: number): number {
    const elapsedMs = Math.max(now - this.filledAt, 0);
    return Math.min(
      this.tokens + (elapsedMs * this.ownPerSecond) / SECOND_MS,
      1,
    );
  }
}

/** Permits from the one process that issues those of the target. */
export class IssuedPermits extends WarmUpLimit {
  private issuedPerSecond: number | undefined;

  constructor(
    private readonly lifetime: string,
    private readonly permits: RateLimitTracker,
    private readonly bounds: WarmUpBounds,
  ) {
    super();
  }

  waitMs(now: number): number {
    return this.hasPermit(now)
      ? 0
      : Math.max(this.permits.waitMs(this.lifetime, now), 1);
  }

  hasPermit(now: number): boolean {
    return this.permits.hasPermit(this.lifetime, now);
  }

  noteDemand(_: number, now: number): void {
    this.permits.requestPermits([this.lifetime], now);
  }

  noteSent(now: number): void {
    this.permits.noteSent(this.lifetime, now);
  }

  setRate(perSecond: number, _: ProcessCount, now: number): void {
    const issuedPerSecond = permitRate(perSecond, this.bounds);
    if (issuedPerSecond !== this.issuedPerSecond) {
      this.issuedPerSecond = issuedPerSecond;
      this.permits.update(this.lifetime, {perSecond: issuedPerSecond, at: now});
    }
  }

  close(): void {
    this.permits.forget(this.lifetime);
  }
}

/**
 * True if equal shares keep to the bound, whatever other processes know, and use
 * most of the rate.
 */
export function fitsEqualShares(
  perSecond: number,
  bounds: WarmUpBounds,
  count: ProcessCount,
): boolean {
  const mayBeMany = count.isProvisional || count.known >= MIN_EQUAL_SHARES;
  return (
    mayBeMany &&
    perSecond + assumedProcesses(count) <= maxPerWindow(perSecond, bounds)
  );
}

function assumedProcesses({known}: ProcessCount): number {
  return Math.max(known, MIN_ASSUMED_PROCESSES);
}

/** Maximum requests in any one second, from all processes together. */
function maxPerWindow(perSecond: number, bounds: WarmUpBounds): number {
  return perSecond * bounds.overshoot + bounds.slack;
}

/** The rate, or less where a small overshoot or slack requires it. */
function permitRate(perSecond: number, bounds: WarmUpBounds): number {
  const max = maxPerWindow(perSecond, bounds);
  const withinBound = Math.min(
    max / PERMIT_OVERSHOOT,
    (max - 1) / PERMIT_TTL_OVERSHOOT,
  );
  return Math.max(Math.min(perSecond, withinBound), 0);
}
