/**
 * The configuration in force in this process. Versions only rise. It also
 * knows how long ago the store last confirmed that nothing newer exists,
 * because a key may only be trusted for a bounded time without that.
 */
import {BehaviorSubject} from 'rxjs';
import {RouteTable} from './table';
import type * as types from './types';

/**
 * Milliseconds without the store. A watch waits up to 1.8 s, and a slow store
 * may take some hundred milliseconds more.
 */
const MAX_CONFIRMATION_AGE_MS = 2_600;

export class CurrentConfiguration {
  /** Undefined until the first version is known. */
  readonly tables = new BehaviorSubject<RouteTable | undefined>(undefined);
  private confirmedAt = -Infinity;

  get table(): RouteTable | undefined {
    return this.tables.value;
  }

  /** Takes a version unless a newer one is held. True where it was taken. */
  offer(snapshot: types.Snapshot): boolean {
    const held = this.table?.snapshot.version ?? -Infinity;
    if (snapshot.version <= held) {
      return false;
    }
    this.tables.next(new RouteTable(snapshot));
    return true;
  }

  /**
   * Notes that the version held was the newest at `at`, in milliseconds of
   * the process's monotonic clock.
   */
  confirm(at: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, at);
  }

  /** This instance was suspended: the last word is older by so much. */
  backdate(lostMs: number): void {
    this.confirmedAt -= lostMs;
  }

  /**
   * True where the store was silent for so long that callers are better
   * served by another entry.
   */
  isStale(now: number): boolean {
    return this.ageMs(now) > MAX_CONFIRMATION_AGE_MS;
  }

  /** Milliseconds since the store last confirmed the version held. */
  ageMs(now: number): number {
    return now - this.confirmedAt;
  }
}
