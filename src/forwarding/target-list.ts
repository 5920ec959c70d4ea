/**
 * The targets that requests may be sent to. Removes targets that are shutting
 * down or have vanished from the store, except for a grace period after an
 * outage of the store. Holds back targets in cooldown and rate-limited targets
 * without a permit; all senders get their targets from here.
 *
 * Lifetimes of a target are ordered by the store's revisions, not by their start
 * times, because the wall clock may jump back. An entry that a store restored
 * from an older copy lists again counts only once its target has rewritten it.
 */
import * as bounded from '../bounded';
import * as grouping from '../grouping';
import type {RateLimitHeader} from '../http/server-limit';
import {RateLimitTracker, LimitChange} from '../targets/rate-limit-tracker';
import * as revisions from '../platform/revisions';
import {CooldownTracker} from '../targets/cooldown-tracker';
import * as newestLifetimes from './newest-lifetimes';
import type {Target} from './types';

/**
 * How long after an outage a target stays usable whose entry lapsed in it. The
 * target has to write its entry again within this time.
 */
export const LAPSE_GRACE_MS = 2_000;
/** Ended and removed lifetimes that are remembered to ignore outdated entries. */
const MAX_ENDED_LIFETIMES = 4_096;

/** What stated that a target is shutting down: its entry or a response. */
export type LeavingSource = 'entry' | 'answer';

/** A change of the list. */
export type TargetChange =
  | {readonly kind: 'joined'; readonly target: Target}
  | {
      readonly kind: 'leaving';
      readonly target: Target;
      readonly by: LeavingSource;
    }
  | {readonly kind: 'gone'; readonly target: Target}
  /** Restarted under the same id. */
  | {readonly kind: 'restarted'; readonly target: Target}
  /** Not in the store, but kept for the grace period after an outage. */
  | {readonly kind: 'missing'; readonly target: Target};

/** Why no target of a service may be sent to, although some are listed. */
export interface Unavailability {
  /** Milliseconds until the first may be sent to. */
  readonly waitMs: number;
  /**
   * resting: all are in cooldown. returning: at least one is being tried after
   * its cooldown. limited: some are not in cooldown, but at their rate limits.
   */
  readonly reason: 'resting' | 'returning' | 'limited';
  /** Sum of the rate limits of those not in cooldown, for all entries. */
  readonly limitPerSecond: number;
}

interface ListedTarget {
  target: Target;
  /** Monotonic time at which a missing target is removed. */
  expiresAt: number;
}

export class TargetList {
  private readonly listed = new Map<string, ListedTarget>();
  readonly limits = new RateLimitTracker();
  private readonly cooldowns = new CooldownTracker();
  /** Ended lifetimes, oldest first. */
  private readonly ended = new Set<string>();
  /** Last entries of removed lifetimes, oldest first. */
  private readonly removed = new Map<string, Target>();
  /** Services of the configuration; undefined: not known yet. */
  private knownServices: ReadonlySet<string> | undefined;
  /** Halls that the operator has drained. */
  private drainedHalls: ReadonlySet<string> = new Set();
  /** Cached usable targets by service; undefined: to be computed. */
  private byService: ReadonlyMap<string, readonly Target[]> | undefined;
  private cachedRanks: readonly Target[] | undefined;
  /** Monotonic time until which the cache is valid. */
  private byServiceUntil = 0;

  constructor(
    private readonly onChange: (change: TargetChange) => void = () => undefined,
  ) {}

  /**
   * Replaces the list. `inGrace`: an outage has just ended. `unread`: ids of
   * entries that could not be read; their targets stay as they are.
   */
  replaceAll(
    targets: readonly Target[],
    now: number,
    inGrace: boolean,
    unread: readonly string[] = [],
  ): void {
    const listed = new Set(unread);
    targets.forEach(target => listed.add(target.id));
    targets.forEach(target => this.add(target));
    for (const [id, entry] of [...this.listed]) {
      if (!listed.has(id)) {
        this.removeOrExpire(entry, now, inGrace);
      }
    }
  }

  /** Adds or updates a target from its entry; ignores outdated entries. */
  add(target: Target): void {
    const before = this.listed.get(target.id)?.target;
    const isStale =
      this.ended.has(target.lifetime) ||
      this.isFromOldCopy(target) ||
      (before !== undefined && before.revision > target.revision);
    if (isStale) {
      return;
    }
    const isRestarted =
      before !== undefined && before.lifetime !== target.lifetime;
    if (isRestarted) {
      this.end(before);
      this.onChange({kind: 'restarted', target});
    }
    if (target.isLeaving) {
      this.end(target);
      this.onChange({kind: 'leaving', target, by: 'entry'});
      return;
    }
    this.removed.delete(target.lifetime);
    this.listed.set(target.id, {target, expiresAt: Infinity});
    this.invalidateCaches();
    if (before === undefined || isRestarted) {
      this.onChange({kind: 'joined', target});
    }
  }

  /** The entry of a target is gone from the store. */
  remove(id: string, now: number, inGrace: boolean): void {
    const entry = this.listed.get(id);
    if (entry !== undefined) {
      this.removeOrExpire(entry, now, inGrace);
    }
  }

  /** Removes a target, until its entry is added again. */
  drop(target: Target): void {
    if (this.isListed(target.lifetime, target.id)) {
      this.listed.delete(target.id);
      this.invalidateCaches();
      this.removed.delete(target.lifetime);
      this.removed.set(target.lifetime, target);
      bounded.dropOldest(this.removed, MAX_ENDED_LIFETIMES);
      this.onChange({kind: 'gone', target});
    }
  }

  /** True for an entry of a removed target from an older copy of the store. */
  private isFromOldCopy(target: Target): boolean {
    const last = this.removed.get(target.lifetime);
    return (
      last !== undefined &&
      revisions.eraOf(target.revision) > revisions.eraOf(last.revision) &&
      target.sequence <= last.sequence
    );
  }

  /** A target has said in a response that it shuts down: its lifetime ends. */
  leave(target: Target): void {
    if (this.isListed(target.lifetime, target.id)) {
      this.end(target);
      this.onChange({kind: 'leaving', target, by: 'answer'});
    } else {
      this.markEnded(target.lifetime);
    }
  }

  /**
   * Starts a cooldown of `ms` that a target has asked for in a response. True if
   * it was in none.
   */
  startCooldown(target: Target, ms: number, now: number): boolean {
    return (
      !this.ended.has(target.lifetime) &&
      this.cooldowns.start(target.lifetime, ms, now)
    );
  }

  /** Applies the rate limit stated in a response; undefined: no change. */
  noteRateLimit(
    target: Target,
    header: RateLimitHeader,
    sentAt: number,
    now: number,
  ): LimitChange | undefined {
    return this.ended.has(target.lifetime)
      ? undefined
      : this.limits.applyAdvertised(target.lifetime, header, sentAt, now);
  }

  /** Those of the targets that are rate-limited and with a permit held. */
  withPermit(targets: readonly Target[], now: number): readonly Target[] {
    return this.limits.size === 0
      ? []
      : targets.filter(({lifetime}) => this.limits.hasPermit(lifetime, now));
  }

  /** Requests permits for the targets of a service where these are needed. */
  requestPermits(service: string, now: number): void {
    if (this.limits.size > 0) {
      const lifetimes = this.withoutCooldown(service, now).map(
        one => one.lifetime,
      );
      this.limits.requestPermits(lifetimes, now);
    }
  }

  noteSent(target: Target, now: number): void {
    this.cooldowns.noteSent(target.lifetime, now);
    this.limits.noteSent(target.lifetime, now);
  }

  /** A target accepted a request; true if that ends its trial after a cooldown. */
  noteAccepted(target: Target, sentAt: number, now: number): boolean {
    return this.cooldowns.noteAccepted(target.lifetime, sentAt, now);
  }

  get(id: string): Target | undefined {
    return this.listed.get(id)?.target;
  }

  /** Lifetimes of all listed targets. */
  get lifetimes(): ReadonlySet<string> {
    return new Set(this.all().map(target => target.lifetime));
  }

  /**
   * Sets the services of the configuration. Entries of other services don't
   * replace a target at the same address.
   */
  setKnownServices(services: readonly string[]): void {
    this.knownServices = new Set(services);
    this.invalidateCaches();
  }

  /** Replaces the set of drained halls; their targets get no requests. */
  setDrainedHalls(halls: Iterable<string>): void {
    this.drainedHalls = new Set(halls);
    this.invalidateCaches();
  }

  /** Targets of a service that may be sent to now. */
  ofService(service: string, now: number): readonly Target[] {
    const candidates = this.withoutCooldown(service, now);
    return this.limits.filterAvailable(
      candidates,
      target => target.lifetime,
      now,
    );
  }

  private withoutCooldown(service: string, now: number): readonly Target[] {
    const listed = this.byServiceAt(now).get(service) ?? [];
    return this.cooldowns.filterAvailable(
      listed,
      target => target.lifetime,
      now,
    );
  }

  /** Why all targets of a service are unavailable; undefined: none, or not all. */
  unavailabilityOf(service: string, now: number): Unavailability | undefined {
    const listed = this.byServiceAt(now).get(service) ?? [];
    const waits = listed.map(({lifetime}) =>
      Math.max(
        this.cooldowns.waitMs(lifetime, now),
        this.limits.waitMs(lifetime, now),
      ),
    );
    if (waits.length === 0 || waits.includes(0)) {
      return undefined;
    }
    const waitMs = Math.min(...waits);
    const candidates = this.withoutCooldown(service, now);
    if (candidates.length > 0) {
      return {
        waitMs,
        reason: 'limited',
        limitPerSecond: this.totalLimitOf(candidates),
      };
    }
    const areAllInCooldown = listed.every(one =>
      this.cooldowns.isActive(one.lifetime, now),
    );
    return {
      waitMs,
      reason: areAllInCooldown ? 'resting' : 'returning',
      limitPerSecond: 0,
    };
  }

  /** For a request whose permits go to the requests queued before it. */
  unavailabilityForQueued(service: string, now: number): Unavailability {
    const limitPerSecond = this.totalLimitOf(this.ofService(service, now));
    return {waitMs: 0, reason: 'limited', limitPerSecond};
  }

  /** Sum of the targets' rate limits, in requests per second. */
  private totalLimitOf(targets: readonly Target[]): number {
    return targets.reduce(
      (sum, one) => sum + (this.limits.perSecond(one.lifetime) ?? 0),
      0,
    );
  }

  /** All listed targets. */
  all(): Target[] {
    return [...this.listed.values()].map(entry => entry.target);
  }

  /** Targets that are ranks of groups; each rank's newest lifetime only. */
  ranks(): readonly Target[] {
    this.cachedRanks ??= newestLifetimes.of(
      this.newestAtAddresses().filter(one => one.group !== undefined),
      ({service, group, rank, id}) => `${service} ${group} ${rank ?? id}`,
    );
    return this.cachedRanks;
  }

  get size(): number {
    return this.listed.size;
  }

  /** Usable targets by service, cached until a target changes or expires. */
  private byServiceAt(now: number): ReadonlyMap<string, readonly Target[]> {
    if (this.byService === undefined || now >= this.byServiceUntil) {
      const entries = [...this.listed.values()];
      entries
        .filter(({expiresAt}) => expiresAt <= now)
        .forEach(({target}) => this.drop(target));
      this.byServiceUntil = Math.min(
        ...[...this.listed.values()].map(({expiresAt}) => expiresAt),
      );
      this.byService = grouping.groupBy(
        this.newestAtAddresses().filter(
          one => !this.drainedHalls.has(one.hall),
        ),
        target => target.service,
      );
    }
    return this.byService;
  }

  /** A dead process's entry may remain beside its successor's at one address. */
  private newestAtAddresses(): Target[] {
    const known = this.all().filter(
      ({service}) => this.knownServices?.has(service) ?? true,
    );
    return newestLifetimes.of(known, ({address}) => address);
  }

  private invalidateCaches(): void {
    this.byService = undefined;
    this.cachedRanks = undefined;
  }

  private isListed(lifetime: string, id: string): boolean {
    return this.listed.get(id)?.target.lifetime === lifetime;
  }

  /** Ends a lifetime for good. */
  private end(target: Target): void {
    this.listed.delete(target.id);
    this.invalidateCaches();
    this.markEnded(target.lifetime);
  }

  /** Later entries and responses of the lifetime are ignored. */
  private markEnded(lifetime: string): void {
    this.cooldowns.forget(lifetime);
    this.limits.forget(lifetime);
    this.ended.delete(lifetime);
    this.ended.add(lifetime);
    bounded.dropOldest(this.ended, MAX_ENDED_LIFETIMES);
  }

  private removeOrExpire(
    entry: ListedTarget,
    now: number,
    inGrace: boolean,
  ): void {
    if (!inGrace) {
      this.drop(entry.target);
    } else if (entry.expiresAt === Infinity) {
      entry.expiresAt = now + LAPSE_GRACE_MS;
      this.invalidateCaches();
      this.onChange({kind: 'missing', target: entry.target});
    }
  }
}
