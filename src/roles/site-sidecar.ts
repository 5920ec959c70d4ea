/** The sidecar of a site: represents the rank that runs beside it. */
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as expertsApp from '../experts/app';
import {GroupMember} from '../experts/group-member';
import {RankAgent} from '../experts/rank-agent';
import {BranchHead} from '../experts/branch';
import {MapCache} from '../experts/map-cache';
import * as packing from '../experts/packing';
import type {Engine} from '../experts/types';
import type {Log} from '../observability/log';
import {Metrics} from '../observability/metrics';
import type {ObjectApi} from '../platform/client';
import {RpcClient} from '../rpc/client';
import {RpcServer} from '../rpc/server';
import {NO_STAMPS} from '../rpc/types';
import {DEFAULT_LIMITS} from '../http/connection-limits';
import type {ConnectionTracker} from '../http/connection-tracker';
import {PortWait} from '../http/port-wait';
import {ProcessGuard} from '../http/process-guard';
import {serveMetrics} from './metrics-endpoint';
import {serveRpc} from './rpc-endpoint';
import type {SiteDocuments} from './site-documents';
import type {SiteSettings} from './site-settings';

/** Maximum wait for a change, and then for calls, as shares of the grace period. */
const WAIT_SHARE = 0.45;

export class SiteSidecar {
  private readonly rpcServer: RpcServer;
  private readonly agent: RankAgent;
  private readonly engine: Engine;
  private readonly maps = new MapCache();
  private readonly rpcClient = new RpcClient();
  private readonly metrics = new Metrics();
  private readonly member: GroupMember | undefined;
  private readonly guard: ProcessGuard;
  private readonly ports: PortWait;
  private metricsServer: http.Server | undefined;
  private rpcConnections: ConnectionTracker | undefined;

  constructor(
    private readonly cfg: SiteSettings,
    documents: SiteDocuments,
    private readonly store: ObjectApi,
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
    this.rpcServer = new RpcServer(log, NO_STAMPS, this.guard.held);
    this.engine = documents.makeEngine(cfg.targetAddress ?? '');
    this.agent = new RankAgent(
      this.engine,
      target => documents.makeEngine(target),
      log,
    );
    if (cfg.targetService !== undefined) {
      this.member = new GroupMember({
        id: cfg.id,
        life: crypto.randomUUID(),
        service: cfg.targetService,
        rpcPort: cfg.rpcPort,
        engine: this.engine,
        agent: this.agent,
        documents,
        store,
        rpc: this.rpcClient,
        log,
        metrics: this.metrics,
      });
    }
  }

  async open(): Promise<void> {
    const {agent, maps, rpcClient} = this;
    const head = new BranchHead(agent, maps, rpcClient);
    this.rpcServer.handle(expertsApp.read, async call => {
      const {ranks, growth} = await head.read(call);
      return {ranks: [...ranks], growth: growth && packing.packGrowth(growth)};
    });
    this.rpcServer.handle(expertsApp.order, async ({term, order, members}) => ({
      results: await head.order(term, order, members),
    }));
    this.rpcServer.handle(expertsApp.orderOther, async call => {
      const order = expertsApp.orderFromWire(call.order, maps);
      return {
        result:
          typeof order === 'string'
            ? 'refused'
            : await agent.orderOther(call.term, call, order),
      };
    });
    this.rpcServer.handle(
      expertsApp.orderOthers,
      async ({term, targets, order}) => {
        const read = expertsApp.orderFromWire(order, maps);
        return {
          results:
            typeof read === 'string'
              ? targets.map(() => 'refused' as const)
              : await agent.orderOthers(term, targets, read),
        };
      },
    );
    this.rpcServer.handle(expertsApp.view, async ({waitMs}) => {
      await this.agent.waitForChange(waitMs);
      return {known: this.agent.groupView, seen: this.agent.groupStatus};
    });
    this.rpcServer.handle(expertsApp.hearing, () => ({
      isPlannerHeard: this.agent.isPlannerHeard,
    }));
    const {host, rpcPort, metricsPort} = this.cfg;
    const rpc = await serveRpc(
      `${host}:${rpcPort}`,
      this.rpcServer,
      this.log,
      // A sidecar has no port for callers.
      this.guard.forServer('rpc', ['rpc', 'callers']),
      this.ports,
    );
    this.rpcConnections = rpc.connections;
    this.metricsServer = serveMetrics(
      `${host}:${metricsPort}`,
      this.metrics,
      this.guard.forServer('metrics'),
      this.ports,
    );
    void this.member?.run();
    this.log.event('processReady', {id: this.cfg.id, hall: this.cfg.hall});
  }

  /** Only logs: a sidecar keeps the settings that it started with. */
  reload(): void {
    this.log.event('settingsReloaded', {id: this.cfg.id});
  }

  /**
   * Planned stop: finishes a change of the map that it plans, and the calls that it
   * has taken, which hold orders for other ranks, then closes.
   */
  async stop(): Promise<void> {
    const {rpcConnections, cfg} = this;
    const waitMs = cfg.gracePeriodMs * WAIT_SHARE;
    const inFlight = rpcConnections?.openCount ?? 0;
    this.log.event('processStopping', {inFlight});
    this.ports.close();
    await Promise.race([
      this.member?.close(),
      timers.setTimeout(waitMs, undefined, {ref: false}),
    ]);
    this.agent.endWaits();
    await rpcConnections?.drain(waitMs);
    rpcConnections?.close();
    this.metricsServer?.close();
    this.metricsServer?.closeAllConnections();
    this.guard.close();
    this.rpcClient.close();
    this.engine.close();
    this.agent.close();
    this.store.close();
  }
}
