/**
 * What targets have asked for in their answers, by lifetime: who starts again
 * has asked for nothing. Whoever chooses among targets asks here, whatever the
 * request and however often it was sent before: what fails at once looks idle, and
 * would get the more the busier the others are.
 */
import * as bounded from '../bounded';
import {Rest} from './rest';

/**
 * Lifetimes that are kept; the one that asked longest ago goes first. Source:
 * the size that decides has 3,200 targets.
 */
export const MOST_RESTS = 4_096;

export class RestBook {
  /** The one that asked longest ago first. */
  private readonly rests = new Map<string, Rest>();

  /**
   * A lifetime of a target has asked for so many milliseconds of rest. True
   * where it was at none.
   */
  ask(lifetime: string, ms: number, now: number): boolean {
    const isNew = !this.isResting(lifetime, now);
    const rest = this.rests.get(lifetime) ?? new Rest();
    this.rests.delete(lifetime);
    this.rests.set(lifetime, rest);
    rest.ask(ms, now);
    if (this.rests.size > MOST_RESTS) {
      this.prune(now);
    }
    return isNew;
  }

  /** True until the end of the rest that a lifetime has asked for. */
  isResting(lifetime: string, now: number): boolean {
    return this.rests.get(lifetime)?.isResting(now) ?? false;
  }

  /** Milliseconds until a lifetime may be sent something; 0: it may now. */
  waitMs(lifetime: string, now: number): number {
    return this.rests.get(lifetime)?.waitMs(now) ?? 0;
  }

  /** Those of some targets that may be sent something. */
  awake<T>(
    targets: readonly T[],
    lifetimeOf: (target: T) => string,
    now: number,
  ): readonly T[] {
    return this.rests.size === 0
      ? targets
      : targets.filter(target => this.waitMs(lifetimeOf(target), now) === 0);
  }

  /** Notes that a request goes to a lifetime. */
  noteSent(lifetime: string, now: number): void {
    this.rests.get(lifetime)?.noteSent(now);
  }

  /** A lifetime has taken a request; true where it is used as before now. */
  noteTaken(lifetime: string, sentAt: number, now: number): boolean {
    const rest = this.rests.get(lifetime);
    rest?.noteTaken(sentAt);
    const isOver = rest?.isOver(now) ?? false;
    if (isOver) {
      this.rests.delete(lifetime);
    }
    return isOver;
  }

  /** A lifetime is over. */
  forget(lifetime: string): void {
    this.rests.delete(lifetime);
  }

  get size(): number {
    return this.rests.size;
  }

  private prune(now: number): void {
    for (const [lifetime, rest] of this.rests) {
      if (rest.isOver(now)) {
        this.rests.delete(lifetime);
      }
    }
    bounded.dropOldest(this.rests, MOST_RESTS);
  }
}
