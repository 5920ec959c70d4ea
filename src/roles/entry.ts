/** The entry: the process that takes callers' requests. */
import type * as http from 'node:http';
import {Subscription} from 'rxjs';
import * as claims from '../claims/owner-directory';
import {Follower} from '../configuration/follower';
import * as httpClient from '../http/client';
import * as memoryLimit from '../http/memory-limit';
import {PortWait} from '../http/port-wait';
import {ProcessGuard} from '../http/process-guard';
import * as httpServer from '../http/server';
import {Log} from '../observability/log';
import {Metrics} from '../observability/metrics';
import {HttpObjectApi} from '../platform/client';
import type {Instance} from '../platform/types';
import type {EntryContext} from '../requests/entry-context';
import {EntryHandler} from '../requests/entry-handler';
import * as journal from '../requests/journal';
import {AccountLimits} from '../requests/limits';
import * as refusals from '../requests/refusals';
import {RetryBudget} from '../routing/retry-budget';
import {ScoredPolicy} from '../routing/policy';
import {PrefixIndex} from '../routing/prefix-index';
import * as score from '../routing/score';
import {RpcClient} from '../rpc/client';
import {RpcServer} from '../rpc/server';
import * as targetsApp from '../targets/app';
import {TargetDirectory} from '../targets/directory';
import {ReportPoller} from '../targets/poller';
import {answerProcessPath} from './process-endpoints';
import type {EntrySettings} from './settings';
import {MAX_DRAIN_MS, waitUntilIdle} from './wait-until-idle';

const DEFAULT_SUBSET_SIZE = 24;
const DEFAULT_RETRY_SHARE = 0.1;
const STARTUP_RETRY_AFTER_MS = 1_000;

export class Entry {
  private readonly guard: ProcessGuard;
  private readonly store: HttpObjectApi;
  private readonly rpc: RpcClient;
  private readonly rpcServer: RpcServer;
  private readonly follower: Follower;
  private readonly targets: TargetDirectory;
  private readonly poller: ReportPoller;
  private readonly agent: http.Agent = httpClient.makeAgent();
  private readonly metrics = new Metrics();
  private readonly context: EntryContext;
  private readonly handler: EntryHandler;
  private readonly subscriptions = new Subscription();
  private listener: httpServer.Listener | undefined;
  private ready = false;
  private stopping = false;

  constructor(
    private readonly cfg: EntrySettings,
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
    this.targets = new TargetDirectory(cfg.id, () => this.subsetSize());
    this.poller = new ReportPoller(this.targets, this.rpc);
    this.context = this.makeContext();
    this.handler = new EntryHandler(
      this.context,
      new AccountLimits(() => this.shareOfLimits()),
    );
    this.registerHandlers();
  }

  /** Address at which this entry listens. */
  get address(): string {
    return this.listener?.address ?? this.cfg.listen;
  }

  /** Listens, catches up on the configuration, and becomes ready. */
  async open(): Promise<string> {
    this.listener = await httpServer.listen(
      this.cfg.listen,
      (req, res) => this.answer(req, res),
      err => this.log.event('requestFault', {error: String(err)}),
      this.guard.forServer('callers'),
      new PortWait(this.log),
    );
    this.subscriptions.add(
      this.follower.instanceLists.subscribe(list => this.onInstances(list)),
    );
    void this.follower.start().then(() => this.becomeReady());
    return this.address;
  }

  async whenReady(): Promise<void> {
    await this.follower.start();
  }

  /** Resolves when this many targets have reported. */
  async whenTargetsKnown(count: number): Promise<void> {
    const POLL_MS = 20;
    while (this.targets.all().length < count) {
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  }

  /** Planned stop: finishes the requests in flight, then closes. */
  async stop(): Promise<void> {
    this.stopping = true;
    this.log.event('processStopping', {inFlight: this.handler.openCount});
    // New requests are still served: callers are moved away by the readiness
    // check, and a refusal would cost them a retry.
    await waitUntilIdle(() => this.handler.openCount, this.cfg.stopPatienceMs);
    await this.listener?.drain(MAX_DRAIN_MS);
    await this.close();
  }

  /** Closes at once, also with requests in flight. */
  async close(): Promise<void> {
    this.ready = false;
    this.subscriptions.unsubscribe();
    this.poller.close();
    this.follower.close();
    await this.listener?.close();
    this.agent.destroy();
    this.guard.close();
    this.rpc.close();
    this.store.close();
  }

  private makeContext(): EntryContext {
    const {cfg, follower, targets, rpc, agent, log, metrics} = this;
    const directory = new claims.OwnerDirectory(rpc, service =>
      targets.forService(service).map(target => target.address),
    );
    return {
      id: cfg.id,
      hall: cfg.hall,
      address: () => this.address,
      follower,
      targets,
      owners: directory,
      policy: new ScoredPolicy(() => this.scoreSettings()),
      prefixes: new PrefixIndex(),
      budget: new RetryBudget(() => this.retryShare()),
      rpc,
      agent,
      log,
      metrics,
      journal: new journal.Journal(),
      held: this.guard.held,
    };
  }

  private registerHandlers(): void {
    this.follower.registerHandlers(this.rpcServer);
    this.rpcServer.handle(journal.explain, params => ({
      entry: this.context.journal.find(params.request),
    }));
    this.rpcServer.handle(targetsApp.leaving, params => {
      this.targets.markLeaving(params.id);
      this.log.event('targetLeaving', {target: params.id, by: 'sidecar'});
      return {};
    });
  }

  private async answer(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const isProcessPath = await answerProcessPath(
      {
        rpc: this.rpcServer,
        metrics: this.metrics,
        isReady: () => this.ready && !this.stopping,
      },
      req,
      res,
    );
    if (isProcessPath) {
      return;
    }
    if (!this.ready) {
      const detail = 'this entry has no configuration yet';
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
    if (this.stopping) {
      // Closes keep-alive connections after their current response.
      res.setHeader('connection', 'close');
    }
    await this.handler.handle(req, res);
  }

  private becomeReady(): void {
    this.ready = true;
    this.log.event('processReady', {id: this.cfg.id, address: this.address});
  }

  private onInstances(instances: readonly Instance[]): void {
    this.targets.applyInstances(instances);
    this.poller.pollNow();
  }

  private subsetSize(): number {
    const [template] = this.follower.replica.allTemplates();
    return template?.routing.subset ?? DEFAULT_SUBSET_SIZE;
  }

  private retryShare(): number {
    const [template] = this.follower.replica.allTemplates();
    return template?.routing.retryShare ?? DEFAULT_RETRY_SHARE;
  }

  private scoreSettings(): score.ScoreSettings {
    const [template] = this.follower.replica.allTemplates();
    const hallMs = template?.routing.hallMs ?? score.DEFAULT_SCORE.hallMs;
    return {...score.DEFAULT_SCORE, hallMs};
  }

  private shareOfLimits(): number {
    const entries = this.follower.instances.filter(
      instance => instance.role === 'entry' && instance.state === 'live',
    );
    return 1 / Math.max(entries.length, 1);
  }
}
