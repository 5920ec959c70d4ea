/**
 * What targets have asked for in their answers, by lifetime: who starts again
 * has asked for nothing. Whoever chooses among targets asks here, whatever the
 * request and however often it was sent before: what fails at once looks idle, and
 * would get the more the busier the others are.
 */
import * as bounded from '../bounded';
import {Cooldown} from './cooldown';

/**
 * Lifetimes that are kept; the one that asked longest ago goes first. Source:
 * the size that decides has 3,200 targets.
 */
export const MAX_COOLDOWNS = 4_096;

export class CooldownTracker {
  /** The one that asked longest ago first. */
  private readonly cooldowns = new Map<string, Cooldown>();

  /**
   * A lifetime of a target has asked for so many milliseconds of rest. True
   * where it was at none.
   */
  start(lifetime: string, ms: number, now: number): boolean {
    const isNew = !this.isActive(lifetime, now);
    const rest = this.cooldowns.get(lifetime) ?? new Cooldown();
    this.cooldowns.delete(lifetime);
    this.cooldowns.set(lifetime, rest);
    rest.start(ms, now);
    if (this.cooldowns.size > MAX_COOLDOWNS) {
      this.prune(now);
    }
    return isNew;
  }

  /** True until the end of the rest that a lifetime has asked for. */
  isActive(lifetime: string, now: number): boolean {
    return this.cooldowns.get(lifetime)?.isActive(now) ?? false;
  }

  /** Milliseconds until a lifetime may be sent something; 0: it may now. */
  waitMs(lifetime: string, now: number): number {
    return this.cooldowns.get(lifetime)?.waitMs(now) ?? 0;
  }

  /** Those of some targets that may be sent something. */
  filterAvailable<T>(
    targets: readonly T[],
    lifetimeOf: (target: T) => string,
    now: number,
  ): readonly T[] {
    return this.cooldowns.size === 0
      ? targets
      : targets.filter(target => this.waitMs(lifetimeOf(target), now) === 0);
  }

  /** Notes that a request goes to a lifetime. */
  noteSent(lifetime: string, now: number): void {
    this.cooldowns.get(lifetime)?.noteSent(now);
  }

  /** A lifetime has taken a request; true where it is used as before now. */
  noteAccepted(lifetime: string, sentAt: number, now: number): boolean {
    const rest = this.cooldowns.get(lifetime);
    rest?.noteAccepted(sentAt);
    const isOver = rest?.isOver(now) ?? false;
    if (isOver) {
      this.cooldowns.delete(lifetime);
    }
    return isOver;
  }

  /** A lifetime is over. */
  forget(lifetime: string): void {
    this.cooldowns.delete(lifetime);
  }

  get size(): number {
    return this.cooldowns.size;
  }

  private prune(now: number): void {
    for (const [lifetime, rest] of this.cooldowns) {
      if (rest.isOver(now)) {
        this.cooldowns.delete(lifetime);
      }
    }
    bounded.dropOldest(this.cooldowns, MAX_COOLDOWNS);
  }
}
