/**
 * Targets that requests may be sent to. A target that says that it leaves is
 * out at once, and that lifetime of it for good. One that vanishes from the
 * list is out too, except while its entry may just have lapsed in an outage
 * of the store. One that has asked for rest in an answer is held back for it,
 * and one that has named a limit while there is no permit to send to it: whoever
 * chooses gets targets from here, and so no other.
 *
 * Lifetimes of one target are told apart by its start and put in order by the
 * store's revisions: the time of day, which starts are told in, may jump back. A
 * store that comes back from an older copy may list one that has gone: it counts
 * only once it has written its entry again.
 */
import * as bounded from '../bounded';
import * as grouping from '../grouping';
import type {RateLimitHeader} from '../http/server-limit';
import {RateLimitTracker, LimitChange} from '../targets/rate-limit-tracker';
import * as revisions from '../platform/revisions';
import {CooldownTracker} from '../targets/cooldown-tracker';
import type {Target} from './types';

/**
 * How long after an outage entries that lapsed in it may stay away. Source:
 * the users' request: back within about two seconds of the store's return.
 */
export const LAPSE_GRACE_MS = 2_000;
/**
 * Lifetimes that have ended and are remembered, so that a late word of one
 * doesn't bring it back. Source: the size that decides has 3,200 targets.
 */
const MAX_ENDED_LIFETIMES = 4_096;

/** Who says that a target leaves: its entry, or an answer of its own. */
export type LeavingSource = 'entry' | 'answer';

/** Why a target is in or out. */
export type TargetChange =
  | {readonly kind: 'joined'; readonly target: Target}
  | {
      readonly kind: 'leaving';
      readonly target: Target;
      readonly by: LeavingSource;
    }
  | {readonly kind: 'gone'; readonly target: Target}
  /** It has started again under the same id. */
  | {readonly kind: 'restarted'; readonly target: Target}
  /** Not on the list, but kept for a while after an outage. */
  | {readonly kind: 'missing'; readonly target: Target};

/** All targets of a service are held back. */
export interface Unavailability {
  /** Milliseconds until one of them may be sent something. */
  readonly waitMs: number;
  /**
   * All are at rest; one has come back and is being tried; or some could be sent
   * to but for the limits that they have named.
   */
  readonly reason: 'resting' | 'returning' | 'limited';
  /** Requests a second that the limited ones take from all together. */
  readonly limitPerSecond: number;
}

interface ListedTarget {
  target: Target;
  /** Monotonic time at which a missing target is given up. */
  expiresAt: number;
}

export class TargetList {
  private readonly listed = new Map<string, ListedTarget>();
  readonly limits = new RateLimitTracker();
  private readonly cooldowns = new CooldownTracker();
  /** Oldest first. */
  private readonly ended = new Set<string>();
  /** Last entries of lifetimes that are off the list; oldest first. */
  private readonly removed = new Map<string, Target>();
  /** Services that the configuration names; undefined: not known yet. */
  private knownServices: ReadonlySet<string> | undefined;
  /** Halls to which the operator wants nothing sent. */
  private drainedHalls: ReadonlySet<string> = new Set();
  /** By service; undefined since something changed. */
  private byService: ReadonlyMap<string, readonly Target[]> | undefined;
  private cachedRanks: readonly Target[] | undefined;
  /** Monotonic time until which the lists hold. */
  private byServiceUntil = 0;

  /** `onChange` hears of every target that comes in or goes out. */
  constructor(
    private readonly onChange: (change: TargetChange) => void = () => undefined,
  ) {}

  /**
   * Takes the whole list; `inGrace`: an outage has just ended. `unread` names
   * entries that tell nothing: what is held under their ids stays.
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
    for (const [id, held] of [...this.listed]) {
      if (!listed.has(id)) {
        this.removeOrExpire(held, now, inGrace);
      }
    }
  }

  /** Takes one entry. */
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

  /** An entry is gone. */
  remove(id: string, now: number, inGrace: boolean): void {
    const held = this.listed.get(id);
    if (held !== undefined) {
      this.removeOrExpire(held, now, inGrace);
    }
  }

  /** A target has said itself that it is not the one that was meant. */
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

  /** True for an entry that was gone, listed by an older copy of the store. */
  private isFromOldCopy(target: Target): boolean {
    const last = this.removed.get(target.lifetime);
    return (
      last !== undefined &&
      revisions.eraOf(target.revision) > revisions.eraOf(last.revision) &&
      target.sequence <= last.sequence
    );
  }

  /** A target has said in an answer that it leaves: it gets nothing more. */
  leave(target: Target): void {
    if (this.isListed(target.lifetime, target.id)) {
      this.end(target);
      this.onChange({kind: 'leaving', target, by: 'answer'});
    } else {
      this.markEnded(target.lifetime);
    }
  }

  /**
   * A target has asked in an answer for so many milliseconds of rest. True where
   * it was at none.
   */
  startCooldown(target: Target, ms: number, now: number): boolean {
    return (
      !this.ended.has(target.lifetime) &&
      this.cooldowns.start(target.lifetime, ms, now)
    );
  }

  /** Takes what an answer says of its target's limit; tells what it changes. */
  noteRateLimit(
    target: Target,
    named: RateLimitHeader,
    sentAt: number,
    now: number,
  ): LimitChange | undefined {
    return this.ended.has(target.lifetime)
      ? undefined
      : this.limits.applyAdvertised(target.lifetime, named, sentAt, now);
  }

  /** Those of some targets that named a limit and to which a permit is held. */
  withPermit(some: readonly Target[], now: number): readonly Target[] {
    return this.limits.size === 0
      ? []
      : some.filter(({lifetime}) => this.limits.hasPermit(lifetime, now));
  }

  /** A request of a service looks for a target. */
  requestPermits(service: string, now: number): void {
    if (this.limits.size > 0) {
      const lifetimes = this.awake(service, now).map(one => one.lifetime);
      this.limits.requestPermits(lifetimes, now);
    }
  }

  /** Notes that a request goes to a target. */
  noteSent(target: Target, now: number): void {
    this.cooldowns.noteSent(target.lifetime, now);
    this.limits.noteSent(target.lifetime, now);
  }

  /** A target took a request; true where it is used as before its rest now. */
  noteAccepted(target: Target, sentAt: number, now: number): boolean {
    return this.cooldowns.noteAccepted(target.lifetime, sentAt, now);
  }

  get(id: string): Target | undefined {
    return this.listed.get(id)?.target;
  }

  /** The lifetimes that may get work. */
  get lifetimes(): ReadonlySet<string> {
    return new Set(this.all().map(target => target.lifetime));
  }

  /**
   * Services that the configuration names. An entry of any other service says
   * nothing of the target at its address.
   */
  setKnownServices(services: readonly string[]): void {
    this.knownServices = new Set(services);
    this.invalidateCaches();
  }

  /**
   * Halls that the operator has emptied, all of them: their targets go on, and
   * get nothing until the hall is taken back.
   */
  setDrainedHalls(halls: Iterable<string>): void {
    this.drainedHalls = new Set(halls);
    this.invalidateCaches();
  }

  /**
   * Targets of a service that may be sent something now. Where a process died,
   * its entry stays for a while beside that of its next life at the same address.
   */
  ofService(service: string, now: number): readonly Target[] {
    const awake = this.awake(service, now);
    return this.limits.filterAvailable(awake, target => target.lifetime, now);
  }

  /** Those of a service that are at no rest. */
  private awake(service: string, now: number): readonly Target[] {
    const listed = this.byServiceAt(now).get(service) ?? [];
    return this.cooldowns.filterAvailable(
      listed,
      target => target.lifetime,
      now,
    );
  }

  /** Where all targets of a service are held back: until when, and for what. */
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
    const ms = Math.min(...waits);
    const awake = this.awake(service, now);
    if (awake.length > 0) {
      return {
        waitMs: ms,
        reason: 'limited',
        limitPerSecond: this.totalLimitOf(awake),
      };
    }
    const isAtRest = listed.every(one =>
      this.cooldowns.isActive(one.lifetime, now),
    );
    return {
      waitMs: ms,
      reason: isAtRest ? 'resting' : 'returning',
      limitPerSecond: 0,
    };
  }

  /** For a request that leaves the permits to those that go before it. */
  unavailabilityForQueued(service: string, now: number): Unavailability {
    const perSecond = this.totalLimitOf(this.ofService(service, now));
    return {waitMs: 0, reason: 'limited', limitPerSecond: perSecond};
  }

  /** Requests a second that some targets have said that they take. */
  private totalLimitOf(some: readonly Target[]): number {
    return some.reduce(
      (sum, one) => sum + (this.limits.perSecond(one.lifetime) ?? 0),
      0,
    );
  }

  /** All targets that may get work. */
  all(): Target[] {
    return [...this.listed.values()].map(held => held.target);
  }

  /** Targets that are ranks of groups. */
  ranks(): readonly Target[] {
    this.cachedRanks ??= this.all().filter(one => one.group !== undefined);
    return this.cachedRanks;
  }

  get size(): number {
    return this.listed.size;
  }

  /** Lists of before hold until a target comes, goes or is given up. */
  private byServiceAt(now: number): ReadonlyMap<string, readonly Target[]> {
    if (this.byService === undefined || now >= this.byServiceUntil) {
      const entries = [...this.listed.values()];
      entries
        .filter(({expiresAt: goneAt}) => goneAt <= now)
        .forEach(({target}) => this.drop(target));
      this.byServiceUntil = Math.min(
        ...[...this.listed.values()].map(({expiresAt: goneAt}) => goneAt),
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

  private newestAtAddresses(): Target[] {
    const newest = new Map<string, Target>();
    for (const {target} of this.listed.values()) {
      const other = newest.get(target.address);
      const isNamed = this.knownServices?.has(target.service) ?? true;
      if (isNamed && (other?.revision ?? -1) < target.revision) {
        newest.set(target.address, target);
      }
    }
    return [...newest.values()];
  }

  private invalidateCaches(): void {
    this.byService = undefined;
    this.cachedRanks = undefined;
  }

  private isListed(lifetime: string, id: string): boolean {
    return this.listed.get(id)?.target.lifetime === lifetime;
  }

  /** A lifetime is over for good. */
  private end(target: Target): void {
    this.listed.delete(target.id);
    this.invalidateCaches();
    this.markEnded(target.lifetime);
  }

  /** A late word of a lifetime that has ended doesn't bring it back. */
  private markEnded(lifetime: string): void {
    this.cooldowns.forget(lifetime);
    this.limits.forget(lifetime);
    this.ended.delete(lifetime);
    this.ended.add(lifetime);
    bounded.dropOldest(this.ended, MAX_ENDED_LIFETIMES);
  }

  private removeOrExpire(
    held: ListedTarget,
    now: number,
    inGrace: boolean,
  ): void {
    if (!inGrace) {
      this.drop(held.target);
    } else if (held.expiresAt === Infinity) {
      held.expiresAt = now + LAPSE_GRACE_MS;
      this.invalidateCaches();
      this.onChange({kind: 'missing', target: held.target});
    }
  }
}
