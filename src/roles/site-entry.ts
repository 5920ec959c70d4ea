/** The entry of a site: takes callers' requests to targets that it knows. */
import * as http from 'node:http';
import type {Subscription} from 'rxjs';
import {TargetConnections} from '../forwarding/agents';
import {TargetLoads} from '../forwarding/choose';
import {Forwarder} from '../forwarding/forwarder';
import {GroupGate} from '../forwarding/group-gate';
import {GroupViews} from '../forwarding/group-views';
import {TargetChange, TargetList} from '../forwarding/target-list';
import type {Target, Wire} from '../forwarding/types';
import * as httpServer from '../http/server';
import type {Log} from '../observability/log';
import {Metrics} from '../observability/metrics';
import type {ObjectApi} from '../platform/client';
import * as objects from '../platform/types';
import {WatchEvent, WatchLoop} from '../platform/watch-loop';
import {RpcClient} from '../rpc/client';
import {CurrentConfiguration} from '../routes/current';
import type {CallerLimits} from '../routes/types';
import {serveMetrics} from './metrics-face';
import type {SiteDocuments} from './site-documents';
import type {SiteSettings} from './site-settings';

/**
 * Milliseconds that a watch of the configuration waits. An answer proves that
 * nothing newer exists, and keys are trusted for a few seconds after it.
 */
const CONFIGURATION_WAIT_MS = 1_800;
/**
 * Milliseconds that a watch of the targets waits. It need not tell that the
 * store is out of reach: the other watch does.
 */
const TARGETS_WAIT_MS = 20_000;
/**
 * After a planned stop: milliseconds until connections are closed. By then
 * the platform has seen two failed status checks and sends no new ones.
 */
const CLOSE_CONNECTIONS_MS = 2_500;
/** How often idle connections are closed after that, in milliseconds. */
const SWEEP_MS = 100;
/** Part of the grace period after which the process ends anyway. */
const GRACE_SHARE = 0.95;

export class SiteEntry {
  private readonly configuration = new CurrentConfiguration();
  private readonly targets: TargetList;
  private readonly loads: TargetLoads;
  private readonly rpc = new RpcClient();
  private readonly views: GroupViews;
  private readonly connections = new TargetConnections();
  private readonly forwarder: Forwarder;
  private readonly metrics = new Metrics();
  private readonly configurationLoop: WatchLoop;
  private readonly targetsLoop: WatchLoop;
  private readonly subscriptions: Subscription[] = [];
  private readonly servers: http.Server[] = [];
  private callers: http.Server | undefined;
  private isStopping = false;
  private hasTargets = false;
  private graceUntil = 0;

  constructor(
    private readonly cfg: SiteSettings,
    private readonly documents: SiteDocuments,
    private readonly store: ObjectApi,
    wire: Wire,
    private readonly log: Log,
  ) {
    this.targets = new TargetList(change => this.onTarget(change));
    this.views = new GroupViews({
      rpc: this.rpc,
      hall: cfg.hall,
      rpcPort: cfg.rpcPort,
      ranks: () => this.targets.ranks(),
      inFlight: id => this.loads.inFlight(id),
    });
    this.loads = new TargetLoads(cfg.hall, this.views);
    this.forwarder = new Forwarder({
      cfg,
      wire,
      configuration: this.configuration,
      targets: this.targets,
      loads: this.loads,
      gate: new GroupGate(),
      views: this.views,
      connections: this.connections,
      log,
      metrics: this.metrics,
    });
    this.configurationLoop = new WatchLoop(
      store,
      documents.configurationKind,
      CONFIGURATION_WAIT_MS,
    );
    this.targetsLoop = new WatchLoop(
      store,
      documents.targetsKind,
      TARGETS_WAIT_MS,
    );
  }

  /** True where a request that comes now can be served. */
  get isReady(): boolean {
    return (
      !this.isStopping &&
      this.configuration.table !== undefined &&
      !this.configuration.isLagging(performance.now()) &&
      this.hasTargets
    );
  }

  /** Listens and starts to follow the store. */
  async open(): Promise<void> {
    const {cfg} = this;
    this.subscriptions.push(
      this.configurationLoop.events.subscribe(event =>
        this.onConfiguration(event),
      ),
      this.targetsLoop.events.subscribe(event => this.onTargets(event)),
    );
    this.callers = await httpServer.bind(
      cfg.callersAddress ?? `${cfg.host}:0`,
      http.createServer((req, res) => this.answer(req, res)),
    );
    if (cfg.readyAddress !== undefined) {
      const ready = http.createServer((req, res) => {
        const isAsked = req.url?.split('?', 1)[0] === this.documents.readyPath;
        res.writeHead(isAsked ? (this.isReady ? 200 : 503) : 404);
        res.end();
      });
      this.servers.push(await httpServer.bind(cfg.readyAddress, ready));
    }
    this.servers.push(
      await serveMetrics(`${cfg.host}:${cfg.metricsPort}`, this.metrics),
    );
    this.log.event('processReady', {id: cfg.id, hall: cfg.hall});
    void this.configurationLoop.run();
    void this.targetsLoop.run();
  }

  /** New settings are in the file; those of an entry hold for its life. */
  reload(): void {
    this.log.event('settingsReloaded', {id: this.cfg.id});
  }

  /** Planned stop: answers what was read, then ends. */
  async stop(): Promise<void> {
    const endsAt = performance.now() + this.cfg.gracePeriodMs * GRACE_SHARE;
    this.isStopping = true;
    this.forwarder.stop();
    const {openCount} = this.forwarder;
    this.log.event('processStopping', {inFlight: openCount});
    await sleep(CLOSE_CONNECTIONS_MS);
    this.callers?.close();
    this.callers?.closeIdleConnections();
    while (this.forwarder.openCount > 0 && performance.now() < endsAt) {
      await sleep(SWEEP_MS);
      this.callers?.closeIdleConnections();
    }
    this.close();
  }

  /** Ends at once. */
  close(): void {
    this.configurationLoop.close();
    this.targetsLoop.close();
    this.subscriptions.forEach(one => one.unsubscribe());
    this.servers.forEach(server => server.close());
    this.callers?.close();
    this.callers?.closeAllConnections();
    this.connections.close();
    this.views.close();
    this.rpc.close();
    this.store.close();
  }

  private answer(req: http.IncomingMessage, res: http.ServerResponse): void {
    this.forwarder.answer(req, res).catch(err => {
      this.log.event('requestFault', {error: String((err as Error).stack)});
      res.destroy();
    });
  }

  private onConfiguration(event: WatchEvent): void {
    switch (event.kind) {
      case 'listed':
      case 'changed':
        this.takeConfiguration(event.listing);
        return;
      case 'contact':
        this.configuration.confirm(event.since);
        return;
      case 'lost':
        this.log.event('platformUnavailable', {
          of: this.documents.configurationKind,
          error: event.error.kind,
        });
        this.targetsLoop.restart();
    }
  }

  private takeConfiguration(listing: objects.Listing): void {
    const {documents} = this;
    const object = listing.items.find(
      item => item.key === documents.configurationKey,
    );
    if (object === undefined) {
      return;
    }
    const read = documents.readSnapshot(object.value);
    if (!read.ok) {
      this.log.event('configurationRejected', {error: read.error.detail});
      return;
    }
    if (this.configuration.offer(read.value)) {
      this.applyLimits(read.value.limits);
      this.log.event('configurationApplied', {version: read.value.version});
    }
  }

  private applyLimits(limits: CallerLimits): void {
    if (this.callers !== undefined) {
      this.callers.keepAliveTimeout = limits.idleTimeoutMs;
      this.callers.headersTimeout = limits.headerTimeoutMs;
    }
  }

  private onTargets(event: WatchEvent): void {
    const now = performance.now();
    switch (event.kind) {
      case 'listed': {
        const found = event.listing.items.flatMap(item => this.read(item));
        this.targets.replaceAll(found, now, now < this.graceUntil);
        this.afterTargets();
        return;
      }
      case 'changed': {
        const inGrace = now < this.graceUntil;
        event.listing.items
          .flatMap(item => this.read(item))
          .forEach(target => this.targets.add(target));
        event.listing.removed.forEach(key =>
          this.targets.remove(objects.nameOf(key), now, inGrace),
        );
        this.afterTargets();
        return;
      }
      case 'contact':
        return;
      case 'lost':
        this.graceUntil = Infinity;
        this.log.event('platformUnavailable', {
          of: this.documents.targetsKind,
          error: event.error.kind,
        });
    }
  }

  private read(item: objects.StoredObject): Target[] {
    const target = this.documents.readTarget(
      objects.nameOf(item.key),
      item.version,
      item.value,
    );
    return target === undefined ? [] : [target];
  }

  private afterTargets(): void {
    if (this.graceUntil === Infinity) {
      this.graceUntil = performance.now() + OUTAGE_GRACE_MS;
      this.log.event('platformBack', {targets: this.targets.size});
    }
    this.hasTargets = this.hasTargets || this.targets.size > 0;
    this.views.update();
    this.loads.retain(id => this.targets.get(id) !== undefined);
  }

  private onTarget(change: TargetChange): void {
    const {id, service, address, slots, group, rank} = change.target;
    const fields = {target: id, service, address};
    switch (change.kind) {
      case 'joined':
        this.log.event('targetJoined', {...fields, slots, group, rank});
        return;
      case 'leaving':
        this.log.event('targetLeaving', fields);
        return;
      case 'gone':
        this.log.event('targetGone', fields);
        return;
      case 'missing':
        this.log.event('targetMissing', fields);
    }
  }
}

/** Time after an outage in which entries may still be coming back. */
const OUTAGE_GRACE_MS = 1_000;

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
