/** The entry of a site: forwards callers' requests to the targets that it knows. */
import type * as http from 'node:http';
import type * as net from 'node:net';
import {SharedCapacity} from '../capacity/shared-capacity';
import {TargetConnections} from '../forwarding/target-connections';
import {LoadBalancer} from '../forwarding/load-balancer';
import {Forwarder} from '../forwarding/forwarder';
import {GroupGate} from '../forwarding/group-gate';
import {GroupViews} from '../forwarding/group-views';
import type {Wire} from '../forwarding/types';
import {StopDeadline} from '../forwarding/stop-deadline';
import * as closing from '../http/closing';
import {DEFAULT_LIMITS} from '../http/connection-limits';
import type {ConnectionTracker} from '../http/connection-tracker';
import * as loadShedder from '../http/load-shedder';
import {PortWait} from '../http/port-wait';
import {ProcessGuard} from '../http/process-guard';
import * as readingTurns from '../http/reading-turns';
import * as httpServer from '../http/server';
import {SuspensionDetector} from '../suspension-detector';
import type {Log} from '../observability/log';
import {Metrics} from '../observability/metrics';
import {LastContact} from '../peers/last-contact';
import type {ObjectApi} from '../platform/client';
import {RpcClient} from '../rpc/client';
import {RpcServer} from '../rpc/server';
import {NO_STAMPS} from '../rpc/types';
import type {CallerLimits} from '../routes/types';
import {serveMetrics} from './metrics-endpoint';
import {serveRpc} from './rpc-endpoint';
import type {SiteDocuments} from './site-documents';
import {SiteFollower} from './site-follower';
import type {SiteSettings} from './site-settings';

/**
 * Delay after a planned stop; by then the platform has seen two failed status
 * checks and sends no new connections.
 */
const CLOSE_CONNECTIONS_DELAY_MS = 2_500;
/** The same as a share of the grace period, if that is shorter. */
const CLOSE_CONNECTIONS_SHARE = 0.4;
/** Share of the grace period after which a stop waits for targets no longer. */
const ANSWER_SHARE = 0.92;
/** Share of the grace period after which it delivers answers no longer. */
const DELIVERY_SHARE = 0.95;
/**
 * Time for which a connection must be idle during a stop before it is closed: its
 * caller may be sending the next request on it.
 */
const MIN_IDLE_MS = 250;
/** Maximum wait for calls of other processes, as a share of the grace period. */
const RPC_DRAIN_SHARE = 0.02;

export class SiteEntry {
  private readonly site: SiteFollower;
  private readonly balancer: LoadBalancer;
  private readonly rpc = new RpcClient();
  private readonly rpcServer: RpcServer;
  private readonly lastContact = new LastContact();
  private readonly suspensionDetector = new SuspensionDetector();
  private readonly views: GroupViews;
  private readonly guard: ProcessGuard;
  private readonly connections: TargetConnections;
  private readonly shares: SharedCapacity;
  private readonly forwarder: Forwarder;
  private readonly metrics = new Metrics();
  private readonly shedder: loadShedder.LoadShedder;
  /** Readiness and metrics. */
  private readonly servers: http.Server[] = [];
  private callerServer: http.Server | undefined;
  private callerConnections: ConnectionTracker | undefined;
  private rpcConnections: ConnectionTracker | undefined;
  private readonly ports: PortWait;
  private isOpen = false;
  private isStopping = false;

  constructor(
    private readonly cfg: SiteSettings,
    private readonly documents: SiteDocuments,
    private readonly store: ObjectApi,
    wire: Wire,
    private readonly log: Log,
  ) {
    this.guard = new ProcessGuard({
      log,
      metrics: this.metrics,
      memoryBytes: cfg.memoryLimitBytes,
      descriptors: cfg.descriptorLimit,
      limits: cfg.connectionLimits ?? DEFAULT_LIMITS,
    });
    this.ports = new PortWait(log);
    const {held} = this.guard;
    this.connections = new TargetConnections(this.guard.maxSends);
    this.rpcServer = new RpcServer(log, NO_STAMPS, held);
    this.site = new SiteFollower({
      cfg,
      documents,
      store,
      rpc: this.rpc,
      rpcAddress: this.rpcAddress,
      lastContact: this.lastContact,
      suspensionDetector: this.suspensionDetector,
      log,
      onLimits: limits => this.applyLimits(limits),
      onTargets: () => this.onTargets(),
    });
    const {targets, configuration} = this.site;
    const gate = new GroupGate();
    this.views = new GroupViews({
      rpc: this.rpc,
      reach: this.lastContact,
      hall: cfg.hall,
      rpcPort: cfg.rpcPort,
      ranks: () => targets.ranks(),
      usableRanks: () => targets.usableRanks(),
      knownEntryCount: () => this.site.knownEntryCount,
      onGroupState: ({service, group}, isOpen, at) => {
        const change = group && gate.noteReport(group, isOpen, at);
        if (change !== undefined && change !== 'known') {
          const event = change === 'closed' ? 'groupClosed' : 'groupOpen';
          log.event(event, {service, group, by: 'sidecar'});
        }
      },
      inFlight: lifetime => this.balancer.inFlight(lifetime),
      onPasses: ({group}, {measuredMs, predictedMs}) => {
        const {metrics} = this;
        metrics.recordDuration('pass', 'none', group!, measuredMs);
        metrics.recordDuration('predicted_pass', 'none', group!, predictedMs);
      },
    });
    this.balancer = new LoadBalancer(cfg.hall, this.views, ({lifetime}, now) =>
      targets.warmUp.shareOf(lifetime, now),
    );
    targets.warmUp.onDelay = service =>
      this.metrics.count('cold_delays_total', {service});
    this.suspensionDetector.suspensions.subscribe(suspendedMs => {
      this.site.age(suspendedMs);
      this.views.clear();
      this.shares.handleResume();
      this.forwarder.noteSuspension(suspendedMs);
    });
    this.shares = new SharedCapacity({
      rpc: this.rpc,
      peers: this.site.peers,
      source: {
        demandOf: pool => this.forwarder.pools.demandOf(pool),
        capacityOf: (pool, now) => this.forwarder.pools.capacityOf(pool, now),
      },
      log,
      metrics: this.metrics,
      knownEntryCount: () => this.site.knownEntryCount,
      weightOf: account => cfg.admission.weights.get(account) ?? 1,
      floorShare: cfg.admission.floorShare,
    });
    this.forwarder = new Forwarder({
      cfg,
      wire,
      configuration,
      targets,
      balancer: this.balancer,
      gate,
      views: this.views,
      reach: this.lastContact,
      connections: this.connections,
      crashes: this.site.crashes,
      shares: this.shares,
      extraRetries: this.site.extraRetries,
      stopDeadline: new StopDeadline(),
      held,
      knownEntryCount: () => this.site.knownEntryCount,
      whenRoutable: waitMs => this.site.whenRoutable(waitMs),
      isIsolated: () => this.site.isIsolated(performance.now()),
      log,
      metrics: this.metrics,
    });
    this.shedder = new loadShedder.LoadShedder(
      loadShedder.measureUtilization(),
      () => this.site.hasUnevenConnections(performance.now()),
      isShedding =>
        log.event('connectionsShed', {
          isShedding,
          open: this.forwarder.openCount,
        }),
    );
    this.shares.changes.subscribe(() => this.forwarder.noteSharesChanged());
  }

  get isReady(): boolean {
    return (
      !this.isStopping &&
      this.site.isRoutable &&
      !this.site.isIsolated(performance.now())
    );
  }

  /** True while this process watches the store itself. */
  get isWatching(): boolean {
    return this.site.isWatching;
  }

  /** Listens and starts to follow the store. */
  async open(): Promise<void> {
    const {cfg, guard, ports} = this;
    const callers = httpServer.createServer(
      (req, res, arrivedAt) => this.answer(req, res, arrivedAt),
      guard.forServer('callers'),
    );
    this.callerConnections = callers.connections;
    this.callerServer = await ports.bind(
      cfg.callersAddress ?? `${cfg.host}:0`,
      callers.server,
    );
    this.callerServer.on('connection', (socket: net.Socket) => {
      const now = performance.now();
      this.site.connections.note(now);
      if (this.shedder.shouldClose(now)) {
        this.metrics.count('connections_shed_total', {});
        socket.destroy();
      }
    });
    if (cfg.readyAddress !== undefined) {
      const ready = httpServer.createServer((req, res) => {
        readingTurns.dropBody(req);
        const isReadyPath =
          req.url?.split('?', 1)[0] === this.documents.readyPath;
        res.writeHead(isReadyPath ? (this.isReady ? 200 : 503) : 404);
        res.end();
      }, guard.forServer('ready'));
      this.servers.push(await ports.bind(cfg.readyAddress, ready.server));
    }
    const rpc = await serveRpc(
      this.rpcAddress,
      this.rpcServer,
      this.log,
      guard.forServer('rpc'),
      ports,
    );
    this.rpcConnections = rpc.connections;
    this.servers.push(
      serveMetrics(
        `${cfg.host}:${cfg.metricsPort}`,
        this.metrics,
        guard.forServer('metrics'),
        ports,
        () => this.forwarder.queues.format(performance.now()),
      ),
    );
    this.isOpen = true;
    this.log.event('processReady', {id: cfg.id, hall: cfg.hall});
    this.shares.open(this.rpcServer);
    this.site.open(this.rpcServer);
  }

  /** Only logs: an entry keeps the settings that it started with. */
  reload(): void {
    this.log.event('settingsReloaded', {id: this.cfg.id});
  }

  /**
   * Planned stop: answers the requests that can be answered within the grace
   * period, refuses the others, then closes.
   */
  async stop(): Promise<void> {
    const {gracePeriodMs} = this.cfg;
    const startedAt = performance.now();
    this.isStopping = true;
    this.forwarder.stop(startedAt + gracePeriodMs * ANSWER_SHARE);
    const {openCount} = this.forwarder;
    this.log.event('processStopping', {inFlight: openCount});
    if (!this.isOpen) {
      this.close();
      return;
    }
    await sleep(
      Math.min(
        CLOSE_CONNECTIONS_DELAY_MS,
        gracePeriodMs * CLOSE_CONNECTIONS_SHARE,
      ),
    );
    const endsAt = startedAt + gracePeriodMs * DELIVERY_SHARE;
    await this.callerConnections?.drain(
      endsAt - performance.now(),
      MIN_IDLE_MS,
    );
    await this.rpcConnections?.drain(gracePeriodMs * RPC_DRAIN_SHARE);
    this.close();
  }

  /** Closes at once, also with requests in flight. */
  close(): void {
    this.ports.close();
    this.suspensionDetector.close();
    this.forwarder.close();
    this.shares.close();
    this.site.close();
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
    this.callerConnections?.close();
    this.rpcConnections?.close();
    this.connections.close();
    this.guard.close();
    this.views.close();
    this.rpc.close();
    this.store.close();
  }

  private answer(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    arrivedAt: number,
  ): void {
    this.suspensionDetector.check();
    this.forwarder.handle(req, res, arrivedAt).catch(err => {
      this.log.event('requestFault', {error: String((err as Error).stack)});
      closing.closeConnectionOf(res);
    });
  }

  private applyLimits(limits: CallerLimits): void {
    if (this.callerServer !== undefined) {
      this.callerServer.keepAliveTimeout = limits.idleTimeoutMs;
      this.callerServer.headersTimeout = limits.headerTimeoutMs;
    }
  }

  private onTargets(): void {
    this.views.pollNewGroups();
    const {lifetimes} = this.site.targets;
    this.balancer.retain(lifetime => lifetimes.has(lifetime));
  }

  private get rpcAddress(): string {
    return `${this.cfg.host}:${this.cfg.rpcPort}`;
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
