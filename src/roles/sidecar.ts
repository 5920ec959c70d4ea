/** The sidecar: the process beside one target. */
import {randomUUID} from 'node:crypto';
import * as fs from 'node:fs';
import type * as http from 'node:http';
import {Subscription} from 'rxjs';
import * as claimsApp from '../claims/app';
import * as handover from '../claims/handover';
import {SlotManager} from '../claims/slot-manager';
import * as keys from '../claims/keys';
import {KeyedRuns} from '../claims/keyed-runs';
import type {Owner} from '../claims/types';
import {SteadyClock} from '../clock';
import {Follower} from '../configuration/follower';
import type {Service} from '../configuration/types';
import {HttpEngineClient} from '../groups/engine-client';
import {RankService} from '../groups/rank-service';
import * as body from '../http/body';
import * as httpClient from '../http/client';
import * as memoryLimit from '../http/memory-limit';
import {PortWait} from '../http/port-wait';
import {ProcessGuard} from '../http/process-guard';
import * as httpServer from '../http/server';
import {Log} from '../observability/log';
import {Metrics} from '../observability/metrics';
import {HttpObjectApi} from '../platform/client';
import {Admission} from '../requests/admission';
import * as chatRequest from '../requests/chat-request';
import * as headers from '../requests/headers';
import * as refusals from '../requests/refusals';
import {SidecarChat} from '../requests/sidecar-chat';
import type {
  IncomingRequest,
  SidecarContext,
} from '../requests/sidecar-context';
import {SidecarService} from '../requests/sidecar-service';
import {RpcClient} from '../rpc/client';
import {RpcServer} from '../rpc/server';
import * as rpcTypes from '../rpc/types';
import * as targetsApp from '../targets/app';
import {RecentCallers} from '../targets/callers';
import {EngineProbe} from '../targets/probe';
import * as targets from '../targets/types';
import {answerProcessPath} from './process-endpoints';
import type {SidecarSettings} from './settings';
import {MAX_DRAIN_MS, waitUntilIdle} from './wait-until-idle';

const BOOT_ID_FILE = '/proc/sys/kernel/random/boot_id';
const DEFAULT_TIMEOUT_MS = 30_000;
const EVICTION_INTERVAL_MS = 10_000;
const MAX_HANDOVER_ROUNDS = 3;
const HANDOVER_RETRY_INTERVAL_MS = 500;
const STARTUP_RETRY_AFTER_MS = 1_000;
const DEFAULT_SERVICE: Service = {
  repeatable: [],
  timeoutMs: DEFAULT_TIMEOUT_MS,
  slots: 1,
  termMs: 600_000,
  retentionMs: 3_600_000,
  maxLeadMs: 5_000,
};

export class Sidecar {
  private readonly guard: ProcessGuard;
  private readonly store: HttpObjectApi;
  private readonly rpc: RpcClient;
  private readonly rpcServer: RpcServer;
  private readonly follower: Follower;
  private readonly agent: http.Agent = httpClient.makeAgent();
  private readonly metrics = new Metrics();
  private readonly clock = new SteadyClock();
  private readonly admission: Admission;
  private readonly callers = new RecentCallers();
  private readonly context: SidecarContext;
  private readonly chat: SidecarChat;
  private readonly subscriptions = new Subscription();
  private probe: EngineProbe | undefined;
  private rankService: RankService | undefined;
  private slotManager: SlotManager | undefined;
  private runs: KeyedRuns | undefined;
  private service: SidecarService | undefined;
  private evictionTimer: NodeJS.Timeout | undefined;
  private listener: httpServer.Listener | undefined;
  private openCount = 0;
  private ready = false;
  private leaving = false;

  constructor(
    private readonly cfg: SidecarSettings,
    private readonly log: Log,
  ) {
    this.guard = new ProcessGuard({
      log,
      metrics: this.metrics,
      memoryBytes: memoryLimit.bytesOf(cfg.memoryMb),
      descriptors: undefined,
      limits: cfg,
    });
    this.store = new HttpObjectApi(cfg.platform);
    this.follower = new Follower(cfg, this.store, log, () => this.rpc);
    const stamps = this.follower.stampExchange;
    this.rpc = new RpcClient(stamps, () => this.address);
    this.rpcServer = new RpcServer(log, stamps, this.guard.held);
    this.admission = new Admission(() => ({
      capacity: this.probe?.rank?.maxRunning ?? cfg.capacity,
      maxQueued: cfg.maxQueued,
    }));
    this.context = this.makeContext();
    this.chat = new SidecarChat(this.context);
    this.follower.registerHandlers(this.rpcServer);
    this.rpcServer.handle(targetsApp.report, (_params, peer) => {
      this.callers.note(peer.address, Date.now());
      return this.report();
    });
  }

  /** Address at which this sidecar listens. */
  get address(): string {
    return this.listener?.address ?? this.cfg.listen;
  }

  /**
   * Listens first: holding the address proves that the previous process has
   * ended. Then it catches up on the configuration and becomes ready.
   */
  async open(): Promise<string> {
    this.listener = await httpServer.listen(
      this.cfg.listen,
      (req, res) => this.answer(req, res),
      err => this.log.event('requestFault', {error: String(err)}),
      this.guard.forServer('rpc'),
      new PortWait(this.log),
    );
    if (this.serves.kind === 'model') {
      this.openEngine();
    }
    this.subscriptions.add(
      this.follower.instanceLists.subscribe(() => this.onInstances()),
    );
    void this.follower.start().then(() => this.becomeReady());
    return this.address;
  }

  /**
   * Planned stop: takes no new work, hands its slots over, finishes what runs,
   * then closes.
   */
  async stop(): Promise<void> {
    this.log.event('processStopping', {inFlight: this.openCount});
    this.leave('stop');
    await this.handOver();
    await waitUntilIdle(() => this.busyCount, this.cfg.stopPatienceMs);
    await this.listener?.drain(MAX_DRAIN_MS);
    await this.close();
  }

  /** Closes at once, also with requests in flight. */
  async close(): Promise<void> {
    this.ready = false;
    clearTimeout(this.evictionTimer);
    this.subscriptions.unsubscribe();
    this.probe?.close();
    this.rankService?.close();
    this.chat.close();
    await this.slotManager?.close();
    this.follower.close();
    await this.listener?.close();
    this.agent.destroy();
    this.guard.close();
    this.rpc.close();
    this.store.close();
  }

  private get busyCount(): number {
    return (
      this.openCount + this.chat.openCount + (this.runs?.runningCount ?? 0)
    );
  }

  private get serves(): targets.Serves {
    const {serves, group, rank} = this.cfg;
    const name = serves.slice(serves.indexOf('/') + 1);
    return serves.startsWith('model/')
      ? {kind: 'model', name, group, rank}
      : {kind: 'service', name};
  }

  private makeContext(): SidecarContext {
    const {cfg, follower, admission, agent, log, metrics} = this;
    return {
      targetId: cfg.id,
      targetAddress: cfg.target,
      serves: this.serves,
      follower,
      admission,
      agent,
      log,
      metrics,
      held: this.guard.held,
      isLeaving: () => this.leaving,
      load: () => this.load(),
    };
  }

  private openEngine(): void {
    const probe = new EngineProbe(this.agent, this.cfg.target, this.log, rank =>
      this.rankService?.noteReading(rank),
    );
    this.probe = probe;
    if (this.cfg.group !== '') {
      this.openRank(probe);
    }
    probe.start();
  }

  private openRank(probe: EngineProbe): void {
    const {id, group, rank, target} = this.cfg;
    const engine = new HttpEngineClient(this.agent, target, () =>
      probe.fetchRank(),
    );
    const service = new RankService(
      {id, group, rank, model: this.serves.name, incarnation: randomUUID()},
      engine,
      this.follower,
      this.store,
      this.rpc,
      this.log,
      this.metrics,
      () => this.leaving,
    );
    this.rankService = service;
    service.registerHandlers(this.rpcServer);
    service.start();
  }

  private becomeReady(): void {
    if (this.serves.kind === 'service') {
      this.openClaims();
    }
    this.ready = true;
    this.log.event('processReady', {id: this.cfg.id, address: this.address});
  }

  private openClaims(): void {
    const service = this.serves.name;
    const settings = () =>
      this.follower.replica.service(service) ?? DEFAULT_SERVICE;
    const slotManager = new SlotManager(
      () => ({service, ...settings()}),
      this.identity(settings().maxLeadMs),
      this.clock,
      this.store,
      this.log,
      () => this.liveTargetIds(),
    );
    const runs = new KeyedRuns(
      slotManager,
      this.clock,
      () => settings().slots,
      () => settings().retentionMs,
      this.cfg.maxAnswerBytes,
    );
    this.slotManager = slotManager;
    this.runs = runs;
    this.service = new SidecarService(this.context, runs, settings);
    this.registerClaimHandlers(service, slotManager, runs);
    slotManager.triggerUpkeep();
    this.evictionTimer = setInterval(
      () => runs.evictExpired(),
      EVICTION_INTERVAL_MS,
    );
  }

  private registerClaimHandlers(
    service: string,
    slotManager: SlotManager,
    runs: KeyedRuns,
  ): void {
    handover.serveHandover(
      this.rpcServer,
      service,
      slotManager,
      runs,
      () => !this.leaving,
    );
    this.rpcServer.handle(claimsApp.table, () => ({
      cells: slotManager.listCells(),
    }));
    this.rpcServer.handle(claimsApp.burn, params => {
      const key = keys.parseKey(params.key);
      const isOwn = params.service === service && key !== undefined;
      return {state: isOwn ? runs.burn(params.account, key) : 'not-owner'};
    });
  }

  private identity(leadMs: number): Owner {
    return {
      incarnation: randomUUID(),
      targetId: this.cfg.id,
      address: this.address,
      bootId: this.cfg.bootId || readBootId(),
      anchor: this.clock.anchor,
      leadMs,
    };
  }

  private liveTargetIds(): string[] {
    const live = this.follower.instances.filter(
      instance =>
        instance.serves === this.cfg.serves && instance.state === 'live',
    );
    const ids = new Set(live.map(instance => instance.id));
    if (this.leaving) {
      ids.delete(this.cfg.id);
    } else {
      ids.add(this.cfg.id);
    }
    return [...ids];
  }

  private onInstances(): void {
    const own = this.follower.instances.find(i => i.id === this.cfg.id);
    if (own?.state === 'leaving' && !this.leaving) {
      this.leave('platform list');
      void this.handOver();
    }
    this.slotManager?.triggerUpkeep();
  }

  private leave(by: string): void {
    if (this.leaving) {
      return;
    }
    this.leaving = true;
    this.log.event('targetLeaving', {target: this.cfg.id, by});
    for (const address of this.callers.recent(Date.now())) {
      void this.rpc.call(address, targetsApp.leaving, {id: this.cfg.id});
    }
  }

  private async handOver(): Promise<void> {
    const {slotManager, runs} = this;
    if (slotManager === undefined || runs === undefined) {
      return;
    }
    const service = this.serves.name;
    for (let round = 0; round < MAX_HANDOVER_ROUNDS; round += 1) {
      const slots = this.follower.replica.service(service)?.slots ?? 1;
      const successors = this.follower.instances.filter(
        i =>
          i.serves === this.cfg.serves &&
          i.state === 'live' &&
          i.id !== this.cfg.id,
      );
      await handover.handOverAll(
        slotManager,
        runs,
        service,
        slots,
        successors.map(successor => successor.address),
        this.rpc,
        this.log,
      );
      if (slotManager.ownSlots().length === 0) {
        return;
      }
      await new Promise(resolve =>
        setTimeout(resolve, HANDOVER_RETRY_INTERVAL_MS),
      );
    }
  }

  private report(): targets.TargetReport {
    const isUnreachable = this.probe?.isReachable === false;
    const liveState = isUnreachable ? 'unreachable' : 'live';
    return {
      id: this.cfg.id,
      hall: this.cfg.hall,
      address: this.address,
      serves: this.serves,
      state: this.leaving ? 'leaving' : liveState,
      load: this.load(),
    };
  }

  private load(): targets.Load {
    const rank = this.probe?.rank;
    return {
      running: this.admission.runningCount,
      capacity: rank?.maxRunning ?? this.cfg.capacity,
      queued: this.admission.queuedCount,
      waitMs: this.admission.expectedWaitMs,
      prefillTokens: rank?.prefillTokens ?? 0,
      stepMs: rank?.stepMs ?? 0,
      rankMs: rank?.rankMs ?? 0,
    };
  }

  private async answer(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const endpoints = {
      rpc: this.rpcServer,
      metrics: this.metrics,
      isReady: () => this.ready && !this.leaving,
    };
    if (await answerProcessPath(endpoints, req, res)) {
      return;
    }
    if (!this.ready) {
      const detail = 'this sidecar has no configuration yet';
      const refusal = refusals.notRun(
        'no-target',
        detail,
        STARTUP_RETRY_AFTER_MS,
      );
      refusals.sendRefusal(
        res,
        refusals.withUnconfirmedOutcome(req, refusal),
        '',
      );
      return;
    }
    this.openCount += 1;
    res.once('close', () => {
      this.openCount -= 1;
    });
    await this.answerData(req, res);
  }

  private async answerData(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const stamp = body.headerOf(req, rpcTypes.STAMP_HEADER);
    const peer = body.headerOf(req, rpcTypes.PEER_HEADER) ?? '';
    this.callers.note(peer, Date.now());
    if (stamp !== undefined) {
      await this.follower.catchUp(stamp, peer);
    }
    res.setHeader(
      rpcTypes.STAMP_HEADER,
      this.follower.stampExchange.ownStamp(),
    );
    const incoming = this.readIncoming(req, res);
    const url = new URL(req.url ?? '/', 'http://sidecar');
    if (url.pathname.startsWith(chatRequest.STREAMS_PATH)) {
      await this.answerStream(incoming, url);
    } else if (url.pathname === chatRequest.CHAT_PATH && this.probe) {
      await this.chat.run(incoming);
    } else {
      await this.answerService(incoming, req.url ?? '/');
    }
  }

  private async answerStream(
    incoming: IncomingRequest,
    url: URL,
  ): Promise<void> {
    const request = url.pathname.slice(chatRequest.STREAMS_PATH.length);
    if (incoming.req.method === 'DELETE') {
      await this.chat.cancel(incoming, request);
      return;
    }
    const after = Number(url.searchParams.get('after') ?? 0);
    await this.chat.resume(incoming, request, after);
  }

  private async answerService(
    incoming: IncomingRequest,
    url: string,
  ): Promise<void> {
    const prefix = `/${this.serves.name}/`;
    if (this.service === undefined || !url.startsWith(prefix)) {
      incoming.req.resume();
      const refusal = refusals.notRun('not-found', `no resource at ${url}`);
      const answer = refusals.withUnconfirmedOutcome(incoming.req, refusal);
      refusals.sendRefusal(incoming.res, answer, incoming.id);
      return;
    }
    await this.service.run(incoming, url.slice(prefix.length - 1));
  }

  private readIncoming(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): IncomingRequest {
    const account = body.headerOf(req, headers.ACCOUNT_HEADER) ?? '';
    const timeoutText = body.headerOf(req, headers.TIMEOUT_HEADER);
    const timeoutMs =
      headers.parseTimeoutMs(timeoutText, DEFAULT_TIMEOUT_MS * 20) ?? 0;
    const rendered = this.follower.replica.account(account);
    return {
      req,
      res,
      id: body.headerOf(req, refusals.REQUEST_HEADER) ?? '',
      account,
      weight: rendered?.parameters.weight ?? 1,
      priority: this.priorityOf(account),
      isReservedRetry:
        body.headerOf(req, headers.RETURN_HEADER) === this.cfg.id,
      deadlineAt: Date.now() + timeoutMs,
    };
  }

  private priorityOf(account: string): number {
    const template = this.follower.replica.account(account)?.template;
    const model = template?.models[this.serves.name];
    return model === undefined
      ? 0
      : (template?.classes[model.class]?.priority ?? 0);
  }
}

function readBootId(): string {
  try {
    return fs.readFileSync(BOOT_ID_FILE, 'utf8').trim();
  } catch {
    // A random id never matches, so no predecessor counts as dead by its boot.
    return randomUUID();
  }
}
