/**
 * What an entry knows of its site: the configuration in force and the targets,
 * as the store tells them, or peers while the store is silent.
 */
import * as rxjs from 'rxjs';
import {CrashCoordinator} from '../crashes/crash-coordinator';
import {LimitCoordinator} from '../targets/limit-coordinator';
import {TargetChange, TargetList} from '../forwarding/target-list';
import type {Target} from '../forwarding/types';
import type {LostTime} from '../lost-time';
import type {Log} from '../observability/log';
import * as peersApp from '../peers/app';
import {KindCopy} from '../peers/kind-copy';
import {PeerBook} from '../peers/peer-book';
import {PeerFollower} from '../peers/peer-follower';
import {PeerOrder} from '../peers/peer-order';
import type {Reach} from '../peers/reach';
import * as watchDuty from '../peers/watch-duty';
import type {KindNews} from '../peers/types';
import type {ObjectApi} from '../platform/client';
import * as revisions from '../platform/revisions';
import type {StoreRevision} from '../platform/revisions';
import * as objects from '../platform/types';
import {WatchEvent, WatchLoop} from '../platform/watch-loop';
import type {RpcClient} from '../rpc/client';
import type {RpcServer} from '../rpc/server';
import {CurrentConfiguration} from '../routes/current';
import type {Result} from '../result';
import type {CallerLimits, Snapshot} from '../routes/types';
import {EmptiedHalls} from './emptied-halls';
import type {DocumentError, SiteDocuments} from './site-documents';
import type {SiteSettings} from './site-settings';

/**
 * Milliseconds that a watch of the configuration waits. An answer proves that
 * nothing newer exists, and keys are trusted for a few seconds after it.
 */
const CONFIGURATION_WAIT_MS = 1_800;
/** And where others rely on it, who hear of it some tenths of a second later. */
const SHARED_WAIT_MS = 1_000;
/**
 * Milliseconds that a watch of the targets waits. It need not tell that the
 * store is out of reach: the other watch does.
 */
const TARGETS_WAIT_MS = 20_000;
/** And a watch of the halls that the operator has emptied; the store's longest. */
const EMPTIED_HALLS_WAIT_MS = 30_000;
/** Time after an outage in which entries may still be coming back. */
const OUTAGE_GRACE_MS = 1_000;
/**
 * Milliseconds without the store after which peers are asked, where no call
 * has failed: a watch's wait, and the time of a store that is a little slow.
 */
const SILENT_MS = 2_000;
/**
 * Milliseconds without an answer from any other process after which this one
 * counts as cut off: some rounds of questions to peers.
 */
const CUT_OFF_MS = 1_500;

/** The store's kinds, as this process watches them itself. */
interface WatchLoops {
  readonly configuration: WatchLoop;
  readonly targets: WatchLoop;
  readonly emptiedHalls: WatchLoop;
}

/** What following a site needs of its process. */
export interface SiteFollowerContext {
  readonly cfg: SiteSettings;
  readonly documents: SiteDocuments;
  readonly store: ObjectApi;
  readonly rpc: RpcClient;
  /** Where this process takes calls. */
  readonly rpcAddress: string;
  readonly reach: Reach;
  readonly lostTime: LostTime;
  readonly log: Log;
  onLimits(limits: CallerLimits): void;
  onTargets(): void;
}

export class SiteFollower {
  readonly configuration = new CurrentConfiguration();
  readonly targets = new TargetList(change => this.logTarget(change));
  private loops: WatchLoops | undefined;
  private readonly duty: watchDuty.WatchDuty;
  private readonly configurationCopy: KindCopy;
  private readonly snapshots = new WeakMap<
    objects.StoredObject,
    Result<Snapshot, DocumentError>
  >();
  private readonly targetsCopy: KindCopy;
  private readonly emptiedHalls: EmptiedHalls;
  /** Of the store's last word on targets; undefined before the first. */
  private era: number | undefined;
  private readonly book: PeerBook;
  private readonly peers: PeerFollower;
  private readonly limits: LimitCoordinator;
  /** Requests that crash targets. */
  readonly crashes: CrashCoordinator;
  /** Emits once requests can be routed, now or at any time before. */
  private readonly completed = new rxjs.ReplaySubject<void>(1);
  private isLost = false;
  private graceUntil = 0;
  private hasHadTargets = false;

  constructor(private readonly context: SiteFollowerContext) {
    const {documents, cfg} = context;
    const {configurationKind, targetsKind, emptiedHallsKind} = documents;
    this.duty = new watchDuty.WatchDuty(context.rpcAddress);
    this.configurationCopy = new KindCopy(configurationKind, object => {
      const read = this.readSnapshot(object);
      return read.ok ? read.value.version : undefined;
    });
    this.targetsCopy = new KindCopy(targetsKind);
    this.emptiedHalls = new EmptiedHalls(
      emptiedHallsKind,
      halls => this.targets.setDrainedHalls(halls),
      context.log,
    );
    this.book = new PeerBook(context.rpcAddress, cfg.seeds);
    const peers = new PeerOrder(context.rpcAddress, this.book);
    this.crashes = new CrashCoordinator({
      rpc: context.rpc,
      peers,
      log: context.log,
    });
    this.limits = new LimitCoordinator({
      rpc: context.rpc,
      peers,
      limits: this.targets.limits,
      log: context.log,
      onChange: (lifetime, change) => {
        const event = change === 'ended' ? 'limitEnded' : 'targetLimited';
        context.log.event(event, {target: lifetime, by: 'peer'});
      },
    });
    this.peers = new PeerFollower({
      rpc: context.rpc,
      book: this.book,
      from: context.rpcAddress,
      needsNews: now =>
        this.isLost || this.configuration.ageMs(now) > SILENT_MS,
      watchers: now => this.watchersFor(now),
      held: () => this.copies.map(copy => copy.held),
      take: (news, askedAt) => this.takeNews(news, askedAt),
      takeConvicted: convicted => this.crashes.applyNotices(convicted),
      onAnswer: () => context.reach.note(),
    });
  }

  /** True once requests can be routed somewhere. */
  get isComplete(): boolean {
    return this.configuration.table !== undefined && this.hasHadTargets;
  }

  /** Resolves once requests can be routed somewhere, or after the wait. */
  async whenComplete(waitMs: number): Promise<void> {
    if (!this.isComplete) {
      await rxjs.firstValueFrom(rxjs.race(this.completed, rxjs.timer(waitMs)), {
        defaultValue: undefined,
      });
    }
  }

  /** True while this process watches the store itself. */
  get isWatching(): boolean {
    return this.loops !== undefined;
  }

  /** Processes of this role that are known, this one among them. */
  get knownEntries(): number {
    return 1 + this.book.known.length;
  }

  /**
   * True where callers are better served by another entry: this one has heard
   * nothing lately, neither from the store nor from a peer or target. Where
   * the store alone is silent, an entry goes on serving: the others hear no
   * more of it, or they would have told.
   */
  isCutOff(now: number): boolean {
    return (
      this.configuration.isStale(now) &&
      !this.book.isEmpty &&
      this.context.reach.silentMs(now) > CUT_OFF_MS
    );
  }

  /** This instance was suspended: all that is believed is older by so much. */
  age(lostMs: number): void {
    this.configuration.backdate(lostMs);
    this.copies.forEach(copy => copy.age(lostMs));
    this.context.reach.age(lostMs);
    this.limits.handleResume();
    this.context.log.event('instanceSuspended', {lostMs: Math.round(lostMs)});
  }

  /** Starts to follow, and to answer peers on `server`. */
  open(server: RpcServer): void {
    server.handle(peersApp.news, call => {
      this.context.lostTime.look();
      this.book.learn([call.from]);
      const now = performance.now();
      const isSettling = now < this.graceUntil;
      const kinds = this.copies.flatMap(copy => {
        const held = call.held.find(one => one.kind === copy.kind);
        return copy.tell(held, isSettling, now) ?? [];
      });
      const convicted = this.crashes.quarantineNotices();
      return {kinds, peers: this.book.toTell(), convicted};
    });
    this.limits.open(server);
    this.crashes.open(server);
    this.watch();
    this.peers.start();
  }

  close(): void {
    this.stopWatching();
    this.limits.close();
    this.crashes.close();
    this.emptiedHalls.close();
    this.peers.close();
  }

  /**
   * Watches the store or leaves that to others, and tells to whom: its calls are
   * paid for, and would grow with the entries.
   */
  private watchersFor(now: number): readonly string[] {
    const peers = this.book.known;
    if (this.duty.isDue(peers, this.configuration.ageMs(now), now)) {
      this.watch();
      return [];
    }
    this.stopWatching();
    return watchDuty.watchersOf(peers);
  }

  private watch(): void {
    if (this.loops !== undefined) {
      return;
    }
    const {store, documents, log} = this.context;
    const {configurationKind, targetsKind, emptiedHallsKind} = documents;
    const isShared = () => this.book.known.length >= watchDuty.WATCHERS;
    const configuration = new WatchLoop(store, configurationKind, () =>
      isShared() ? SHARED_WAIT_MS : CONFIGURATION_WAIT_MS,
    );
    const targets = new WatchLoop(store, targetsKind, () => TARGETS_WAIT_MS);
    const emptiedHalls = new WatchLoop(
      store,
      emptiedHallsKind,
      () => EMPTIED_HALLS_WAIT_MS,
    );
    configuration.events.subscribe(event => {
      if (this.configurationCopy.take(event)) {
        this.onConfiguration(event);
      }
    });
    targets.events.subscribe(event => {
      if (this.targetsCopy.take(event)) {
        this.onTargets(event, performance.now() < this.graceUntil);
      }
    });
    emptiedHalls.events.subscribe(event => this.emptiedHalls.take(event));
    this.loops = {configuration, targets, emptiedHalls};
    log.event('watchTaken', {peers: this.book.known.length});
    void configuration.run();
    void targets.run();
    void emptiedHalls.run();
  }

  private stopWatching(): void {
    if (this.loops === undefined) {
      return;
    }
    this.loops.configuration.close();
    this.loops.targets.close();
    this.loops.emptiedHalls.close();
    this.loops = undefined;
    this.isLost = false;
    if (this.graceUntil === Infinity) {
      this.graceUntil = performance.now() + OUTAGE_GRACE_MS;
    }
    this.context.log.event('watchLeft', {peers: this.book.known.length});
  }

  private get copies(): readonly KindCopy[] {
    return [this.configurationCopy, this.targetsCopy, this.emptiedHalls.copy];
  }

  /** True where the peer has heard from the store lately. */
  private takeNews(news: readonly KindNews[], askedAt: number): boolean {
    let isFresh = false;
    for (const one of news) {
      if (one.kind === this.configurationCopy.kind) {
        this.configurationCopy
          .offer(one, askedAt)
          .forEach(event => this.takeConfigurationEvent(event, 'peer'));
        isFresh = one.ageMs < SILENT_MS;
      } else if (one.kind === this.targetsCopy.kind) {
        this.targetsCopy
          .offer(one, askedAt)
          .forEach(event => this.takeTargetsEvent(event, one.isSettling));
      } else if (one.kind === this.emptiedHalls.copy.kind) {
        this.emptiedHalls.offer(one, askedAt);
      }
    }
    return isFresh;
  }

  private onConfiguration(event: WatchEvent): void {
    this.isLost = event.kind === 'lost';
    if (event.kind === 'lost') {
      this.context.log.event('platformUnavailable', {
        of: this.configurationCopy.kind,
        error: event.error.kind,
      });
      this.loops?.targets.restart();
      this.loops?.emptiedHalls.restart();
    } else {
      this.takeConfigurationEvent(event, 'store');
    }
  }

  private takeConfigurationEvent(
    event: WatchEvent,
    source: 'store' | 'peer',
  ): void {
    if (event.kind === 'contact') {
      this.configuration.confirm(event.since);
    } else if (event.kind !== 'lost') {
      this.takeConfiguration(event.listing, source);
    }
  }

  private takeConfiguration(
    listing: objects.Listing,
    source: 'store' | 'peer',
  ): void {
    const {documents, log} = this.context;
    const object = listing.items.find(
      item => item.key === documents.configurationKey,
    );
    if (object === undefined) {
      return;
    }
    const read = this.readSnapshot(object);
    if (!read.ok) {
      log.event('configurationRejected', {error: read.error.detail});
      return;
    }
    const {version, limits, services, routes} = read.value;
    if (this.configuration.offer(read.value)) {
      this.targets.setKnownServices([
        ...services.map(one => one.name),
        ...routes.flatMap(one => one.services.map(part => part.service)),
      ]);
      this.context.onLimits(limits);
      this.noteComplete();
      log.event('configurationApplied', {version, source});
    }
  }

  /** Reads each object once: it may be large, and is compared and applied. */
  private readSnapshot(
    object: objects.StoredObject,
  ): Result<Snapshot, DocumentError> {
    let read = this.snapshots.get(object);
    if (read === undefined) {
      read = this.context.documents.readSnapshot(object.value);
      this.snapshots.set(object, read);
    }
    return read;
  }

  private noteComplete(): void {
    if (this.isComplete) {
      this.completed.next();
    }
  }

  private onTargets(event: WatchEvent, inGrace: boolean): void {
    if (event.kind === 'lost') {
      this.graceUntil = Infinity;
      this.context.log.event('platformUnavailable', {
        of: this.targetsCopy.kind,
        error: event.error.kind,
      });
      return;
    }
    this.takeTargetsEvent(event, inGrace);
    if (event.kind !== 'contact' && this.graceUntil === Infinity) {
      this.graceUntil = performance.now() + OUTAGE_GRACE_MS;
      this.context.log.event('platformBack', {targets: this.targets.size});
    }
  }

  /** `inGrace`: entries that are missing may still be coming back. */
  private takeTargetsEvent(event: WatchEvent, inGrace: boolean): void {
    if (event.kind !== 'listed' && event.kind !== 'changed') {
      return;
    }
    const now = performance.now();
    const {items, removed, revision} = event.listing;
    const {found, unread} = this.readTargets(items);
    const isSetBack = this.isSetBack(revision, now);
    if (event.kind === 'listed') {
      // An older copy lacks targets that will write there again.
      const mayComeBack = inGrace || isSetBack;
      this.targets.replaceAll(found, now, mayComeBack, unread);
    } else {
      found.forEach(target => this.targets.add(target));
      removed.forEach(key =>
        this.targets.remove(objects.nameOf(key), now, inGrace),
      );
    }
    this.hasHadTargets ||= this.targets.size > 0;
    this.noteComplete();
    this.context.onTargets();
  }

  /** True where the store came back from an older copy since the last word. */
  private isSetBack(revision: StoreRevision, now: number): boolean {
    const era = revisions.eraOf(revision);
    const isSetBack = this.era !== undefined && era > this.era;
    if (isSetBack) {
      this.graceUntil = Math.max(this.graceUntil, now + OUTAGE_GRACE_MS);
      this.context.log.event('storeSetBack', {era, before: this.era});
    }
    this.era = Math.max(era, this.era ?? era);
    return isSetBack;
  }

  /** `unread`: names of entries that tell of no target. */
  private readTargets(items: readonly objects.StoredObject[]) {
    const {documents, log} = this.context;
    const found: Target[] = [];
    const unread: string[] = [];
    for (const {key, version, value} of items) {
      const name = objects.nameOf(key);
      const read = documents.readTarget(name, version, value);
      if (read.ok) {
        found.push(read.value);
      } else {
        unread.push(name);
        log.event('targetUnread', {entry: name, error: read.error.detail});
      }
    }
    return {found, unread};
  }

  private logTarget(change: TargetChange): void {
    const {log} = this.context;
    const {id, service, address, slots, group, rank} = change.target;
    const fields = {target: id, service, address};
    switch (change.kind) {
      case 'joined':
        log.event('targetJoined', {...fields, slots, group, rank});
        return;
      case 'leaving':
        log.event('targetLeaving', {...fields, by: change.by});
        return;
      case 'gone':
        log.event('targetGone', fields);
        return;
      case 'restarted':
        log.event('targetRestarted', fields);
        return;
      case 'missing':
        log.event('targetMissing', fields);
    }
  }
}
