/**
 * When requests may be sent to listed targets: not during a cooldown, and not to
 * rate-limited or cold targets above what these accept.
 */
import type {RateLimitHeader} from '../http/server-limit';
import {CooldownTracker} from '../targets/cooldown-tracker';
import {LimitChange, RateLimitTracker} from '../targets/rate-limit-tracker';
import type {WarmUpTracker} from '../targets/warm-up';
import type {Target} from './types';

/** Why no target of a service may be sent to, although some are listed. */
export interface Unavailability {
  /** Milliseconds until the first may be sent to. */
  readonly waitMs: number;
  /**
   * resting: all are in cooldown. returning: at least one is being tried after
   * its cooldown. limited: some are not in cooldown, but at their rate limits or
   * cold.
   */
  readonly reason: 'resting' | 'returning' | 'limited';
  /**
   * Sum of what those not in cooldown accept per second while limited or cold,
   * for all entries.
   */
  readonly limitPerSecond: number;
}

export class TargetAvailability {
  readonly limits = new RateLimitTracker();
  private readonly cooldowns = new CooldownTracker();

  constructor(readonly warmUp: WarmUpTracker) {}

  /** Those of the targets that may be sent to now. */
  filter(targets: readonly Target[], now: number): readonly Target[] {
    const withinLimits = this.limits.filterAvailable(
      this.withoutCooldown(targets, now),
      lifetimeOf,
      now,
    );
    return this.warmUp.filterAvailable(withinLimits, lifetimeOf, now);
  }

  withoutCooldown(targets: readonly Target[], now: number): readonly Target[] {
    return this.cooldowns.filterAvailable(targets, lifetimeOf, now);
  }

  /** Those of the targets to which a permit is held that expires if unused. */
  withPermit(targets: readonly Target[], now: number): readonly Target[] {
    return this.limits.size === 0 && !this.warmUp.isActive(now)
      ? []
      : targets.filter(
          ({lifetime}) =>
            this.limits.hasPermit(lifetime, now) ||
            this.warmUp.hasPermit(lifetime, now),
        );
  }

  /** Requests permits for targets of a service where these are needed. */
  requestPermits(
    service: string,
    targets: readonly Target[],
    now: number,
  ): void {
    const isWarmingUp = this.warmUp.isActive(now);
    if (this.limits.size === 0 && !isWarmingUp) {
      return;
    }
    const lifetimes = this.withoutCooldown(targets, now).map(lifetimeOf);
    this.limits.requestPermits(lifetimes, now);
    if (isWarmingUp) {
      this.warmUp.noteDemand(service, lifetimes, now);
    }
  }

  noteSent({lifetime}: Target, now: number): void {
    this.cooldowns.noteSent(lifetime, now);
    this.limits.noteSent(lifetime, now);
    this.warmUp.noteSent(lifetime, now);
  }

  /** Starts a cooldown; true if none was active. */
  startCooldown({lifetime}: Target, ms: number, now: number): boolean {
    return this.cooldowns.start(lifetime, ms, now);
  }

  /** A target accepted a request; true if that ends its trial after a cooldown. */
  noteAccepted({lifetime}: Target, sentAt: number, now: number): boolean {
    return this.cooldowns.noteAccepted(lifetime, sentAt, now);
  }

  /** Applies the rate limit stated in a response; undefined: no change. */
  noteRateLimit(
    {lifetime}: Target,
    header: RateLimitHeader,
    sentAt: number,
    now: number,
  ): LimitChange | undefined {
    return this.limits.applyAdvertised(lifetime, header, sentAt, now);
  }

  /** Why none of the targets may be sent to; undefined: one may, or none given. */
  unavailabilityOf(
    targets: readonly Target[],
    now: number,
  ): Unavailability | undefined {
    const waits = targets.map(({lifetime}) =>
      Math.max(
        this.cooldowns.waitMs(lifetime, now),
        this.limits.waitMs(lifetime, now),
        this.warmUp.waitMs(lifetime, now),
      ),
    );
    if (waits.length === 0 || waits.includes(0)) {
      return undefined;
    }
    const waitMs = Math.min(...waits);
    const candidates = this.withoutCooldown(targets, now);
    if (candidates.length > 0) {
      const limitPerSecond = this.totalLimitOf(candidates, now);
      return {waitMs, reason: 'limited', limitPerSecond};
    }
    const areAllInCooldown = targets.every(one =>
      this.cooldowns.isActive(one.lifetime, now),
    );
    return {
      waitMs,
      reason: areAllInCooldown ? 'resting' : 'returning',
      limitPerSecond: 0,
    };
  }

  /** Sum of what limited or cold targets accept, in requests per second. */
  totalLimitOf(targets: readonly Target[], now: number): number {
    return targets.reduce((sum, {lifetime}) => {
      const limit = this.limits.perSecond(lifetime) ?? Infinity;
      const cold = this.warmUp.perSecond(lifetime, now) ?? Infinity;
      const perSecond = Math.min(limit, cold);
      return perSecond === Infinity ? sum : sum + perSecond;
    }, 0);
  }

  /** Ends what is known of a lifetime. */
  forget(lifetime: string): void {
    this.cooldowns.forget(lifetime);
    this.limits.forget(lifetime);
    this.warmUp.forget(lifetime);
  }
}

function lifetimeOf({lifetime}: Target): string {
  return lifetime;
}
