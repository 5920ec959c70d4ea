/**
 * Entries that don't report about a pool, and how much of it they may use all the
 * same. Takes the time as an argument.
 */
import * as bounded from '../bounded';
import * as timing from './timing';

/** What an entry has answered holds until the next announcement is answered. */
const ANSWER_TTL_MS = 1.5 * timing.ANNOUNCE_INTERVAL_MS;
/** Part of the capacity is kept for an unreachable entry for at most this long. */
const MAX_RESERVED_MS = 30_000;
const MAX_ENTRIES = 128;

interface MissingEntry {
  /** Requests that it may have in flight. */
  readonly held: number;
  readonly isUnreachable: boolean;
  /** Monotonic time of its answer, or from which it was unreachable. */
  readonly since: number;
}

export class MissingEntries {
  private readonly entries = new Map<string, MissingEntry>();
  private readonly announcedAt = new Map<string, number>();

  /** Call when the entry has reported. */
  remove(entry: string): void {
    this.entries.delete(entry);
    this.announcedAt.delete(entry);
  }

  /** The entry uses at most `held`, by its own answer or because it is gone. */
  noteHeld(entry: string, held: number, now: number): void {
    this.set(entry, {held, isUnreachable: false, since: now});
  }

  /** The entry's reports have ended; it may use `held` for a while. */
  noteLapsed(entry: string, held: number, now: number): void {
    this.set(entry, {held, isUnreachable: true, since: now});
  }

  noteUnreachable(entry: string, now: number): void {
    const before = this.entries.get(entry);
    if (before?.isUnreachable !== true) {
      const held = before?.held ?? 0;
      this.set(entry, {held, isUnreachable: true, since: now});
    }
  }

  /** True if an announcement to the entry was answered or has failed. */
  isKnown(entry: string): boolean {
    return this.entries.has(entry);
  }

  /** True if an announcement to the entry is due, which then counts as made. */
  takeDue(entry: string, now: number): boolean {
    const announcedAt = this.announcedAt.get(entry) ?? -Infinity;
    const isDue = now - announcedAt >= timing.ANNOUNCE_INTERVAL_MS;
    if (isDue) {
      this.announcedAt.set(entry, now);
      bounded.dropOldest(this.announcedAt, MAX_ENTRIES);
    }
    return isDue;
  }

  /**
   * Requests that the entry may have in flight. One that has not answered lately
   * may use an equal part, as all do without a share.
   */
  reservedFor(entry: string, equalPart: number, now: number): number {
    const missing = this.entries.get(entry);
    if (missing === undefined) {
      return equalPart;
    }
    const elapsedMs = now - missing.since;
    if (!missing.isUnreachable) {
      return elapsedMs < ANSWER_TTL_MS ? missing.held : equalPart;
    }
    if (elapsedMs < timing.FALLBACK_MS) {
      return Math.max(missing.held, equalPart);
    }
    return elapsedMs < MAX_RESERVED_MS ? equalPart : 0;
  }

  private set(entry: string, missing: MissingEntry): void {
    this.entries.set(entry, missing);
    bounded.dropOldest(this.entries, MAX_ENTRIES);
  }
}
