/**
 * Requests that were in flight when targets crashed (suspected queries of death).
 * Several requests are in flight in a crash, so one is quarantined only once the
 * lifetimes that crashed with it outnumber its successes by CRASHES_TO_QUARANTINE.
 * The difference is kept between 0 and that, so that neither many crashes at once
 * nor many earlier successes outweigh what follows. Takes the time as an argument.
 */
import * as bounded from '../bounded';

/** Score of a request that is quarantined. */
const CRASHES_TO_QUARANTINE = 3;
/** Counted from the request's latest crash. */
const SUSPECT_TTL_MS = 60_000;
/** The request whose latest crash is oldest is dropped first. */
const MAX_SUSPECTS = 2_048;

interface Suspect {
  readonly lifetimes: Set<string>;
  /** Crashed lifetimes minus successes. */
  score: number;
  lastCrashAt: number;
}

export class SuspectTracker {
  private readonly suspects = new Map<string, Suspect>();
  /** Time of the latest crash of any request. */
  private lastCrashAt = -Infinity;

  /** Records a request that was in flight when a target crashed. */
  noteCrash(digest: string, lifetime: string, now: number): void {
    const suspect = this.unexpired(digest, now) ?? {
      lifetimes: new Set(),
      score: 0,
      lastCrashAt: now,
    };
    if (!suspect.lifetimes.has(lifetime)) {
      suspect.lifetimes.add(lifetime);
      suspect.score = Math.min(suspect.score + 1, CRASHES_TO_QUARANTINE);
    }
    suspect.lastCrashAt = now;
    this.lastCrashAt = now;
    this.suspects.delete(digest);
    this.suspects.set(digest, suspect);
    bounded.dropOldest(this.suspects, MAX_SUSPECTS);
  }

  /** Records a success; ignored unless the request is a suspect. */
  noteServed(digest: string, now: number): void {
    const suspect = this.unexpired(digest, now);
    if (suspect !== undefined) {
      suspect.score = Math.max(suspect.score - 1, 0);
    }
  }

  /** True if the request was in flight in a recent crash. */
  isSuspect(digest: string, now: number): boolean {
    return this.unexpired(digest, now) !== undefined;
  }

  shouldQuarantine(digest: string, now: number): boolean {
    const suspect = this.unexpired(digest, now);
    return suspect !== undefined && suspect.score >= CRASHES_TO_QUARANTINE;
  }

  /** True if there was no recent crash. */
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
