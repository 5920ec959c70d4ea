/**
 * Keeps what an entry knows of its site: the current configuration, the targets
 * and the drained halls. Updates come from the store or, while that is out of
 * reach or left to others to watch, from peers.
 */
import * as rxjs from 'rxjs';
import * as bounded from '../bounded';
import {CrashCoordinator} from '../crashes/crash-coordinator';
import * as limitApp from '../targets/limit-app';
import {LimitCoordinator} from '../targets/limit-coordinator';
import {PeerReach} from '../targets/peer-reach';
import {ExtraRetries} from '../forwarding/extra-retries';
import {TargetChange, TargetList} from '../forwarding/target-list';
import type {Target} from '../forwarding/types';
import {ConnectionRate} from '../http/connection-rate';
import type {SuspensionDetector} from '../suspension-detector';
import type {Log} from '../observability/log';
import * as peersApp from '../peers/app';
import {ColdNotices} from '../peers/cold-notices';
import {KindReplica} from '../peers/kind-replica';
import {PeerDirectory} from '../peers/peer-directory';
import {PeerPoller} from '../peers/peer-poller';
import {PeerRates} from '../peers/peer-rates';
import {PeerRanking} from '../peers/peer-ranking';
import type {LastContact} from '../peers/last-contact';
import * as election from '../peers/watcher-election';
import type {KindUpdate} from '../peers/types';
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
import {DrainedHalls} from './drained-halls';
import type {DocumentError, SiteDocuments} from './site-documents';
import type {SiteSettings} from './site-settings';

/**
 * Short, since each answer proves that nothing newer exists: API keys are trusted
 * only for a few seconds after one, and a leaving target must be known of in less
 * than two although the watch of the targets is silent.
 */
const CONFIGURATION_WAIT_MS = 1_400;
/**
 * Shorter while other entries rely on this one: they poll it, and get an update
 * some tenths of a second later.
 */
const SHARED_CONFIGURATION_WAIT_MS = 1_000;
/**
 * Long, since the watch of the configuration detects an unreachable store, and
 * watches that stay behind it.
 */
const TARGETS_WAIT_MS = 20_000;
/** The longest wait that the store allows. */
const DRAINED_HALLS_WAIT_MS = 30_000;
/** Time after an outage in which targets may still write their documents again. */
const OUTAGE_GRACE_MS = 1_000;
/**
 * Age of the configuration at which peers are polled though no call has failed:
 * the wait of a watch, and the time that a slow store adds.
 */
const MAX_STORE_SILENCE_MS = 2_000;
/** Time without an answer from any peer or target; covers several polls. */
const ISOLATION_TIMEOUT_MS = 1_500;

const MAX_REPORTED_UNREAD = 1_024;

/** One watch for each kind of store objects. */
interface WatchLoops {
  readonly configuration: WatchLoop;
  readonly targets: WatchLoop;
  readonly drainedHalls: WatchLoop;
}

/** What the follower uses of its process. */
export interface SiteFollowerContext {
  readonly cfg: SiteSettings;
  readonly documents: SiteDocuments;
  readonly store: ObjectApi;
  readonly rpc: RpcClient;
  /** Address at which this process takes calls. */
  readonly rpcAddress: string;
  readonly lastContact: LastContact;
  readonly suspensionDetector: SuspensionDetector;
  readonly log: Log;
  onLimits(limits: CallerLimits): void;
  onTargets(): void;
}

export class SiteFollower {
  readonly configuration = new CurrentConfiguration();
  readonly targets: TargetList;
  private loops: WatchLoops | undefined;
  private readonly watcherElection: election.WatcherElection;
  private readonly configurationReplica: KindReplica;
  private readonly snapshots = new WeakMap<
    objects.StoredObject,
    Result<Snapshot, DocumentError>
  >();
  private readonly targetsReplica: KindReplica;
  private readonly drainedHalls: DrainedHalls;
  /** By name: the version of an unreadable entry that was logged. */
  private readonly reportedUnread = new Map<string, number>();
  /** Era of the last targets update; undefined before the first. */
  private era: number | undefined;
  private readonly peerDirectory: PeerDirectory;
  /** Which entry is responsible for what entries decide together. */
  readonly peers: PeerRanking;
  private readonly peerPoller: PeerPoller;
  private readonly limits: LimitCoordinator;
  /** Issues permits for cold targets. */
  private readonly coldLimits: LimitCoordinator;
  /** The extra of the retry budget, and who issues it. */
  readonly extraRetries: ExtraRetries;
  private readonly retryLimits: LimitCoordinator;
  private readonly coldNotices: ColdNotices;
  /** Ids of targets in use that have turned cold in the update being applied. */
  private readonly turnedCold = new Set<string>();
  readonly crashes: CrashCoordinator;
  /** New connections of callers to this process. */
  readonly connections = new ConnectionRate();
  private readonly peerRates = new PeerRates();
  /** Replays to late subscribers. */
  private readonly becameRoutable = new rxjs.ReplaySubject<void>(1);
  private isStoreDown = false;
  private graceUntil = 0;
  private hasSeenTargets = false;

  constructor(private readonly context: SiteFollowerContext) {
    const {documents, cfg} = context;
    const {configurationKind, targetsKind, emptiedHallsKind} = documents;
    this.targets = new TargetList(change => this.logTargetChange(change), {
      warmUpBounds: cfg.warmUpBounds,
      knownEntryCount: () => this.knownEntryCount,
    });
    this.watcherElection = new election.WatcherElection(context.rpcAddress);
    this.configurationReplica = new KindReplica(configurationKind, object => {
      const read = this.readSnapshot(object);
      return read.ok ? read.value.version : undefined;
    });
    this.targetsReplica = new KindReplica(targetsKind);
    this.drainedHalls = new DrainedHalls(
      emptiedHallsKind,
      halls => this.targets.setDrainedHalls(halls),
      context.log,
    );
    this.peerDirectory = new PeerDirectory(context.rpcAddress, cfg.seeds);
    const peers = new PeerRanking(context.rpcAddress, this.peerDirectory);
    this.peers = peers;
    this.crashes = new CrashCoordinator({
      rpc: context.rpc,
      peers,
      store: context.store,
      storeKind: documents.quarantineKind,
      log: context.log,
      isEnding: target => this.targets.isEnding(target),
    });
    this.limits = new LimitCoordinator({
      rpc: context.rpc,
      peers,
      limits: this.targets.limits,
      log: context.log,
      method: limitApp.borrow,
      onChange: (lifetime, change) => {
        const event = change === 'ended' ? 'limitEnded' : 'targetLimited';
        context.log.event(event, {target: lifetime, by: 'peer'});
      },
    });
    const {warmUp} = this.targets;
    this.coldLimits = new LimitCoordinator({
      rpc: context.rpc,
      peers,
      limits: warmUp.permits,
      log: context.log,
      method: limitApp.borrowCold,
      reach: new PeerReach(now => warmUp.countAt(now).known),
      processes: warmUp.processes,
      // A late answer about a target that is no longer cold.
      onChange: (lifetime, change) =>
        change === 'named' && warmUp.permits.forget(lifetime),
    });
    this.extraRetries = new ExtraRetries(cfg.retryBudget);
    this.retryLimits = new LimitCoordinator({
      rpc: context.rpc,
      peers,
      limits: this.extraRetries.permits,
      log: context.log,
      method: limitApp.borrowRetries,
      reach: new PeerReach(now => warmUp.countAt(now).known),
      processes: warmUp.processes,
      // After an outage of the site, callers need retries at once.
      handoverMs: 0,
      onChange: () => undefined,
    });
    this.coldNotices = new ColdNotices(
      context.rpc,
      context.rpcAddress,
      this.peerDirectory,
    );
    this.peerPoller = new PeerPoller({
      rpc: context.rpc,
      directory: this.peerDirectory,
      from: context.rpcAddress,
      needsUpdates: now =>
        this.isStoreDown ||
        this.configuration.ageMs(now) > MAX_STORE_SILENCE_MS,
      watchers: now => this.updateWatching(now),
      digests: () => this.replicas.map(copy => copy.currentDigest),
      applyUpdates: (updates, askedAt) =>
        this.applyPeerUpdates(updates, askedAt),
      applyQuarantines: notices => this.crashes.applyNotices(notices),
      connectionsPerSecond: () => this.connections.perSecond(performance.now()),
      onPeerConnections: (peer, perSecond) =>
        this.peerRates.note(peer, perSecond, performance.now()),
      onAnswer: () => context.lastContact.recordAnswer(),
    });
  }

  /** True once there is a configuration and a target has been seen. */
  get isRoutable(): boolean {
    return this.configuration.table !== undefined && this.hasSeenTargets;
  }

  /** True if peers get far fewer new connections than this process. */
  hasUnevenConnections(now: number): boolean {
    return this.peerRates.isUneven(this.connections.perSecond(now), now);
  }

  /** Resolves once requests can be routed, or after `waitMs`. */
  async whenRoutable(waitMs: number): Promise<void> {
    if (!this.isRoutable) {
      await rxjs.firstValueFrom(
        rxjs.race(this.becameRoutable, rxjs.timer(waitMs)),
        {
          defaultValue: undefined,
        },
      );
    }
  }

  /** True while this process watches the store itself. */
  get isWatching(): boolean {
    return this.loops !== undefined;
  }

  /** Includes this process. */
  get knownEntryCount(): number {
    return 1 + this.peerDirectory.known.length;
  }

  /**
   * True if this process has had no recent contact with the store, a peer or a
   * target, so callers are better served by another entry. An entry that has
   * lost only the store goes on serving, since its peers would pass on updates.
   */
  isIsolated(now: number): boolean {
    return (
      this.configuration.isStale(now) &&
      !this.peerDirectory.isEmpty &&
      this.context.lastContact.elapsedMs(now) > ISOLATION_TIMEOUT_MS
    );
  }

  /**
   * Adds the time for which the process was suspended to the ages of the
   * configuration, the replicas and the last contact.
   */
  age(suspendedMs: number): void {
    this.configuration.backdate(suspendedMs);
    this.replicas.forEach(replica => replica.age(suspendedMs));
    this.context.lastContact.age(suspendedMs);
    this.limits.handleResume();
    this.coldLimits.handleResume();
    this.retryLimits.handleResume();
    this.context.log.event('instanceSuspended', {
      lostMs: Math.round(suspendedMs),
    });
  }

  /** Starts to follow the site and to answer peers on `server`. */
  open(server: RpcServer): void {
    server.handle(peersApp.pullUpdates, call => {
      this.context.suspensionDetector.check();
      this.peerDirectory.add([call.from]);
      const now = performance.now();
      const isSettling = now < this.graceUntil;
      const kinds = this.replicas.flatMap(replica => {
        const held = call.held.find(one => one.kind === replica.kind);
        return replica.updateFor(held, isSettling, now) ?? [];
      });
      if (call.connectionsPerSecond !== undefined) {
        this.peerRates.note(call.from, call.connectionsPerSecond, now);
      }
      return {
        kinds,
        peers: this.peerDirectory.chooseToShare(),
        convicted: this.crashes.quarantineNotices(),
        connectionsPerSecond: this.connections.perSecond(now),
      };
    });
    this.limits.open(server);
    this.coldLimits.open(server);
    this.retryLimits.open(server);
    this.coldNotices.open(server, items => this.applyColdNotice(items));
    this.crashes.open(server);
    this.watch();
    this.peerPoller.start();
  }

  close(): void {
    this.stopWatching();
    this.limits.close();
    this.coldLimits.close();
    this.retryLimits.close();
    this.extraRetries.close();
    this.crashes.close();
    this.drainedHalls.close();
    this.peerPoller.close();
  }

  /** Starts or stops watching the store; returns the peers to poll instead. */
  private updateWatching(now: number): readonly string[] {
    const peers = this.peerDirectory.known;
    if (
      this.watcherElection.shouldWatch(
        peers,
        this.configuration.ageMs(now),
        now,
      )
    ) {
      this.watch();
      return [];
    }
    this.stopWatching();
    return election.electWatchers(peers);
  }

  private watch(): void {
    if (this.loops !== undefined) {
      return;
    }
    const {store, documents, log} = this.context;
    const {configurationKind, targetsKind, emptiedHallsKind} = documents;
    const isShared = () =>
      this.peerDirectory.known.length >= election.WATCHER_COUNT;
    const configuration = new WatchLoop(store, configurationKind, () =>
      isShared() ? SHARED_CONFIGURATION_WAIT_MS : CONFIGURATION_WAIT_MS,
    );
    const targets = new WatchLoop(store, targetsKind, () => TARGETS_WAIT_MS);
    const drainedHalls = new WatchLoop(
      store,
      emptiedHallsKind,
      () => DRAINED_HALLS_WAIT_MS,
    );
    configuration.events.subscribe(event => {
      if (this.configurationReplica.applyWatchEvent(event)) {
        this.onConfigurationWatchEvent(event);
      }
      if (event.kind === 'contact') {
        targets.noteStoreRevision(configuration.knownRevision);
        drainedHalls.noteStoreRevision(configuration.knownRevision);
      }
    });
    targets.events.subscribe(event => {
      if (this.targetsReplica.applyWatchEvent(event)) {
        this.onTargetsWatchEvent(event, performance.now() < this.graceUntil);
      }
    });
    drainedHalls.events.subscribe(event =>
      this.drainedHalls.applyWatchEvent(event),
    );
    this.loops = {configuration, targets, drainedHalls};
    log.event('watchTaken', {peers: this.peerDirectory.known.length});
    void configuration.run();
    void targets.run();
    void drainedHalls.run();
  }

  private stopWatching(): void {
    if (this.loops === undefined) {
      return;
    }
    this.loops.configuration.close();
    this.loops.targets.close();
    this.loops.drainedHalls.close();
    this.loops = undefined;
    this.isStoreDown = false;
    if (this.graceUntil === Infinity) {
      this.graceUntil = performance.now() + OUTAGE_GRACE_MS;
    }
    this.context.log.event('watchLeft', {
      peers: this.peerDirectory.known.length,
    });
  }

  private get replicas(): readonly KindReplica[] {
    return [
      this.configurationReplica,
      this.targetsReplica,
      this.drainedHalls.replica,
    ];
  }

  /** True if the peer has had recent contact with the store. */
  private applyPeerUpdates(
    updates: readonly KindUpdate[],
    askedAt: number,
  ): boolean {
    let isFresh = false;
    for (const one of updates) {
      if (one.kind === this.configurationReplica.kind) {
        this.configurationReplica
          .applyPeerUpdate(one, askedAt)
          .forEach(event => this.applyConfigurationEvent(event, 'peer'));
        isFresh = one.ageMs < MAX_STORE_SILENCE_MS;
      } else if (one.kind === this.targetsReplica.kind) {
        this.targetsReplica
          .applyPeerUpdate(one, askedAt)
          .forEach(event => this.applyTargetsEvent(event, one.isSettling));
      } else if (one.kind === this.drainedHalls.replica.kind) {
        this.drainedHalls.applyPeerUpdate(one, askedAt);
      }
    }
    return isFresh;
  }

  private onConfigurationWatchEvent(event: WatchEvent): void {
    this.isStoreDown = event.kind === 'lost';
    if (event.kind === 'lost') {
      this.context.log.event('platformUnavailable', {
        of: this.configurationReplica.kind,
        error: event.error.kind,
      });
      this.loops?.targets.restart();
      this.loops?.drainedHalls.restart();
    } else {
      this.applyConfigurationEvent(event, 'store');
    }
  }

  private applyConfigurationEvent(
    event: WatchEvent,
    source: 'store' | 'peer',
  ): void {
    if (event.kind === 'contact') {
      this.configuration.confirm(event.since);
    } else if (event.kind !== 'lost') {
      this.applyConfiguration(event.listing, source);
    }
  }

  private applyConfiguration(
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
      this.targets.warmUp.setServices(services, performance.now());
      this.targets.setKnownServices([
        ...services.map(one => one.name),
        ...routes.flatMap(one => one.services.map(part => part.service)),
      ]);
      this.context.onLimits(limits);
      this.emitIfRoutable();
      log.event('configurationApplied', {version, source});
    }
  }

  /** Parses each object once: it may be large, and is compared and applied. */
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

  private emitIfRoutable(): void {
    if (this.isRoutable) {
      this.becameRoutable.next();
    }
  }

  private onTargetsWatchEvent(event: WatchEvent, inGrace: boolean): void {
    if (event.kind === 'lost') {
      this.graceUntil = Infinity;
      this.context.log.event('platformUnavailable', {
        of: this.targetsReplica.kind,
        error: event.error.kind,
      });
      return;
    }
    this.applyTargetsEvent(event, inGrace);
    if (event.kind !== 'contact') {
      const {items} = event.listing;
      this.coldNotices.send(
        items.filter(({key}) => this.turnedCold.has(objects.nameOf(key))),
      );
    }
    if (event.kind !== 'contact' && this.graceUntil === Infinity) {
      this.graceUntil = performance.now() + OUTAGE_GRACE_MS;
      this.context.log.event('platformBack', {targets: this.targets.size});
    }
  }

  /** `inGrace`: missing targets may still write their documents again. */
  private applyTargetsEvent(event: WatchEvent, inGrace: boolean): void {
    if (event.kind !== 'listed' && event.kind !== 'changed') {
      return;
    }
    const now = performance.now();
    const {items, removed, revision} = event.listing;
    const {found, unread} = this.readTargets(items);
    this.turnedCold.clear();
    const isRolledBack = this.detectRollback(revision, now);
    if (event.kind === 'listed') {
      // An older copy may lack targets that will write their documents again.
      const mayReturn = inGrace || isRolledBack;
      this.targets.replaceAll(found, now, mayReturn, unread);
    } else {
      found.forEach(target => this.targets.add(target, now));
      removed.forEach(key =>
        this.targets.remove(objects.nameOf(key), now, inGrace),
      );
    }
    this.hasSeenTargets ||= this.targets.size > 0;
    this.emitIfRoutable();
    this.context.onTargets();
  }

  /** A peer has read from the store that listed targets have turned cold. */
  private applyColdNotice(items: readonly objects.StoredObject[]): void {
    const now = performance.now();
    this.readTargets(items)
      .found.filter(
        ({id, lifetime}) => this.targets.get(id)?.lifetime === lifetime,
      )
      .forEach(target => this.targets.add(target, now));
  }

  /** True if the store was restored from an older copy since the last update. */
  private detectRollback(revision: StoreRevision, now: number): boolean {
    const era = revisions.eraOf(revision);
    const isRolledBack = this.era !== undefined && era > this.era;
    if (isRolledBack) {
      this.graceUntil = Math.max(this.graceUntil, now + OUTAGE_GRACE_MS);
      this.context.log.event('storeSetBack', {era, before: this.era});
    }
    this.era = Math.max(era, this.era ?? era);
    return isRolledBack;
  }

  /** `unread`: names of the objects that can't be parsed as targets. */
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
        if (this.reportedUnread.get(name) !== version) {
          this.reportedUnread.set(name, version);
          bounded.dropOldest(this.reportedUnread, MAX_REPORTED_UNREAD);
          log.event('targetUnread', {entry: name, error: read.error.detail});
        }
      }
    }
    return {found, unread};
  }

  private logTargetChange(change: TargetChange): void {
    const {log} = this.context;
    const {id, service, address, slots, group, rank} = change.target;
    const fields = {target: id, service, address};
    switch (change.kind) {
      case 'joined':
        this.crashes.noteJoined(change.target);
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
        return;
      case 'cold':
        if (change.wasWarm) {
          this.turnedCold.add(id);
        }
        log.event('targetCold', {
          target: id,
          service,
          perSecond: change.perSecond,
          remainingMs: Math.round(change.remainingMs),
          wasWarm: change.wasWarm,
        });
        return;
      case 'warm':
        log.event('targetWarm', {
          target: id,
          service,
          coldMs: Math.round(change.coldMs),
        });
    }
  }
}
