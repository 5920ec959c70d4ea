/**
 * Requests that are refused because they crash the targets that run them, for a
 * time that each return of them renews. Pure over a clock reading.
 */
import * as bounded from '../bounded';

/** Time for which a request is refused, in milliseconds, since it last came. */
export const QUARANTINE_MS = 120_000;
/** Requests that are kept; the one that came longest ago goes first. */
const MAX_QUARANTINED = 1_024;
/** Time after which others are told again of one that goes on coming. */
const NOTIFY_INTERVAL_MS = 30_000;

interface QuarantineEntry {
  endsAt: number;
  /** When others were last told. */
  notifiedAt: number;
}

/** What others are told. */
export interface QuarantineNotice {
  readonly digest: string;
  readonly leftMs: number;
}

export class Quarantine {
  private readonly entries = new Map<string, QuarantineEntry>();
  /** Until when any request may be refused. */
  private lastEndsAt = -Infinity;

  /** Refuses a request from now on; true where it was not refused before. */
  add(digest: string, leftMs: number, now: number): boolean {
    const isNew = !this.has(digest, now);
    const until = now + Math.min(leftMs, QUARANTINE_MS);
    const before = this.entries.get(digest);
    this.lastEndsAt = Math.max(this.lastEndsAt, until);
    this.entries.delete(digest);
    this.entries.set(digest, {
      endsAt: Math.max(until, before?.endsAt ?? 0),
      notifiedAt: now,
    });
    bounded.dropOldest(this.entries, MAX_QUARANTINED);
    return isNew;
  }

  /** True where a request that has come is to be refused. */
  checkAndRenew(digest: string, now: number): boolean {
    const held = this.has(digest, now);
    if (held) {
      this.lastEndsAt = now + QUARANTINE_MS;
      this.entries.get(digest)!.endsAt = this.lastEndsAt;
    }
    return held;
  }

  /** True once in a while for one that goes on coming: others are told then. */
  takeNotification(digest: string, now: number): boolean {
    const held = this.entries.get(digest);
    const isDue =
      held !== undefined && now - held.notifiedAt > NOTIFY_INTERVAL_MS;
    if (isDue) {
      held.notifiedAt = now;
    }
    return isDue;
  }

  /** What a process that has just started should know. */
  notices(now: number): QuarantineNotice[] {
    return [...this.entries]
      .filter(([, {endsAt: until}]) => until > now)
      .map(([digest, {endsAt: until}]) => ({digest, leftMs: until - now}));
  }

  /** True where none is refused any more. */
  isEmpty(now: number): boolean {
    return now >= this.lastEndsAt;
  }

  get size(): number {
    return this.entries.size;
  }

  private has(digest: string, now: number): boolean {
    const held = this.entries.get(digest);
    if (held !== undefined && held.endsAt <= now) {
      this.entries.delete(digest);
      return false;
    }
    return held !== undefined;
  }
}
