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
import type {LimitNamed} from '../http/server-limit';
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
const MOST_ENDED = 4_096;

/** Who says that a target leaves: its entry, or an answer of its own. */
export type LeavingNews = 'entry' | 'answer';

/** Why a target is in or out. */
export type TargetChange =
  | {readonly kind: 'joined'; readonly target: Target}
  | {
      readonly kind: 'leaving';
      readonly target: Target;
      readonly by: LeavingNews;
    }
  | {readonly kind: 'gone'; readonly target: Target}
  /** It has started again under the same id. */
  | {readonly kind: 'restarted'; readonly target: Target}
  /** Not on the list, but kept for a while after an outage. */
  | {readonly kind: 'missing'; readonly target: Target};

/** All targets of a service are held back. */
export interface ServiceHold {
  /** Milliseconds until one of them may be sent something. */
  readonly ms: number;
  /**
   * All are at rest; one has come back and is being tried; or some could be sent
   * to but for the limits that they have named.
   */
  readonly why: 'resting' | 'returning' | 'limited';
  /** Requests a second that the limited ones take from all together. */
  readonly perSecond: number;
}

interface Held {
  target: Target;
  /** Monotonic time at which a missing target is given up. */
  goneAt: number;
}

export class TargetList {
  private readonly held = new Map<string, Held>();
  readonly limits = new RateLimitTracker();
  private readonly rests = new CooldownTracker();
  /** Oldest first. */
  private readonly ended = new Set<string>();
  /** Last entries of lifetimes that are off the list; oldest first. */
  private readonly gone = new Map<string, Target>();
  /** Services that the configuration names; undefined: not known yet. */
  private services: ReadonlySet<string> | undefined;
  /** Halls to which the operator wants nothing sent. */
  private emptied: ReadonlySet<string> = new Set();
  /** By service; undefined since something changed. */
  private lists: ReadonlyMap<string, readonly Target[]> | undefined;
  private listedRanks: readonly Target[] | undefined;
  /** Monotonic time until which the lists hold. */
  private listsUntil = 0;

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
    for (const [id, held] of [...this.held]) {
      if (!listed.has(id)) {
        this.miss(held, now, inGrace);
      }
    }
  }

  /** Takes one entry. */
  add(target: Target): void {
    const before = this.held.get(target.id)?.target;
    const isStale =
      this.ended.has(target.lifetime) ||
      this.isOfOldCopy(target) ||
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
    this.gone.delete(target.lifetime);
    this.held.set(target.id, {target, goneAt: Infinity});
    this.forgetLists();
    if (before === undefined || isRestarted) {
      this.onChange({kind: 'joined', target});
    }
  }

  /** An entry is gone. */
  remove(id: string, now: number, inGrace: boolean): void {
    const held = this.held.get(id);
    if (held !== undefined) {
      this.miss(held, now, inGrace);
    }
  }

  /** A target has said itself that it is not the one that was meant. */
  drop(target: Target): void {
    if (this.isHeld(target.lifetime, target.id)) {
      this.held.delete(target.id);
      this.forgetLists();
      this.gone.delete(target.lifetime);
      this.gone.set(target.lifetime, target);
      bounded.dropOldest(this.gone, MOST_ENDED);
      this.onChange({kind: 'gone', target});
    }
  }

  /** True for an entry that was gone, listed by an older copy of the store. */
  private isOfOldCopy(target: Target): boolean {
    const last = this.gone.get(target.lifetime);
    return (
      last !== undefined &&
      revisions.eraOf(target.revision) > revisions.eraOf(last.revision) &&
      target.sequence <= last.sequence
    );
  }

  /** A target has said in an answer that it leaves: it gets nothing more. */
  leave(target: Target): void {
    if (this.isHeld(target.lifetime, target.id)) {
      this.end(target);
      this.onChange({kind: 'leaving', target, by: 'answer'});
    } else {
      this.remember(target.lifetime);
    }
  }

  /**
   * A target has asked in an answer for so many milliseconds of rest. True where
   * it was at none.
   */
  askRest(target: Target, ms: number, now: number): boolean {
    return (
      !this.ended.has(target.lifetime) &&
      this.rests.start(target.lifetime, ms, now)
    );
  }

  /** Takes what an answer says of its target's limit; tells what it changes. */
  hearLimit(
    target: Target,
    named: LimitNamed,
    sentAt: number,
    now: number,
  ): LimitChange | undefined {
    return this.ended.has(target.lifetime)
      ? undefined
      : this.limits.applyAdvertised(target.lifetime, named, sentAt, now);
  }

  /** Those of some targets that named a limit and to which a permit is held. */
  lent(some: readonly Target[], now: number): readonly Target[] {
    return this.limits.size === 0
      ? []
      : some.filter(({lifetime}) => this.limits.hasPermit(lifetime, now));
  }

  /** A request of a service looks for a target. */
  want(service: string, now: number): void {
    if (this.limits.size > 0) {
      const lifetimes = this.awake(service, now).map(one => one.lifetime);
      this.limits.requestPermits(lifetimes, now);
    }
  }

  /** Notes that a request goes to a target. */
  noteSent(target: Target, now: number): void {
    this.rests.noteSent(target.lifetime, now);
    this.limits.noteSent(target.lifetime, now);
  }

  /** A target took a request; true where it is used as before its rest now. */
  noteTaken(target: Target, sentAt: number, now: number): boolean {
    return this.rests.noteAccepted(target.lifetime, sentAt, now);
  }

  get(id: string): Target | undefined {
    return this.held.get(id)?.target;
  }

  /** The lifetimes that may get work. */
  get lifetimes(): ReadonlySet<string> {
    return new Set(this.all().map(target => target.lifetime));
  }

  /**
   * Services that the configuration names. An entry of any other service says
   * nothing of the target at its address.
   */
  nameServices(services: readonly string[]): void {
    this.services = new Set(services);
    this.forgetLists();
  }

  /**
   * Halls that the operator has emptied, all of them: their targets go on, and
   * get nothing until the hall is taken back.
   */
  emptyHalls(halls: Iterable<string>): void {
    this.emptied = new Set(halls);
    this.forgetLists();
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
    const listed = this.listsAt(now).get(service) ?? [];
    return this.rests.filterAvailable(listed, target => target.lifetime, now);
  }

  /** Where all targets of a service are held back: until when, and for what. */
  holdOf(service: string, now: number): ServiceHold | undefined {
    const listed = this.listsAt(now).get(service) ?? [];
    const waits = listed.map(({lifetime}) =>
      Math.max(
        this.rests.waitMs(lifetime, now),
        this.limits.waitMs(lifetime, now),
      ),
    );
    if (waits.length === 0 || waits.includes(0)) {
      return undefined;
    }
    const ms = Math.min(...waits);
    const awake = this.awake(service, now);
    if (awake.length > 0) {
      return {ms, why: 'limited', perSecond: this.limitOf(awake)};
    }
    const isAtRest = listed.every(one =>
      this.rests.isActive(one.lifetime, now),
    );
    return {ms, why: isAtRest ? 'resting' : 'returning', perSecond: 0};
  }

  /** For a request that leaves the permits to those that go before it. */
  holdForOthers(service: string, now: number): ServiceHold {
    const perSecond = this.limitOf(this.ofService(service, now));
    return {ms: 0, why: 'limited', perSecond};
  }

  /** Requests a second that some targets have said that they take. */
  private limitOf(some: readonly Target[]): number {
    return some.reduce(
      (sum, one) => sum + (this.limits.perSecond(one.lifetime) ?? 0),
      0,
    );
  }

  /** All targets that may get work. */
  all(): Target[] {
    return [...this.held.values()].map(held => held.target);
  }

  /** Targets that are ranks of groups. */
  ranks(): readonly Target[] {
    this.listedRanks ??= this.all().filter(one => one.group !== undefined);
    return this.listedRanks;
  }

  get size(): number {
    return this.held.size;
  }

  /** Lists of before hold until a target comes, goes or is given up. */
  private listsAt(now: number): ReadonlyMap<string, readonly Target[]> {
    if (this.lists === undefined || now >= this.listsUntil) {
      const entries = [...this.held.values()];
      entries
        .filter(({goneAt}) => goneAt <= now)
        .forEach(({target}) => this.drop(target));
      this.listsUntil = Math.min(
        ...[...this.held.values()].map(({goneAt}) => goneAt),
      );
      this.lists = grouping.groupBy(
        this.newestAtAddresses().filter(one => !this.emptied.has(one.hall)),
        target => target.service,
      );
    }
    return this.lists;
  }

  private newestAtAddresses(): Target[] {
    const newest = new Map<string, Target>();
    for (const {target} of this.held.values()) {
      const other = newest.get(target.address);
      const isNamed = this.services?.has(target.service) ?? true;
      if (isNamed && (other?.revision ?? -1) < target.revision) {
        newest.set(target.address, target);
      }
    }
    return [...newest.values()];
  }

  private forgetLists(): void {
    this.lists = undefined;
    this.listedRanks = undefined;
  }

  private isHeld(lifetime: string, id: string): boolean {
    return this.held.get(id)?.target.lifetime === lifetime;
  }

  /** A lifetime is over for good. */
  private end(target: Target): void {
    this.held.delete(target.id);
    this.forgetLists();
    this.remember(target.lifetime);
  }

  /** A late word of a lifetime that has ended doesn't bring it back. */
  private remember(lifetime: string): void {
    this.rests.forget(lifetime);
    this.limits.forget(lifetime);
    this.ended.delete(lifetime);
    this.ended.add(lifetime);
    bounded.dropOldest(this.ended, MOST_ENDED);
  }

  private miss(held: Held, now: number, inGrace: boolean): void {
    if (!inGrace) {
      this.drop(held.target);
    } else if (held.goneAt === Infinity) {
      held.goneAt = now + LAPSE_GRACE_MS;
      this.forgetLists();
      this.onChange({kind: 'missing', target: held.target});
    }
  }
}
