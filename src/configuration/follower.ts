/**
 * Keeps a process's replica of the configuration and of the list of instances.
 *
 * A few processes of each hall watch the store and the others long-poll them, so
 * the store's calls grow with the halls and not with the fleet. Every call
 * between processes also carries a stamp, and a process that is behind fetches
 * from the other: changes spread also while the store is down.
 */
import {createHash} from 'node:crypto';
import {
  BehaviorSubject,
  Subject,
  firstValueFrom,
  merge,
  race,
  timer,
} from 'rxjs';
import {filter, map, take} from 'rxjs/operators';
import {Log} from '../observability/log';
import {ObjectApi} from '../platform/client';
import type {Instance} from '../platform/types';
import * as random from '../random';
import * as rendezvous from '../routing/rendezvous';
import type {RpcClient} from '../rpc/client';
import type {RpcServer} from '../rpc/server';
import type {StampExchange} from '../rpc/types';
import * as app from './app';
import * as replica from './replica';
import {CONFIGURATION_PREFIX} from './types';

export const WATCHERS_PER_HALL = 2;
const WATCH_WAIT_MS = 20_000;
const INSTANCE_POLL_INTERVAL_MS = 2_000;
const GOSSIP_INTERVAL_MS = 5_000;
const RETRY_MIN_MS = 200;
const RETRY_MAX_MS = 3_000;
const FETCH_TIMEOUT_MS = 2_000;
const WAIT_GRACE_MS = 3_000;

/** How other followers know this process, and which it knows from the start. */
export interface FollowerIdentity {
  readonly id: string;
  readonly hall: string;
  /** Addresses from the settings, asked while the store is down. */
  readonly peers: readonly string[];
}

interface InstanceList {
  readonly instances: readonly Instance[];
  readonly digest: string;
}

export class Follower {
  readonly replica: replica.Replica;
  private readonly instanceList = new BehaviorSubject<InstanceList>({
    instances: [],
    digest: '',
  });
  private readonly closing = new AbortController();
  private readonly closed = new Subject<void>();
  private readonly fetching = new Map<string, Promise<void>>();
  /**
   * Incremented when polling the store for the list of instances starts and when
   * it stops, so that an answer of an earlier round is ignored. Odd while polling.
   */
  private instancePollRound = 0;
  private instancePollTimer: NodeJS.Timeout | undefined;
  private gossipTimer: NodeJS.Timeout | undefined;
  private started: Promise<void> | undefined;
  private isStoreDown = false;
  private updateSource: string | undefined;

  constructor(
    private readonly identity: FollowerIdentity,
    private readonly store: ObjectApi,
    private readonly log: Log,
    private readonly rpcClient: () => RpcClient,
  ) {
    this.replica = new replica.Replica((key, detail) =>
      log.event('configurationRejected', {key, detail}),
    );
  }

  /** The newest list of instances that this process knows. */
  get instances(): readonly Instance[] {
    return this.instanceList.value.instances;
  }

  /** Emits each new list of instances. */
  get instanceLists() {
    return this.instanceList.pipe(map(list => list.instances));
  }

  /** Starts following, once; resolves when the replica is filled or closed. */
  start(): Promise<void> {
    this.started ??= this.begin();
    return this.started;
  }

  private async begin(): Promise<void> {
    void this.followChanges();
    void this.gossip();
    await firstValueFrom(
      merge(
        this.replica.changes.pipe(filter(() => this.replica.ready)),
        this.closed,
      ).pipe(take(1)),
    );
    await this.fetchFromSeveralPeers();
  }

  /** Makes calls between processes carry and compare stamps. */
  get stampExchange(): StampExchange {
    return {
      ownStamp: () => replica.formatStamp(this.replica.stamp),
      onPeerStamp: (stamp, address) => void this.catchUp(stamp, address),
    };
  }

  /** Fetches from a peer if its stamp shows that this replica is behind. */
  async catchUp(stampText: string, address: string): Promise<void> {
    const theirs = replica.parseStamp(stampText);
    if (
      theirs === undefined ||
      address === '' ||
      !replica.isBehind(this.replica.stamp, theirs)
    ) {
      return;
    }
    const running = this.fetching.get(address) ?? this.fetchFrom(address);
    this.fetching.set(address, running);
    await running;
    this.fetching.delete(address);
  }

  registerHandlers(server: RpcServer): void {
    server.handle(app.since, params => this.replica.since(params.version));
    server.handle(app.hello, () => ({}));
    server.handle(app.push, params => {
      const before = replica.formatStamp(this.replica.stamp);
      this.replica.mergePushed(params.item);
      this.reportChange(before, 'operator');
      return {stamp: replica.formatStamp(this.replica.stamp)};
    });
    server.handle(app.wait, params => this.handleWait(params));
  }

  close(): void {
    this.closing.abort();
    this.closed.next();
    this.closed.complete();
    clearTimeout(this.instancePollTimer);
    clearTimeout(this.gossipTimer);
    this.replica.close();
    this.instanceList.complete();
  }

  private async fetchFrom(address: string): Promise<void> {
    const version = this.replica.stamp.complete;
    const delta = await this.rpcClient().call(
      address,
      app.since,
      {version},
      FETCH_TIMEOUT_MS,
    );
    if (delta.ok) {
      this.mergeDelta(delta.value, address);
    }
  }

  private mergeDelta(delta: replica.Delta, source: string): void {
    const before = replica.formatStamp(this.replica.stamp);
    this.replica.mergeDelta(delta);
    this.reportChange(before, source);
  }

  private reportChange(before: string, source: string): void {
    const stamp = replica.formatStamp(this.replica.stamp);
    if (stamp !== before) {
      this.log.event('configurationApplied', {stamp, source});
      if (source !== 'store' && source !== this.updateSource) {
        this.notifyWatchers(source);
      }
    }
  }

  /**
   * Passes on a change that came neither from the store nor from a watcher and
   * may have reached no other process: to the watchers of this hall, or from one
   * of these to the watchers of all halls.
   */
  private notifyWatchers(source: string): void {
    const own = this.watchersOf(this.identity.hall);
    const isWatcher = own.some(watcher => watcher.id === this.identity.id);
    const halls = new Set(this.instances.map(instance => instance.hall));
    const notified = isWatcher
      ? [...halls].flatMap(hall => this.watchersOf(hall))
      : own;
    for (const watcher of notified) {
      if (watcher.id !== this.identity.id && watcher.address !== source) {
        void this.rpcClient().call(watcher.address, app.hello, {});
      }
    }
  }

  /** The processes of a hall that watch the store for it. */
  private watchersOf(hall: string): Instance[] {
    const live = this.instances.filter(
      instance => instance.hall === hall && instance.state === 'live',
    );
    return rendezvous.topByKey(hall, live, one => one.id, WATCHERS_PER_HALL);
  }

  /** Exchanges stamps with a random process, to find missed updates. */
  private async gossip(): Promise<void> {
    const others = this.instances.filter(
      i => i.state === 'live' && i.id !== this.identity.id,
    );
    if (others.length > 0) {
      const {address} = random.pick(others);
      await this.rpcClient().call(address, app.hello, {});
    }
    if (!this.closing.signal.aborted) {
      this.gossipTimer = setTimeout(
        () => void this.gossip(),
        random.jitter(GOSSIP_INTERVAL_MS),
      );
    }
  }

  private async handleWait(params: {
    stamp: string;
    instancesDigest: string;
    waitMs: number;
  }) {
    const theirs = replica.parseStamp(params.stamp);
    const hasChanges = () =>
      theirs === undefined ||
      replica.isBehind(theirs, this.replica.stamp) ||
      this.instanceList.value.digest !== params.instancesDigest;
    if (!hasChanges()) {
      const changes = merge(this.replica.changes, this.instanceList).pipe(
        filter(hasChanges),
        take(1),
      );
      await firstValueFrom(race(changes, timer(params.waitMs), this.closed), {
        defaultValue: undefined,
      });
    }
    const list = this.instanceList.value;
    const changed = list.digest !== params.instancesDigest;
    return {
      delta: this.replica.since(theirs?.complete ?? 0),
      instances: changed ? [...list.instances] : null,
      instancesDigest: list.digest,
    };
  }

  private async followChanges(): Promise<void> {
    let failures = 0;
    while (!this.closing.signal.aborted) {
      const source = this.chooseUpdateSource(failures);
      const worked =
        source === undefined
          ? await this.watchStore()
          : await this.waitForWatcher(source);
      failures = worked ? 0 : failures + 1;
      if (!worked) {
        await this.fetchFromRandomPeer();
        await this.backOff(failures);
      }
    }
  }

  /** Undefined: this process watches the store itself. */
  private chooseUpdateSource(failures: number): string | undefined {
    const watchers = this.watchersOf(this.identity.hall);
    const isWatcher = watchers.some(m => m.id === this.identity.id);
    // A process that reaches no watcher uses the store: if all watchers of a
    // hall fail at once, the list of instances names them for a while.
    if (isWatcher || watchers.length === 0 || failures >= watchers.length) {
      this.setUpdateSource('store');
      return undefined;
    }
    const mine = rendezvous.rankByKey(this.identity.id, watchers, m => m.id);
    const address = mine[failures % mine.length]!.address;
    this.setUpdateSource(address);
    return address;
  }

  private setUpdateSource(source: string): void {
    if (this.updateSource !== source) {
      this.updateSource = source;
      this.log.event('watcherChanged', {source});
    }
  }

  private async waitForWatcher(address: string): Promise<boolean> {
    this.instancePollRound += this.instancePollRound % 2;
    clearTimeout(this.instancePollTimer);
    const answer = await this.rpcClient().call(
      address,
      app.wait,
      {
        stamp: replica.formatStamp(this.replica.stamp),
        instancesDigest: this.instanceList.value.digest,
        waitMs: WATCH_WAIT_MS,
      },
      WATCH_WAIT_MS + WAIT_GRACE_MS,
      this.closing.signal,
    );
    if (!answer.ok) {
      return false;
    }
    this.mergeDelta(answer.value.delta, address);
    if (answer.value.instances !== null) {
      this.setInstances(answer.value.instances);
    }
    return true;
  }

  /** Revision to watch from; undefined: list first. */
  private watchRevision: number | undefined;

  private async watchStore(): Promise<boolean> {
    if (this.instancePollRound % 2 === 0) {
      this.instancePollRound += 1;
      void this.pollInstances(this.instancePollRound);
    }
    const before = replica.formatStamp(this.replica.stamp);
    const answer =
      this.watchRevision === undefined
        ? await this.store.list(CONFIGURATION_PREFIX)
        : await this.store.watch(
            CONFIGURATION_PREFIX,
            this.watchRevision,
            WATCH_WAIT_MS,
            this.closing.signal,
          );
    if (this.closing.signal.aborted) {
      return true;
    }
    if (!answer.ok) {
      return this.onStoreError(answer.error.kind);
    }
    this.markStoreAvailable();
    const {revision} = answer.value;
    this.watchRevision = Math.max(this.watchRevision ?? 0, revision);
    this.replica.mergeListing(answer.value);
    this.reportChange(before, 'store');
    return true;
  }

  private onStoreError(kind: string): boolean {
    this.watchRevision = undefined;
    if (kind === 'watch-too-old') {
      this.log.event('watchRelisted');
      return true;
    }
    if (!this.isStoreDown) {
      this.isStoreDown = true;
      this.log.event('platformUnavailable', {error: kind});
    }
    return false;
  }

  private markStoreAvailable(): void {
    if (this.isStoreDown) {
      this.isStoreDown = false;
      this.log.event('platformBack');
    }
  }

  private async pollInstances(round: number): Promise<void> {
    const answer = await this.store.instances();
    // This process may have stopped watching meanwhile, or have started
    // another round.
    if (this.closing.signal.aborted || round !== this.instancePollRound) {
      return;
    }
    if (answer.ok) {
      this.setInstances(answer.value);
    }
    const waitMs = random.jitter(INSTANCE_POLL_INTERVAL_MS);
    this.instancePollTimer = setTimeout(
      () => void this.pollInstances(round),
      waitMs,
    );
  }

  private setInstances(instances: readonly Instance[]): void {
    const digest = createHash('sha256')
      .update(JSON.stringify(instances))
      .digest('base64url');
    if (digest !== this.instanceList.value.digest) {
      this.instanceList.next({instances, digest});
    }
  }

  /** Fetches changes that a lagging replica of the store did not show. */
  private async fetchFromSeveralPeers(): Promise<void> {
    const FETCHES = 3;
    for (let done = 0; done < FETCHES; done += 1) {
      await this.fetchFromRandomPeer();
    }
  }

  /** Finds changes at the start and while the store or the watcher fails. */
  private async fetchFromRandomPeer(): Promise<void> {
    const known = this.instances
      .filter(i => i.state === 'live' && i.id !== this.identity.id)
      .map(i => i.address);
    const addresses = [...this.identity.peers, ...known];
    if (addresses.length > 0) {
      await this.fetchFrom(random.pick(addresses));
    }
  }

  private async backOff(failures: number): Promise<void> {
    const limit = Math.min(RETRY_MIN_MS * 2 ** failures, RETRY_MAX_MS);
    await firstValueFrom(
      race(timer(random.jitter(limit)), this.closed).pipe(take(1)),
      {defaultValue: undefined},
    );
  }
}
