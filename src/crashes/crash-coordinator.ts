/**
 * Finds and quarantines requests that crash targets, together with peers. One entry
 * arbitrates each request, chosen by its digest: it collects crashes and successes
 * from all entries and notifies them of a quarantine. Without crashes there are no
 * calls and no digests.
 */
import type {Target} from '../forwarding/types';
import * as grouping from '../grouping';
import type {Log} from '../observability/log';
import type {PeerRanking} from '../peers/peer-ranking';
import type {RpcClient} from '../rpc/client';
import type {RpcServer} from '../rpc/server';
import * as app from './app';
import {Quarantine, QuarantineNotice, QUARANTINE_MS} from './quarantine';
import * as crashCheck from './crash-check';
import {SuspectTracker} from './suspect-tracker';

/** Allows for a round trip and one lost packet. */
const RPC_TIMEOUT_MS = 400;
/** Attempts to notify one peer. */
const MAX_ATTEMPTS = 3;
/** Losses on one lifetime within this time count as one crash. */
const CRASH_WINDOW_MS = 1_000;
/** Minimum time between reports that a suspect was served. */
const SERVED_REPORT_INTERVAL_MS = 1_000;

export interface CrashContext {
  readonly rpc: RpcClient;
  readonly peers: PeerRanking;
  readonly log: Log;
}

/** Requests that were in flight to one lifetime when a connection was lost. */
interface LostRequests {
  readonly digests: Set<string>;
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

  /** Records that the connection carrying a request was lost. */
  noteLost(target: Target, digest: string): void {
    const now = performance.now();
    const {lifetime} = target;
    const previous = this.lostRequests.get(lifetime);
    if (previous !== undefined && now - previous.at < CRASH_WINDOW_MS) {
      previous.digests.add(digest);
      if (previous.isCrash) {
        this.report([{digest, lifetime}]);
      }
      return;
    }
    const lost = {digests: new Set([digest]), at: now, isCrash: false};
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
      if (this.quarantine.add(digest, leftMs, now)) {
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
      lost: lost.digests.size,
    });
    this.report([...lost.digests].map(digest => ({digest, lifetime})));
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
      return;
    }
    this.arbitratedSuspects.noteCrash(digest, lifetime, now);
    if (this.arbitratedSuspects.shouldQuarantine(digest, now)) {
      const leftMs = QUARANTINE_MS;
      if (this.quarantine.add(digest, leftMs, now)) {
        this.context.log.event('requestConvicted', {digest, by: 'crashes'});
      }
      void this.notifyPeers([{digest, leftMs}]);
    }
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
