/**
 * Finds requests that crash the targets that run them, together with peers. One
 * entry judges a request, by its digest, from what all tell it of crashes and of
 * what was served; whom it finds guilty, it tells all. So a crash costs a call or
 * two of each entry that lost a request, and only a guilty one is told to all.
 * Nothing is called, and no digest made, where no target crashes.
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

/** Longest wait for an answer, in milliseconds: a round trip, a lost packet. */
const RPC_TIMEOUT_MS = 400;
/** Calls of one message to one peer, at most. */
const MAX_ATTEMPTS = 3;
/** Requests lost with a target so long ago went down with it, in milliseconds. */
const CRASH_WINDOW_MS = 1_000;
/** Time between two words that a suspect is served, in milliseconds. */
const SERVED_REPORT_INTERVAL_MS = 1_000;

/** What finding them needs of its process. */
export interface CrashContext {
  readonly rpc: RpcClient;
  readonly peers: PeerRanking;
  readonly log: Log;
}

/** Requests that were lost with one lifetime of a target. */
interface LostRequests {
  readonly digests: Set<string>;
  readonly at: number;
  isCrash: boolean;
}

export class CrashCoordinator {
  /** Those that this entry judges. */
  private readonly arbitratedSuspects = new SuspectTracker();
  /** Those that this entry has lost, and when it last told of one served. */
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
      reports.forEach(one => this.judge(one));
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

  /** True where a request may be known; else no digest is needed. */
  get isActive(): boolean {
    const now = performance.now();
    return !this.localSuspects.isEmpty(now) || !this.quarantine.isEmpty(now);
  }

  /** True where a request that has come is to be refused. */
  refuses(digest: string): boolean {
    const now = performance.now();
    const isRefused = this.quarantine.checkAndRenew(digest, now);
    if (isRefused && this.quarantine.takeNotification(digest, now)) {
      void this.notifyPeers([{digest, leftMs: QUARANTINE_MS}]);
    }
    return isRefused;
  }

  /** The connection that carried a request to a target was lost. */
  noteLost(target: Target, digest: string): void {
    const now = performance.now();
    const {lifetime} = target;
    const before = this.lostRequests.get(lifetime);
    if (before !== undefined && now - before.at < CRASH_WINDOW_MS) {
      before.digests.add(digest);
      if (before.isCrash) {
        this.report([{digest, lifetime}]);
      }
      return;
    }
    const loss = {digests: new Set([digest]), at: now, isCrash: false};
    this.lostRequests.set(lifetime, loss);
    setTimeout(
      () => this.lostRequests.delete(lifetime),
      CRASH_WINDOW_MS,
    ).unref();
    void this.checkForCrash(target, loss);
  }

  /** A request was served. */
  noteServed(digest: string): void {
    const now = performance.now();
    const toldAt = this.servedReportedAt.get(digest) ?? -Infinity;
    if (
      this.localSuspects.isSuspect(digest, now) &&
      now - toldAt > SERVED_REPORT_INTERVAL_MS
    ) {
      this.servedReportedAt.set(digest, now);
      setTimeout(
        () => this.servedReportedAt.delete(digest),
        SERVED_REPORT_INTERVAL_MS,
      ).unref();
      this.report([{digest, lifetime: null}]);
    }
  }

  /** What a process that has just started should know. */
  quarantineNotices(): QuarantineNotice[] {
    return this.quarantine.notices(performance.now());
  }

  /** Takes what a peer knows to be guilty. */
  applyNotices(convicted: readonly QuarantineNotice[]): void {
    const now = performance.now();
    for (const {digest, leftMs} of convicted) {
      if (this.quarantine.add(digest, leftMs, now)) {
        this.context.log.event('requestConvicted', {digest, by: 'peer'});
      }
    }
  }

  private async checkForCrash(
    target: Target,
    loss: LostRequests,
  ): Promise<void> {
    if (!(await crashCheck.hasCrashed(target.address)) || this.isClosed) {
      return;
    }
    loss.isCrash = true;
    const {lifetime} = target;
    this.context.log.event('targetCrashed', {
      target: target.id,
      service: target.service,
      lost: loss.digests.size,
    });
    this.report([...loss.digests].map(digest => ({digest, lifetime})));
  }

  /** Tells those that judge. */
  private report(reports: readonly app.Report[]): void {
    const {peers} = this.context;
    const now = performance.now();
    for (const {digest, lifetime} of reports) {
      if (lifetime !== null) {
        this.localSuspects.noteCrash(digest, lifetime, now);
      }
    }
    const byJudge = grouping.groupBy(
      reports,
      ({digest}) => peers.responsive(digest)[0]!,
    );
    for (const [judge, some] of byJudge) {
      if (judge === peers.ownAddress) {
        some.forEach(one => this.judge(one));
      } else {
        void this.sendReports(judge, some);
      }
    }
  }

  private async sendReports(
    judge: string,
    reports: readonly app.Report[],
  ): Promise<void> {
    const {rpc, peers} = this.context;
    const params = {from: peers.ownAddress, reports: [...reports]};
    const answer = await rpc.call(judge, app.report, params, RPC_TIMEOUT_MS);
    if (answer.ok) {
      peers.markResponsive(judge);
    } else if (!this.isClosed) {
      // The next one judges; two that both do convict nobody too early.
      peers.markUnresponsive(judge);
      this.report(reports);
    }
  }

  private judge({digest, lifetime}: app.Report): void {
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
    convicted: readonly QuarantineNotice[],
  ): Promise<void> {
    const {directory: book} = this.context.peers;
    await Promise.all(book.known.map(peer => this.notifyPeer(peer, convicted)));
  }

  private async notifyPeer(
    peer: string,
    convicted: readonly QuarantineNotice[],
  ): Promise<void> {
    const {rpc, peers} = this.context;
    const params = {from: peers.ownAddress, convicted: [...convicted]};
    for (let tries = 0; tries < MAX_ATTEMPTS && !this.isClosed; tries += 1) {
      const answer = await rpc.call(peer, app.convict, params, RPC_TIMEOUT_MS);
      if (answer.ok) {
        peers.markResponsive(peer);
        return;
      }
    }
  }
}
