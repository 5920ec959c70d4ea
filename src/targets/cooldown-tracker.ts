/**
 * Cooldowns of targets, by lifetime: a restarted target has none. Keeps a target
 * that fails fast from looking idle and attracting more requests.
 */
import * as bounded from '../bounded';
import {Cooldown} from './cooldown';

/**
 * The cooldown started or extended longest ago is dropped first. Sized for
 * sites of 3,200 targets.
 */
export const MAX_COOLDOWNS = 4_096;

export class CooldownTracker {
  /** In order of their latest start. */
  private readonly cooldowns = new Map<string, Cooldown>();

  /** Starts or extends a cooldown; true if none was active. */
  start(lifetime: string, ms: number, now: number): boolean {
    const isNew = !this.isActive(lifetime, now);
    const cooldown = this.cooldowns.get(lifetime) ?? new Cooldown();
    this.cooldowns.delete(lifetime);
    this.cooldowns.set(lifetime, cooldown);
    cooldown.start(ms, now);
    if (this.cooldowns.size > MAX_COOLDOWNS) {
      this.prune(now);
    }
    return isNew;
  }

  isActive(lifetime: string, now: number): boolean {
    return this.cooldowns.get(lifetime)?.isActive(now) ?? false;
  }

  /** Milliseconds until a request may be sent; 0 means now. */
  waitMs(lifetime: string, now: number): number {
    return this.cooldowns.get(lifetime)?.waitMs(now) ?? 0;
  }

  /** The targets that a request may be sent to now. */
  filterAvailable<T>(
    targets: readonly T[],
    lifetimeOf: (target: T) => string,
    now: number,
  ): readonly T[] {
    return this.cooldowns.size === 0
      ? targets
      : targets.filter(target => this.waitMs(lifetimeOf(target), now) === 0);
  }

  /** Records a request to a target. */
  noteSent(lifetime: string, now: number): void {
    this.cooldowns.get(lifetime)?.noteSent(now);
  }

  /** Records an accepted request; true if it ended the cooldown. */
  noteAccepted(lifetime: string, sentAt: number, now: number): boolean {
    const cooldown = this.cooldowns.get(lifetime);
    cooldown?.noteAccepted(sentAt);
    const isOver = cooldown?.isOver(now) ?? false;
    if (isOver) {
      this.cooldowns.delete(lifetime);
    }
    return isOver;
  }

  forget(lifetime: string): void {
    this.cooldowns.delete(lifetime);
  }

  get size(): number {
    return this.cooldowns.size;
  }

  private prune(now: number): void {
    for (const [lifetime, cooldown] of this.cooldowns) {
      if (cooldown.isOver(now)) {
        this.cooldowns.delete(lifetime);
      }
    }
    bounded.dropOldest(this.cooldowns, MAX_COOLDOWNS);
  }
}
