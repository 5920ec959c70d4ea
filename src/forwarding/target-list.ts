/**
 * The targets that requests may be sent to. Removes targets that are shutting
 * down or have vanished from the store, except for a grace period after an
 * outage of the store. Holds back targets in cooldown, and rate-limited and cold
 * targets above what these accept; all senders get their targets from here.
 *
 * Lifetimes of a target are ordered by the store's revisions, not by their start
 * times, because the wall clock may jump back. An entry that a store restored
 * from an older copy lists again counts only once its target has rewritten it.
 */
import * as bounded from '../bounded';
import * as grouping from '../grouping';
import type {RateLimitHeader} from '../http/server-limit';
import type {
  LimitChange,
  RateLimitTracker,
} from '../targets/rate-limit-tracker';
import * as revisions from '../platform/revisions';
import {WarmUpChange, WarmUpTracker} from '../targets/warm-up';
import type {WarmUpBounds} from '../targets/warm-up-limit';
import * as newestLifetimes from './newest-lifetimes';
import {TargetAvailability, Unavailability} from './target-availability';
import type {Target} from './types';

export type {Unavailability};

/**
 * How long after an outage a target stays usable whose entry lapsed in it. The
 * target has to write its entry again within this time: the users ask for
 * recovery within about two seconds of the store's return.
 */
export const LAPSE_GRACE_MS = 2_000;
/**
 * Ended and removed lifetimes that are remembered to ignore outdated entries.
 * Sized for sites of 3,200 targets.
 */
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
  | {readonly kind: 'missing'; readonly target: Target}
  /** It accepts `perSecond` requests from all entries together for now. */
  | {
      readonly kind: 'cold';
      readonly target: Target;
      readonly perSecond: number;
      readonly remainingMs: number;
      /** It was in use before. */
      readonly wasWarm: boolean;
    }
  | {readonly kind: 'warm'; readonly target: Target; readonly coldMs: number};

/** What the list uses of its process. */
export interface TargetListContext {
  readonly warmUpBounds: WarmUpBounds;
  /** Known entries of the site, including this one. */
  knownEntryCount(): number;
}

const SINGLE_PROCESS: TargetListContext = {
  warmUpBounds: {overshoot: 1, slack: 0},
  knownEntryCount: () => 1,
};

interface ListedTarget {
  target: Target;
  /** Monotonic time at which a missing target is removed. */
  expiresAt: number;
}

export class TargetList {
  private readonly listed = new Map<string, ListedTarget>();
  readonly warmUp: WarmUpTracker;
  private readonly availability: TargetAvailability;
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
  private cachedUsableRanks: readonly Target[] | undefined;
  /** Monotonic time until which the cache is valid. */
  private byServiceUntil = 0;

  constructor(
    private readonly onChange: (change: TargetChange) => void = () => undefined,
    context: TargetListContext = SINGLE_PROCESS,
  ) {
    this.warmUp = new WarmUpTracker(
      {
        bounds: context.warmUpBounds,
        knownProcesses: () => context.knownEntryCount(),
        onChange: change => this.reportWarmUp(change),
      },
      performance.now(),
    );
    this.availability = new TargetAvailability(this.warmUp);
  }

  get limits(): RateLimitTracker {
    return this.availability.limits;
  }

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
    targets.forEach(target => this.add(target, now));
    for (const [id, entry] of [...this.listed]) {
      if (!listed.has(id)) {
        this.removeOrExpire(entry, now, inGrace);
      }
    }
  }

  /** Adds or updates a target from its entry; ignores outdated entries. */
  add(target: Target, now = performance.now()): void {
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
    const isNew = before === undefined || isRestarted;
    if (isNew) {
      this.onChange({kind: 'joined', target});
    }
    this.warmUp.applyEntry(target, isNew ? undefined : before, now);
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

  /** True if the target is leaving, or has left by its entry. */
  isEnding({id, lifetime}: Target): boolean {
    return !this.isListed(lifetime, id);
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
      this.availability.startCooldown(target, ms, now)
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
      : this.availability.noteRateLimit(target, header, sentAt, now);
  }

  /** Those of the targets to which a permit is held that expires if unused. */
  withPermit(targets: readonly Target[], now: number): readonly Target[] {
    return this.availability.withPermit(targets, now);
  }

  /** Requests permits for the targets of a service where these are needed. */
  requestPermits(service: string, now: number): void {
    const listed = this.listedOf(service, now);
    this.availability.requestPermits(service, listed, now);
  }

  noteSent(target: Target, now: number): void {
    this.availability.noteSent(target, now);
  }

  /** A target accepted a request; true if that ends its trial after a cooldown. */
  noteAccepted(target: Target, sentAt: number, now: number): boolean {
    return this.availability.noteAccepted(target, sentAt, now);
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
    return this.availability.filter(this.listedOf(service, now), now);
  }

  private listedOf(service: string, now: number): readonly Target[] {
    return this.byServiceAt(now).get(service) ?? [];
  }

  /** Why all targets of a service are unavailable; undefined: none, or not all. */
  unavailabilityOf(service: string, now: number): Unavailability | undefined {
    return this.availability.unavailabilityOf(this.listedOf(service, now), now);
  }

  /** For a request whose permits go to the requests queued before it. */
  unavailabilityForQueued(service: string, now: number): Unavailability {
    const limitPerSecond = this.availability.totalLimitOf(
      this.ofService(service, now),
      now,
    );
    return {waitMs: 0, reason: 'limited', limitPerSecond};
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

  /** Those outside drained halls, also in a cooldown, rate-limited or cold. */
  usableRanks(): readonly Target[] {
    this.cachedUsableRanks ??= this.ranks().filter(
      ({hall}) => !this.drainedHalls.has(hall),
    );
    return this.cachedUsableRanks;
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
    this.cachedUsableRanks = undefined;
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
    this.availability.forget(lifetime);
    this.ended.delete(lifetime);
    this.ended.add(lifetime);
    bounded.dropOldest(this.ended, MAX_ENDED_LIFETIMES);
  }

  private reportWarmUp({lifetime, ...change}: WarmUpChange): void {
    const target = this.all().find(one => one.lifetime === lifetime);
    if (target !== undefined) {
      this.onChange({target, ...change});
    }
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
