/**
 * Serves callers' requests: finds the route, checks the key, forwards the
 * request to a target and retries where the route allows it.
 */
import type * as http from 'node:http';
import type {SharedCapacity} from '../capacity/shared-capacity';
import type {CapacityShares, PoolSource} from '../capacity/types';
import type {CrashCoordinator} from '../crashes/crash-coordinator';
import type * as body from '../http/body';
import type {Result} from '../result';
import {Log} from '../observability/log';
import {Metrics} from '../observability/metrics';
import type {LastContact} from '../peers/last-contact';
import * as random from '../random';
import type {SiteSettings} from '../roles/site-settings';
import {CurrentConfiguration} from '../routes/current';
import * as tables from '../routes/table';
import type {ClientAccount, Route} from '../routes/types';
import {TargetConnections} from './target-connections';
import * as relayedRequest from './relayed-request';
import {RetryDetector} from './retry-detector';
import {Call} from './call';
import {LoadBalancer} from './load-balancer';
import {GroupGate} from './group-gate';
import {GroupViews} from './group-views';
import type {HeldBytes} from '../http/held-bytes';
import type {ExtraRetries} from './extra-retries';
import {PlainRelay} from './plain-relay';
import {ForwarderPools} from './pools';
import {QueuesReporter} from './queues-reporter';
import * as retryDelays from './retry-delays';
import {RetryBudget} from './retry-budget';
import {StopDeadline} from './stop-deadline';
import {StreamRelay} from './stream-relay';
import {TargetFinder} from './target-finder';
import {TargetList} from './target-list';
import * as types from './types';

/** Dependencies of request forwarding. */
export interface ForwarderContext {
  readonly cfg: SiteSettings;
  readonly wire: types.Wire;
  readonly configuration: CurrentConfiguration;
  readonly targets: TargetList;
  readonly balancer: LoadBalancer;
  readonly gate: GroupGate;
  readonly views: GroupViews;
  readonly reach: LastContact;
  readonly connections: TargetConnections;
  readonly crashes: CrashCoordinator;
  readonly shares: CapacityShares & Pick<SharedCapacity, 'lastStateOf'>;
  readonly extraRetries: ExtraRetries;
  readonly stopDeadline: StopDeadline;
  /** Bytes that this process holds for callers and targets. */
  readonly held: HeldBytes;
  /** Known entries of the site, including this one. */
  knownEntryCount(): number;
  /** Resolves once requests can be routed, or after `waitMs`. */
  whenRoutable(waitMs: number): Promise<void>;
  /** True if callers should connect to another entry. */
  isIsolated(): boolean;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Share of the revocation time during which keys are accepted without contact
 * to the store; the remainder covers the request's way to the target.
 */
const KEY_TRUST_SHARE = 0.85;
/**
 * Configuration age above which an unknown route or key may be a new one, so
 * that the caller is asked to retry.
 */
const STALE_CONFIGURATION_MS = 2_400;
const NO_CONFIGURATION_RETRY_MS = 500;
/**
 * Maximum wait of a request for a starting entry to become able to route. A
 * caller that is refused instead has used up an attempt and comes back later.
 */
const STARTUP_WAIT_MS = 350;
const DEFAULT_TIME_LEFT_MS = 60_000;
/** Interval of the checks during a stop of what can still be answered. */
const STOP_CHECK_INTERVAL_MS = 100;

export class Forwarder {
  /** This entry's demand of the pools that it uses. */
  readonly pools: PoolSource;
  /** Reports what waits. */
  readonly queues: QueuesReporter;
  private readonly budgets = new Map<string, RetryBudget>();
  private readonly plain: PlainRelay;
  private readonly streams: StreamRelay;
  private readonly finder: TargetFinder;
  private readonly retryDetector = new RetryDetector();
  /** Requests whose answer has not been delivered. */
  private readonly openCalls = new Set<Call>();
  private stopTimer: NodeJS.Timeout | undefined;

  constructor(private readonly context: ForwarderContext) {
    const budgetOf = (service: string) => this.budgetOf(service);
    const finder = new TargetFinder(context);
    this.finder = finder;
    this.pools = new ForwarderPools(context, finder.admission);
    this.queues = new QueuesReporter({...context, finder});
    this.plain = new PlainRelay(context, budgetOf, finder);
    this.streams = new StreamRelay(context, budgetOf, finder);
  }

  get openCount(): number {
    return this.openCalls.size;
  }

  /**
   * Begins a planned stop. From now on every response asks the caller to close
   * the connection, and requests that can't be answered by `endsAt`, a monotonic
   * time in milliseconds, are refused.
   */
  stop(endsAt: number): void {
    this.context.stopDeadline.set(endsAt, performance.now());
    this.noteUnderWay();
    this.stopTimer ??= setInterval(
      () => this.giveUpLateCalls(),
      STOP_CHECK_INTERVAL_MS,
    );
  }

  /** Tries the waiting requests again: this entry's shares of pools changed. */
  noteSharesChanged(): void {
    this.finder.admission.wake();
  }

  /** Call after a suspension of this instance. */
  noteSuspension(suspendedMs: number): void {
    this.finder.admission.noteSuspension(suspendedMs);
    this.budgets.forEach(budget => budget.age(suspendedMs));
  }

  /** Gives up the waiting requests. */
  close(): void {
    clearInterval(this.stopTimer);
    this.openCalls.forEach(call => call.noteCutAtClose());
    this.finder.close();
    this.budgets.forEach(budget => budget.close());
  }

  /**
   * Serves one request; resolves when its answer was handed over. `arrivedAt`:
   * monotonic time in milliseconds.
   */
  async handle(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    arrivedAt: number,
  ): Promise<void> {
    const call = new Call(
      req,
      res,
      this.context,
      () => this.shouldCloseConnections(),
      arrivedAt,
    );
    this.openCalls.add(call);
    res.once('close', () => this.noteClosed(call));
    try {
      await this.serve(call);
    } catch (err) {
      call.refuseAfterFault();
      throw err;
    } finally {
      call.close();
    }
  }

  /** Refuses or breaks off what can't be answered before the stop ends. */
  private giveUpLateCalls(): void {
    this.noteUnderWay();
    const isEnded = this.context.stopDeadline.leftMs(performance.now()) <= 0;
    for (const call of this.openCalls) {
      if (isEnded || (!call.isBeingServed && call.isTooLate)) {
        call.giveUp();
      }
    }
  }

  /** What is still being answered shows how long its route's answers take. */
  private noteUnderWay(): void {
    const now = performance.now();
    for (const {route, underWayMs} of this.openCalls) {
      if (route !== undefined && underWayMs !== undefined) {
        this.context.stopDeadline.noteUnderWay(route.name, underWayMs, now);
      }
    }
  }

  private noteClosed(call: Call): void {
    this.openCalls.delete(call);
    const {route, servedMs} = call;
    if (route !== undefined && servedMs !== undefined) {
      const now = performance.now();
      this.context.stopDeadline.note(route.name, servedMs, now);
    }
  }

  private async serve(call: Call): Promise<void> {
    const head = this.context.wire.readRequest(call.req);
    if (head === undefined) {
      call.refuse({
        kind: 'bad-request',
        detail: 'the request has no request id or no Host header',
      });
      return;
    }
    call.head = head;
    await this.context.whenRoutable(STARTUP_WAIT_MS);
    const resolved = this.resolveRoute(call, head);
    if (resolved === undefined) {
      return;
    }
    const timeLeftMs = head.timeLeftMs ?? DEFAULT_TIME_LEFT_MS;
    call.setRoute(
      resolved.route,
      resolved.account?.name,
      Math.min(timeLeftMs, resolved.route.timeoutMs),
    );
    call.isLikelyRetry =
      head.timeLeftMs !== undefined &&
      this.retryDetector.isLikelyRetry(
        resolved.route.name,
        head.timeLeftMs,
        resolved.route.timeoutMs,
      );
    if (call.isTooLate) {
      call.refuse(this.finder.refusals.stopping(call));
      return;
    }
    const read = await this.readBody(call);
    if (!read.ok) {
      this.refuseUnread(call, read.error);
      return;
    }
    const service = tables.pickService(resolved.route, random.uniform());
    const request = {
      head,
      body: hasBody(call.req) ? read.value : undefined,
      route: resolved.route,
      service,
      account: resolved.account,
    };
    call.tracked = this.context.crashes.track({
      id: head.id,
      service,
      sharedParts: head.sharedParts ?? [],
      makeDigest: () => relayedRequest.digestOf(request),
    });
    this.budgetOf(service).noteRequest(performance.now());
    const relay = resolved.route.kind === 'stream' ? this.streams : this.plain;
    await relay.relay(call, request);
  }

  /** Reads the body until the request's deadline. */
  private async readBody(call: Call): Promise<Result<Buffer, body.BodyError>> {
    const {heldBody, req} = call;
    const {configuration} = this.context;
    // A new configuration may lower the limit while the body is read.
    const limit = () => configuration.table!.snapshot.limits.bodyBytes;
    if (req.complete) {
      return heldBody.read(req, limit);
    }
    const timer = setTimeout(
      () => heldBody.stopUpload(),
      Math.max(call.timeLeftMs, 0),
    );
    const read = await heldBody.read(req, limit);
    clearTimeout(timer);
    return read;
  }

  /** Refuses a request whose body was not read to its end. */
  private refuseUnread(call: Call, err: body.BodyError): void {
    if (err.kind === 'body-too-large') {
      call.refuse({kind: 'too-large', limitBytes: err.limitBytes});
    } else if (call.isGivenUp) {
      call.refuse(this.finder.refusals.stopping(call));
    } else if (call.timeLeftMs <= 0) {
      call.refuse({kind: 'upload-timed-out'});
    } else if (err.kind === 'body-too-slow') {
      const retryMs = retryDelays.afterFull(call.callerTimeLeftMs);
      call.refuse({kind: 'not-run', why: 'slow-upload', retryMs});
    }
  }

  /** Finds route and client account; undefined if the request was refused. */
  private resolveRoute(
    call: Call,
    head: types.RequestHead,
  ): {route: Route; account: ClientAccount | undefined} | undefined {
    const {configuration, cfg} = this.context;
    const {table} = configuration;
    const retryMs = NO_CONFIGURATION_RETRY_MS;
    if (table === undefined) {
      call.refuse({kind: 'not-run', why: 'no-configuration', retryMs});
      return undefined;
    }
    const ageMs = configuration.ageMs(performance.now());
    const stale: types.Refusal = {
      kind: 'not-run',
      why: 'stale-configuration',
      retryMs,
    };
    const route = table.findRoute(head.host, head.path);
    if (route === undefined) {
      call.refuse(ageMs > STALE_CONFIGURATION_MS ? stale : {kind: 'no-route'});
      return undefined;
    }
    if (!table.needsKey(route)) {
      return {route, account: undefined};
    }
    const trustedMs = cfg.isRevocationStrict
      ? cfg.revocationMs * KEY_TRUST_SHARE
      : Infinity;
    if (ageMs > trustedMs) {
      call.refuse(stale);
      return undefined;
    }
    const account =
      head.key === undefined ? undefined : table.findAccount(head.key);
    if (account === undefined) {
      call.refuse(
        ageMs > STALE_CONFIGURATION_MS ? stale : {kind: 'unknown-key'},
      );
      return undefined;
    }
    return {route, account};
  }

  private shouldCloseConnections(): boolean {
    return this.context.stopDeadline.isSet || this.context.isIsolated();
  }

  private budgetOf(service: string): RetryBudget {
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      budget = new RetryBudget(
        () => this.context.cfg.retryBudget,
        service,
        this.context.extraRetries,
      );
      this.budgets.set(service, budget);
    }
    return budget;
  }
}

function hasBody(req: http.IncomingMessage): boolean {
  return (
    req.headers['content-length'] !== undefined ||
    req.headers['transfer-encoding'] !== undefined
  );
}
