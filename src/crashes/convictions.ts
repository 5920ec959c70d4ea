/**
 * Requests that are refused because they crash the targets that run them, for a
 * time that each return of them renews. Pure over a clock reading.
 */
import * as bounded from '../bounded';

/** Time for which a request is refused, in milliseconds, since it last came. */
export const CONVICTED_MS = 120_000;
/** Requests that are kept; the one that came longest ago goes first. */
const MOST_CONVICTED = 1_024;
/** Time after which others are told again of one that goes on coming. */
const TELL_AGAIN_MS = 30_000;

interface Conviction {
  until: number;
  /** When others were last told. */
  toldAt: number;
}

/** What others are told. */
export interface ConvictionTold {
  readonly digest: string;
  readonly leftMs: number;
}

export class Convictions {
  private readonly held = new Map<string, Conviction>();
  /** Until when any request may be refused. */
  private latest = -Infinity;

  /** Refuses a request from now on; true where it was not refused before. */
  convict(digest: string, leftMs: number, now: number): boolean {
    const isNew = !this.has(digest, now);
    const until = now + Math.min(leftMs, CONVICTED_MS);
    const before = this.held.get(digest);
    this.latest = Math.max(this.latest, until);
    this.held.delete(digest);
    this.held.set(digest, {
      until: Math.max(until, before?.until ?? 0),
      toldAt: now,
    });
    bounded.dropOldest(this.held, MOST_CONVICTED);
    return isNew;
  }

  /** True where a request that has come is to be refused. */
  takeRefusal(digest: string, now: number): boolean {
    const held = this.has(digest, now);
    if (held) {
      this.latest = now + CONVICTED_MS;
      this.held.get(digest)!.until = this.latest;
    }
    return held;
  }

  /** True once in a while for one that goes on coming: others are told then. */
  takeTelling(digest: string, now: number): boolean {
    const held = this.held.get(digest);
    const isDue = held !== undefined && now - held.toldAt > TELL_AGAIN_MS;
    if (isDue) {
      held.toldAt = now;
    }
    return isDue;
  }

  /** What a process that has just started should know. */
  toTell(now: number): ConvictionTold[] {
    return [...this.held]
      .filter(([, {until}]) => until > now)
      .map(([digest, {until}]) => ({digest, leftMs: until - now}));
  }

  /** True where none is refused any more. */
  isEmpty(now: number): boolean {
    return now >= this.latest;
  }

  get size(): number {
    return this.held.size;
  }

  private has(digest: string, now: number): boolean {
    const held = this.held.get(digest);
    if (held !== undefined && held.until <= now) {
      this.held.delete(digest);
      return false;
    }
    return held !== undefined;
  }
}
