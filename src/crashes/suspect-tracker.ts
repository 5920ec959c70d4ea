/**
 * Requests that were under way as targets crashed, known in the field as queries of
 * death where they are the cause. A target dies with several requests in flight, so
 * one crash proves nothing of any of them: a request is guilty that was under way in
 * the crashes of several lifetimes and is hardly ever served. One that many callers
 * send is served meanwhile. Pure over a clock reading.
 */
import * as bounded from '../bounded';

/** Crashes of different lifetimes, beyond what was served, that make guilty. */
const CRASHES_TO_QUARANTINE = 3;
/** What is known of a request is forgotten after so long, in milliseconds. */
const SUSPECT_TTL_MS = 60_000;
/** Requests that are kept; the one suspected longest ago goes first. */
const MAX_SUSPECTS = 2_048;

interface Suspect {
  readonly lifetimes: Set<string>;
  served: number;
  lastCrashAt: number;
}

export class SuspectTracker {
  private readonly suspects = new Map<string, Suspect>();
  /** When a request was last under way in a crash. */
  private lastCrashAt = -Infinity;

  /** A request was under way as a lifetime of a target crashed. */
  noteCrash(digest: string, lifetime: string, now: number): void {
    const suspect = this.unexpired(digest, now) ?? {
      lifetimes: new Set(),
      served: 0,
      lastCrashAt: now,
    };
    suspect.lifetimes.add(lifetime);
    suspect.lastCrashAt = now;
    this.lastCrashAt = now;
    this.suspects.delete(digest);
    this.suspects.set(digest, suspect);
    bounded.dropOldest(this.suspects, MAX_SUSPECTS);
  }

  /** A suspected request was served. */
  noteServed(digest: string, now: number): void {
    const suspect = this.unexpired(digest, now);
    if (suspect !== undefined) {
      suspect.served += 1;
    }
  }

  /** True where a request was under way in a crash lately. */
  isSuspect(digest: string, now: number): boolean {
    return this.unexpired(digest, now) !== undefined;
  }

  shouldQuarantine(digest: string, now: number): boolean {
    const suspect = this.unexpired(digest, now);
    return (
      suspect !== undefined &&
      suspect.lifetimes.size - suspect.served >= CRASHES_TO_QUARANTINE
    );
  }

  /** True where nothing has crashed lately. */
  isEmpty(now: number): boolean {
    return now - this.lastCrashAt > SUSPECT_TTL_MS;
  }

  get size(): number {
    return this.suspects.size;
  }

  private unexpired(digest: string, now: number): Suspect | undefined {
    const suspect = this.suspects.get(digest);
    if (suspect !== undefined && now - suspect.lastCrashAt > SUSPECT_TTL_MS) {
      this.suspects.delete(digest);
      return undefined;
    }
    return suspect;
  }
}
