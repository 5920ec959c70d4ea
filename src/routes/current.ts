/**
 * The configuration in force in this process, and when the store last confirmed
 * that it is the newest: API keys may only be accepted for a bounded time after
 * that. Versions only increase.
 */
import {BehaviorSubject} from 'rxjs';
import {RouteTable} from './table';
import type * as types from './types';

/**
 * A watch request waits up to 1.8 s, and a slow store may add some hundred
 * milliseconds.
 */
const MAX_CONFIRMATION_AGE_MS = 2_600;

export class CurrentConfiguration {
  /** Emits each version in force; undefined until the first one is known. */
  readonly tables = new BehaviorSubject<RouteTable | undefined>(undefined);
  private confirmedAt = -Infinity;

  get table(): RouteTable | undefined {
    return this.tables.value;
  }

  /** Applies a version if it is newer than the current one; true if applied. */
  offer(snapshot: types.Snapshot): boolean {
    const current = this.table?.snapshot.version ?? -Infinity;
    if (snapshot.version <= current) {
      return false;
    }
    this.tables.next(new RouteTable(snapshot));
    return true;
  }

  /**
   * Records that the current version was the newest at `at`, in milliseconds of
   * the monotonic clock.
   */
  confirm(at: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, at);
  }

  /**
   * Ages the last confirmation by the time that this instance was suspended.
   */
  backdate(lostMs: number): void {
    this.confirmedAt -= lostMs;
  }

  /**
   * True if the last confirmation is so old that callers should be served by
   * another entry.
   */
  isStale(now: number): boolean {
    return this.ageMs(now) > MAX_CONFIRMATION_AGE_MS;
  }

  /** Milliseconds since the store last confirmed the current version. */
  ageMs(now: number): number {
    return now - this.confirmedAt;
  }
}
