/**
 * An entry's share of one pool: how many requests it may have in flight, with or
 * without a valid lease, and when it reports. Takes the time as an argument.
 */
import {demandOf} from './allocate';
import type {ShareGrant} from './app';
import * as timing from './timing';
import type {PoolDemand} from './types';

/** Wait after a callee that found no allocator: its view has been learned. */
const REDIRECT_DELAY_MS = 50;
/** Bounds the rate of reports whatever a peer answers. */
const MIN_WAIT_MS = 20;
/** Covers some intervals at which waiting requests are tried. */
const FULL_MS = 200;
/** An announcement holds for this long; one may be lost. */
const ANNOUNCED_MS = 2.2 * timing.ANNOUNCE_INTERVAL_MS;

/** An entry's use of a pool at a moment. */
export interface PoolUse {
  /** Concurrent requests of all entries. */
  readonly capacity: number;
  /** Assumed number of entries, this one included. */
  readonly entries: number;
  /** The capacity divided by this is the equal part of an entry. */
  readonly parts: number;
  readonly lines: PoolDemand;
}

export class PoolLease {
  /** Monotonic time of the report on which the last share was granted. */
  grantedOn = -Infinity;
  private share: number | undefined;
  /** Monotonic time at which the lease ends or has ended. */
  private validUntil = -Infinity;
  private shortUntil = -Infinity;
  /** What the allocator said last, by a grant or an announcement. */
  private isSaidShort = false;
  private fullUntil = -Infinity;
  private announcedUntil = -Infinity;
  private reportedAt = -Infinity;
  private waitMs = 0;
  private hadWaiting = false;
  private demandAt = -Infinity;
  /** A report is under way. */
  isReporting = false;
  /** The allocator has a report of this entry that is not marked as the last. */
  isKnown = false;

  /**
   * The pool may be short, so that its allocator must know of this entry's demand.
   * A single request can be enough: this alone limits nothing.
   */
  isSuspected(use: PoolUse, now: number): boolean {
    return (
      now < this.shortUntil ||
      inFlightOf(use) * use.entries > timing.SHORT_SHARE * use.capacity ||
      hasWaiting(use)
    );
  }

  /**
   * The allocator has said so lately, or, unless it has denied it in a valid
   * grant, this entry's own requests show it.
   */
  private isShort(use: PoolUse, now: number): boolean {
    if (this.isSaidShort && now < this.shortUntil) {
      return true;
    }
    const isDenied = !this.isSaidShort && now < this.validUntil;
    return (
      !isDenied &&
      ((now < this.fullUntil && hasWaiting(use)) ||
        inFlightOf(use) > timing.SHORT_SHARE * use.capacity)
    );
  }

  /** Reports go on for a while after the last request, in case more follow. */
  shouldReport(use: PoolUse, now: number): boolean {
    if (hasDemand(use)) {
      this.demandAt = now;
    }
    return this.isSuspected(use, now) && now - this.demandAt < timing.SHORT_MS;
  }

  /** Requests that the entry may have in flight; undefined: no limit. */
  limit(use: PoolUse, now: number): number | undefined {
    if (!this.isShort(use, now)) {
      return undefined;
    }
    if (now < this.validUntil) {
      return Math.max(this.share ?? 0, 1);
    }
    if (now < this.announcedUntil) {
      return 1;
    }
    const equalPart = Math.max(Math.floor(use.capacity / use.parts), 1);
    const isRecent = now < this.validUntil + timing.FALLBACK_MS;
    return isRecent ? Math.max(this.share ?? 0, equalPart) : equalPart;
  }

  /** Monotonic time of the next report. */
  nextReportAt(use: PoolUse): number {
    const isSudden = !this.hadWaiting && hasWaiting(use);
    const waitMs = isSudden
      ? Math.min(this.waitMs, timing.MIN_REPORT_INTERVAL_MS)
      : this.waitMs;
    return this.reportedAt + waitMs;
  }

  /** A report is now sent. */
  startReport(use: PoolUse, isLast: boolean, now: number): void {
    this.isReporting = true;
    this.isKnown = !isLast;
    if (isLast) {
      this.share = undefined;
      this.validUntil = -Infinity;
    }
    this.reportedAt = now;
    this.waitMs = timing.REPORT_INTERVAL_MS;
    this.hadWaiting = hasWaiting(use);
  }

  /** `sentAt`: when the report was sent. */
  applyGrant(grant: ShareGrant, sentAt: number): void {
    this.share = grant.share;
    this.grantedOn = sentAt;
    this.validUntil = sentAt + timing.LEASE_MS;
    this.waitMs = Math.min(
      Math.max(grant.waitMs, MIN_WAIT_MS),
      timing.REPORT_INTERVAL_MS,
    );
    this.announcedUntil = -Infinity;
    this.isSaidShort = grant.isShort;
    if (grant.isShort) {
      this.shortUntil = sentAt + timing.SHORT_MS;
    }
  }

  /** A peer has answered, but found no allocator. */
  noteRedirected(): void {
    this.waitMs = REDIRECT_DELAY_MS;
    this.announcedUntil = -Infinity;
  }

  /** A report was not answered: the next one goes to another peer. */
  noteUnanswered(): void {
    this.waitMs = timing.MIN_REPORT_INTERVAL_MS;
    this.announcedUntil = -Infinity;
  }

  /** The allocator has announced that the pool is short. */
  noteAnnounced(now: number): void {
    this.shortUntil = Math.max(this.shortUntil, now + timing.SHORT_MS);
    this.isSaidShort = true;
    this.announcedUntil = now + ANNOUNCED_MS;
  }

  /** A request that found the targets full waits. */
  noteFull(now: number): void {
    this.fullUntil = now + FULL_MS;
  }

  /** Ends the lease, as after a suspension. */
  invalidate(now: number): void {
    this.validUntil = Math.min(this.validUntil, now);
    this.announcedUntil = -Infinity;
    this.waitMs = 0;
  }
}

export function inFlightOf({lines}: PoolUse): number {
  return lines.reduce((sum, {inFlight}) => sum + inFlight, 0);
}

export function waitingOf({lines}: PoolUse): number {
  return lines.reduce((sum, {waiting}) => sum + waiting, 0);
}

export function hasDemand({lines}: PoolUse): boolean {
  return demandOf(lines) > 0;
}

function hasWaiting({lines}: PoolUse): boolean {
  return lines.some(({waiting}) => waiting > 0);
}
