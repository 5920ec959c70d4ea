/**
 * Finds and quarantines requests that crash targets, together with peers. One entry
 * arbitrates each request, chosen by its digest: it collects crashes and successes
 * from all entries and notifies them of a quarantine. A popular request may be in
 * flight at several targets that crash for another reason, so a success ends the
 * quarantine, and the arbiter grants a trial now and then. Without crashes there are
 * no calls and no digests.
 */
import type {Target} from '../forwarding/types';
import * as grouping from '../grouping';
import type {Log} from '../observability/log';
import type {PeerRanking} from '../peers/peer-ranking';
import {ok} from '../result';
import type {RpcClient} from '../rpc/client';
import type {RpcServer} from '../rpc/server';
import * as app from './app';
import * as crashCheck from './crash-check';
import {
  FIRST_TRIAL_MS,
  QUARANTINE_MS,
  Quarantine,
  QuarantineNotice,
} from './quarantine';
import {SuspectTracker} from './suspect-tracker';
import {TrialSchedule} from './trial-schedule';

/** Allows for a round trip and one lost packet. */
const RPC_TIMEOUT_MS = 400;
/** Attempts to notify one peer. */
const MAX_ATTEMPTS = 3;
/** Losses on one lifetime within this time count as one crash. */
const CRASH_WINDOW_MS = 1_000;
/** Lost requests of a crash that are logged. */
const MAX_LOGGED_REQUESTS = 8;
/** Minimum time between reports that a suspect was served. */
const SERVED_REPORT_INTERVAL_MS = 1_000;

export interface CrashContext {
  readonly rpc: RpcClient;
  readonly peers: PeerRanking;
  readonly log: Log;
}

/** A request whose connection was lost. */
export interface LostRequest {
  readonly id: string;
  readonly digest: string;
  /** Ids of the prompt's parts that other requests may share. */
  readonly sharedParts: readonly string[];
}

/** Requests that were in flight to one lifetime when a connection was lost. */
interface LostRequests {
  readonly requests: LostRequest[];
  readonly at: number;
  isCrash: boolean;
}

export class CrashCoordinator {
  /** Suspects that this entry arbitrates. */
  private readonly arbitratedSuspects = new SuspectTracker();
  /** Suspects among the requests that this entry sent. */
  private readonly localSuspects = new SuspectTracker();
  private readonly servedReportedAt = new Map<string, number>();
  private readonly quarantine = new Quarantine();
  /** Trials of the requests that this entry arbitrates. */
  private readonly trials = new TrialSchedule();
  private readonly lostRequests = new Map<string, LostRequests>();
  private isClosed = false;

  constructor(private readonly context: CrashContext) {}

  /** Answers peers on `server`. */
  open(server: RpcServer): void {
    server.handle(app.report, ({from, reports}) => {
      this.context.peers.markResponsive(from);
      reports.forEach(one => this.handleReport(one));
      return {};
    });
    server.handle(app.convict, ({from, convicted}) => {
      this.context.peers.markResponsive(from);
      this.applyNotices(convicted);
      return {};
    });
    server.handle(app.requestTrial, ({from, digest}) => {
      this.context.peers.markResponsive(from);
      return this.decideTrial(digest);
    });
  }

  close(): void {
    this.isClosed = true;
  }

  /** False if no request is suspected or quarantined: no digests are needed then. */
  get isActive(): boolean {
    const now = performance.now();
    return !this.localSuspects.isEmpty(now) || !this.quarantine.isEmpty(now);
  }

  /** True if the request must be refused; renews its quarantine. */
  refuses(digest: string): boolean {
    const now = performance.now();
    const isRefused = this.quarantine.checkAndRenew(digest, now);
    if (isRefused && this.quarantine.takeNotification(digest, now)) {
      void this.notifyPeers([{digest, leftMs: QUARANTINE_MS}]);
    }
    return isRefused;
  }

  /**
   * True if a quarantined request may be sent once, to find out whether it still
   * crashes targets. Only one call at a time asks the arbiter; the others resolve
   * at once.
   */
  async requestTrial(digest: string): Promise<boolean> {
    const {rpc, peers, log} = this.context;
    if (!this.quarantine.takeTrialRequest(digest, performance.now())) {
      return false;
    }
    const arbiter = peers.responsive(digest)[0]!;
    const params = {from: peers.ownAddress, digest};
    const answer =
      arbiter === peers.ownAddress
        ? ok(this.decideTrial(digest))
        : await rpc.call(arbiter, app.requestTrial, params, RPC_TIMEOUT_MS);
    const now = performance.now();
    if (!answer.ok) {
      peers.markUnresponsive(arbiter);
      this.quarantine.scheduleTrialRequest(digest, now + FIRST_TRIAL_MS);
      return false;
    }
    const {isGranted, nextMs} = answer.value;
    this.quarantine.scheduleTrialRequest(digest, now + nextMs);
    if (isGranted) {
      log.event('requestTried', {digest});
    }
    return isGranted;
  }

  /** Records that the connection carrying a request was lost. */
  noteLost(target: Target, request: LostRequest): void {
    const now = performance.now();
    const {lifetime} = target;
    const {digest} = request;
    const previous = this.lostRequests.get(lifetime);
    if (previous !== undefined && now - previous.at < CRASH_WINDOW_MS) {
      previous.requests.push(request);
      if (previous.isCrash) {
        this.report([{digest, lifetime}]);
      }
      return;
    }
    const lost = {requests: [request], at: now, isCrash: false};
    this.lostRequests.set(lifetime, lost);
    setTimeout(
      () => this.lostRequests.delete(lifetime),
      CRASH_WINDOW_MS,
    ).unref();
    void this.checkForCrash(target, lost);
  }

  /** Records that a request was served. */
  noteServed(digest: string): void {
    const now = performance.now();
    if (this.quarantine.has(digest, now)) {
      this.report([{digest, lifetime: null}]);
      this.release(digest, 'served');
      return;
    }
    const reportedAt = this.servedReportedAt.get(digest) ?? -Infinity;
    if (
      this.localSuspects.isSuspect(digest, now) &&
      now - reportedAt > SERVED_REPORT_INTERVAL_MS
    ) {
      this.servedReportedAt.set(digest, now);
      setTimeout(
        () => this.servedReportedAt.delete(digest),
        SERVED_REPORT_INTERVAL_MS,
      ).unref();
      this.report([{digest, lifetime: null}]);
    }
  }

  /** All quarantined requests, for a process that has just started. */
  quarantineNotices(): QuarantineNotice[] {
    return this.quarantine.notices(performance.now());
  }

  /** Quarantines the requests that a peer has quarantined. */
  applyNotices(notices: readonly QuarantineNotice[]): void {
    const now = performance.now();
    for (const {digest, leftMs} of notices) {
      if (leftMs === 0) {
        this.release(digest, 'peer');
      } else if (this.quarantine.add(digest, leftMs, now)) {
        this.context.log.event('requestConvicted', {digest, by: 'peer'});
      }
    }
  }

  private async checkForCrash(
    target: Target,
    lost: LostRequests,
  ): Promise<void> {
    if (!(await crashCheck.hasCrashed(target.address)) || this.isClosed) {
      return;
    }
    lost.isCrash = true;
    const {lifetime} = target;
    this.context.log.event('targetCrashed', {
      target: target.id,
      service: target.service,
      lost: lost.requests.length,
      requests: lost.requests
        .slice(0, MAX_LOGGED_REQUESTS)
        .map(({id, sharedParts}) => ({id, parts: sharedParts})),
    });
    const digests = new Set(lost.requests.map(({digest}) => digest));
    this.report([...digests].map(digest => ({digest, lifetime})));
  }

  /** Sends reports to the entries that arbitrate them. */
  private report(reports: readonly app.Report[]): void {
    const {peers} = this.context;
    const now = performance.now();
    for (const {digest, lifetime} of reports) {
      if (lifetime !== null) {
        this.localSuspects.noteCrash(digest, lifetime, now);
      }
    }
    const byArbiter = grouping.groupBy(
      reports,
      ({digest}) => peers.responsive(digest)[0]!,
    );
    for (const [arbiter, batch] of byArbiter) {
      if (arbiter === peers.ownAddress) {
        batch.forEach(one => this.handleReport(one));
      } else {
        void this.sendReports(arbiter, batch);
      }
    }
  }

  private async sendReports(
    arbiter: string,
    reports: readonly app.Report[],
  ): Promise<void> {
    const {rpc, peers} = this.context;
    const params = {from: peers.ownAddress, reports: [...reports]};
    const answer = await rpc.call(arbiter, app.report, params, RPC_TIMEOUT_MS);
    if (answer.ok) {
      peers.markResponsive(arbiter);
    } else if (!this.isClosed) {
      // The next peer in the order arbitrates now. Two arbiters at once
      // quarantine no request too early.
      peers.markUnresponsive(arbiter);
      this.report(reports);
    }
  }

  private handleReport({digest, lifetime}: app.Report): void {
    const now = performance.now();
    if (lifetime === null) {
      this.arbitratedSuspects.noteServed(digest, now);
      if (this.release(digest, 'served')) {
        void this.notifyPeers([{digest, leftMs: 0}]);
      }
      return;
    }
    this.arbitratedSuspects.noteCrash(digest, lifetime, now);
    if (this.arbitratedSuspects.shouldQuarantine(digest, now)) {
      const leftMs = QUARANTINE_MS;
      if (this.quarantine.add(digest, leftMs, now)) {
        this.context.log.event('requestConvicted', {digest, by: 'crashes'});
        this.trials.schedule(digest, now);
      }
      void this.notifyPeers([{digest, leftMs}]);
    }
  }

  private decideTrial(digest: string): {isGranted: boolean; nextMs: number} {
    const now = performance.now();
    const isGranted = this.trials.take(digest, now);
    return {isGranted, nextMs: this.trials.waitMs(digest, now)};
  }

  /** Ends a quarantine; true if the request was quarantined. */
  private release(digest: string, by: 'served' | 'peer'): boolean {
    const wasQuarantined = this.quarantine.release(digest, performance.now());
    if (wasQuarantined) {
      this.context.log.event('requestReleased', {digest, by});
    }
    return wasQuarantined;
  }

  private async notifyPeers(
    notices: readonly QuarantineNotice[],
  ): Promise<void> {
    const {directory: peerDirectory} = this.context.peers;
    await Promise.all(
      peerDirectory.known.map(peer => this.notifyPeer(peer, notices)),
    );
  }

  private async notifyPeer(
    peer: string,
    notices: readonly QuarantineNotice[],
  ): Promise<void> {
    const {rpc, peers} = this.context;
    const params = {from: peers.ownAddress, convicted: [...notices]};
    for (
      let attempt = 0;
      attempt < MAX_ATTEMPTS && !this.isClosed;
      attempt += 1
    ) {
      const answer = await rpc.call(peer, app.convict, params, RPC_TIMEOUT_MS);
      if (answer.ok) {
        peers.markResponsive(peer);
        return;
      }
    }
  }
}
