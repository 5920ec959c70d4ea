/**
 * Finds and quarantines requests that crash targets, together with peers. A request
 * is known by its fingerprints: the whole request, and the parts of its prompt that
 * others share. Requests may be in flight at targets that crash for another reason,
 * so a success ends a quarantine, and the arbiter grants a trial now and then.
 * Without crashes there are no calls, and no fingerprints are made.
 */
import * as rxjs from 'rxjs';
import type {Target} from '../forwarding/types';
import type {Log} from '../observability/log';
import type {PeerRanking} from '../peers/peer-ranking';
import type {ObjectApi} from '../platform/client';
import {ok} from '../result';
import type {RpcClient} from '../rpc/client';
import type {RpcServer} from '../rpc/server';
import * as app from './app';
import {CrashArbiter} from './crash-arbiter';
import {CrashDetector, LostRequest} from './crash-detector';
import {CrashEvidence} from './crash-evidence';
import {CrashReporter} from './crash-reporter';
import * as fingerprints from './fingerprints';
import {OpenRequest, OpenRequests, TrackedRequest} from './open-requests';
import {FIRST_TRIAL_MS, QUARANTINE_MS, Quarantine} from './quarantine';
import {QuarantineStore} from './quarantine-store';
import {ServedParts} from './served-parts';
import {StartupState} from './startup-state';
import {SuspectTracker} from './suspect-tracker';
import {TrialSchedule} from './trial-schedule';

/** Allows for a round trip and one lost packet. */
const RPC_TIMEOUT_MS = 400;
/** Attempts to notify one peer. */
const MAX_ATTEMPTS = 3;
/** Minimum time between reports that a suspect was served. */
const SERVED_REPORT_INTERVAL_MS = 250;
/** Lost requests of a crash that are logged. */
const MAX_LOGGED_REQUESTS = 8;
/** Suspects in the answer to a process that starts. */
const MAX_STARTUP_SUSPECTS = 256;
/** Maximum wait of a retry for the check whether its target has crashed. */
const CHECK_WAIT_MS = 200;
/** Time after a crash in which its verdict is reached at all entries. */
const VERDICT_WAIT_MS = 200;
/**
 * The first trial waits for this many times the time over which the crashes were
 * spread: crashes at the same moment may have one other cause.
 */
const TRIAL_DELAY_FACTOR = 4;

export interface CrashContext {
  readonly rpc: RpcClient;
  readonly peers: PeerRanking;
  readonly store: ObjectApi;
  /** Kind of the store's objects that keep quarantines. */
  readonly storeKind: string;
  readonly log: Log;
  /** True if the target may end without having crashed. */
  isEnding(target: Target): boolean;
}

export class CrashCoordinator {
  /** Emits when requests that wait may have to be refused. */
  readonly convictions = new rxjs.Subject<void>();
  private readonly tracker = new SuspectTracker();
  private readonly quarantine = new Quarantine();
  private readonly servedParts = new ServedParts();
  private readonly evidence = new CrashEvidence(
    this.tracker,
    this.quarantine,
    this.servedParts,
  );
  private readonly trials = new TrialSchedule();
  private readonly openRequests = new OpenRequests();
  private readonly detector: CrashDetector;
  private readonly arbiter: CrashArbiter;
  private readonly quarantineStore: QuarantineStore;
  private readonly startup: StartupState;
  private readonly reporter: CrashReporter;
  private isClosed = false;

  constructor(private readonly context: CrashContext) {
    const {rpc, peers, store, storeKind} = context;
    this.detector = new CrashDetector((target, requests) =>
      this.noteCrash(target, requests),
    );
    this.arbiter = new CrashArbiter({
      rpc,
      peers,
      tracker: this.tracker,
      isServed: service => this.servedParts.hasService(service),
      survey: suspects => this.answerSurvey(suspects),
      onGuilty: (service, guilty) => this.convict(service, guilty),
    });
    this.reporter = new CrashReporter({
      rpc,
      peers,
      onOwnReport: report => this.handleReport(report),
      onSentReport: ({crashes, served}) => {
        this.noteCrashes(crashes);
        served.forEach(one => this.release(one, 'served'));
      },
    });
    this.quarantineStore = new QuarantineStore(store, storeKind);
    this.startup = new StartupState({
      rpc,
      peers,
      quarantineStore: this.quarantineStore,
      apply: (notices, suspects) => {
        const now = performance.now();
        suspects.forEach(one => this.tracker.adopt(one, now));
        this.applyNotices(notices);
      },
    });
  }

  /** Answers peers on `server` and asks them what they know. */
  open(server: RpcServer): void {
    const {peers} = this.context;
    server.handle(app.report, ({from, ...report}) => {
      peers.markResponsive(from);
      this.handleReport(report);
      return {};
    });
    server.handle(app.survey, ({from, suspects}) => {
      peers.markResponsive(from);
      const now = performance.now();
      suspects.forEach(one => this.tracker.adopt(one, now));
      return this.answerSurvey(suspects);
    });
    server.handle(app.convict, ({from, convicted}) => {
      peers.markResponsive(from);
      this.applyNotices(convicted);
      return {};
    });
    server.handle(app.requestTrial, ({from, digest}) => {
      peers.markResponsive(from);
      return this.decideTrial(digest);
    });
    server.handle(app.state, () => ({
      isComplete: this.startup.isComplete,
      convicted: this.quarantineNotices(),
      suspects: this.tracker.states(
        undefined,
        MAX_STARTUP_SUSPECTS,
        performance.now(),
      ),
    }));
    void this.startup.load();
  }

  close(): void {
    this.isClosed = true;
    this.reporter.close();
    this.detector.close();
    this.arbiter.close();
    this.convictions.complete();
  }

  /** False if nothing is suspected or quarantined: no fingerprints are needed. */
  get isActive(): boolean {
    const now = performance.now();
    return !this.tracker.isEmpty(now) || !this.quarantine.isEmpty(now);
  }

  /** Resolves once this process knows what is quarantined, or after a short wait. */
  whenKnown(): Promise<void> {
    return this.startup.whenComplete();
  }

  /** True once this process knows what is quarantined. */
  get isKnown(): boolean {
    return this.startup.isComplete;
  }

  /** Follows a request until it is closed. */
  track(request: TrackedRequest): OpenRequest {
    return this.openRequests.open(request);
  }

  /** The request's quarantined fingerprints, renewed; none: it may be sent. */
  quarantinedOf(request: OpenRequest): readonly string[] {
    if (!this.isActive) {
      return [];
    }
    return request.fingerprints.filter(one => this.checkAndRenew(one));
  }

  /**
   * True if a quarantined request may be sent once, to find out whether it still
   * crashes targets. Only one call at a time asks the arbiter; the others resolve
   * at once.
   */
  async requestTrial(quarantined: readonly string[]): Promise<boolean> {
    const {rpc, peers, log} = this.context;
    const [fingerprint] = quarantined;
    // Its success or crash would say nothing about one of several.
    if (
      fingerprint === undefined ||
      quarantined.length > 1 ||
      !this.quarantine.takeTrialRequest(fingerprint, performance.now())
    ) {
      return false;
    }
    const arbiter = this.reporter.arbiterOf(
      fingerprints.serviceOf(fingerprint),
    );
    const params = {from: peers.ownAddress, digest: fingerprint};
    const answer =
      arbiter === peers.ownAddress
        ? ok(this.decideTrial(fingerprint))
        : await rpc.call(arbiter, app.requestTrial, params, RPC_TIMEOUT_MS);
    const now = performance.now();
    if (!answer.ok) {
      peers.markUnresponsive(arbiter);
      this.quarantine.scheduleTrialRequest(fingerprint, now + FIRST_TRIAL_MS);
      return false;
    }
    const {isGranted, nextMs} = answer.value;
    this.quarantine.scheduleTrialRequest(fingerprint, now + nextMs);
    if (isGranted) {
      log.event('requestTried', {fingerprint});
    }
    return isGranted;
  }

  /**
   * Records that the connection carrying a request was lost. True if it may be sent
   * again, which is known once its target was checked: a request that has crashed a
   * target isn't sent on while it may be one that crashes all.
   */
  async noteLost(target: Target, request: OpenRequest): Promise<boolean> {
    if (this.context.isEnding(target)) {
      return true;
    }
    const check = this.detector.noteLost(target, request);
    const hasCrashed = await Promise.race([
      check,
      sleep(CHECK_WAIT_MS).then(() => false),
    ]);
    if (!hasCrashed) {
      return true;
    }
    await sleep(VERDICT_WAIT_MS);
    const now = performance.now();
    return !request.fingerprints.some(
      one =>
        this.quarantine.has(one, now) ||
        this.tracker.isNearQuarantine(one, now),
    );
  }

  /** A target has joined. */
  noteJoined(target: Target): void {
    this.detector.noteJoined(target);
  }

  /** Records that a request was served. */
  noteServed(request: OpenRequest): void {
    this.servedParts.note(request.service, request.parts);
    if (!this.isActive) {
      return;
    }
    const now = performance.now();
    for (const one of request.fingerprints) {
      const isQuarantined = this.quarantine.has(one, now);
      if (
        isQuarantined ||
        this.tracker.takeServedReport(one, now, SERVED_REPORT_INTERVAL_MS)
      ) {
        this.reporter.reportServed(one);
      }
    }
  }

  /** All quarantined fingerprints, for a process that has just started. */
  quarantineNotices(): app.QuarantineNotice[] {
    const now = performance.now();
    return this.quarantine
      .notices(now)
      .map(({digest, leftMs}) => this.noticeOf(digest, leftMs, now));
  }

  /** Quarantines the fingerprints that a peer has quarantined. */
  applyNotices(notices: readonly app.QuarantineNotice[]): void {
    const now = performance.now();
    let hasNew = false;
    for (const {digest, leftMs, trial} of notices) {
      if (leftMs === 0) {
        this.release(digest, 'peer');
        continue;
      }
      if (this.quarantine.add(digest, leftMs, now)) {
        hasNew = true;
        this.context.log.event('requestConvicted', {
          fingerprint: digest,
          by: 'peer',
        });
      }
      if (trial !== undefined) {
        this.trials.adopt(digest, trial, now);
        this.quarantine.scheduleTrialRequest(digest, now + trial.leftMs);
      }
    }
    if (hasNew) {
      this.convictions.next();
    }
  }

  private checkAndRenew(fingerprint: string): boolean {
    const now = performance.now();
    const isQuarantined = this.quarantine.checkAndRenew(fingerprint, now);
    if (isQuarantined && this.quarantine.takeNotification(fingerprint, now)) {
      this.notifyPeers([this.noticeOf(fingerprint, QUARANTINE_MS, now)]);
    }
    return isQuarantined;
  }

  private noteCrash(target: Target, requests: readonly LostRequest[]): void {
    const {id, service, lifetime} = target;
    if (this.isClosed) {
      return;
    }
    this.context.log.event('targetCrashed', {
      target: id,
      service,
      lost: requests.length,
      requests: requests.slice(0, MAX_LOGGED_REQUESTS),
    });
    const lost = requests.map(one => ({
      fingerprints: [...one.fingerprints],
      answeredMs: one.answeredMs,
    }));
    this.reporter.report({
      service,
      crashes: [{lifetime, requests: lost}],
      served: [],
    });
  }

  private handleReport({service, crashes, served}: app.Report): void {
    const now = performance.now();
    for (const one of served) {
      this.tracker.noteServed(one, now);
      if (this.release(one, 'served')) {
        this.notifyPeers([{digest: one, leftMs: 0}]);
        void this.saveQuarantine(service);
      }
    }
    if (crashes.length > 0) {
      this.noteCrashes(crashes);
      this.arbiter.schedule(service);
    }
  }

  private noteCrashes(crashes: readonly app.Crash[]): void {
    const now = performance.now();
    crashes.forEach(one => this.evidence.noteCrash(one, now));
  }

  private convict(service: string, guilty: readonly string[]): void {
    const now = performance.now();
    for (const one of guilty) {
      if (this.quarantine.add(one, QUARANTINE_MS, now)) {
        this.context.log.event('requestConvicted', {
          fingerprint: one,
          by: 'crashes',
        });
        const spreadMs = this.tracker.firstAgoMs(one, now);
        const delayMs = Math.max(FIRST_TRIAL_MS, TRIAL_DELAY_FACTOR * spreadMs);
        this.trials.schedule(one, now, delayMs);
        const waitMs = this.trials.waitMs(one, now);
        this.quarantine.scheduleTrialRequest(one, now + waitMs);
      }
    }
    if (guilty.length > 0) {
      this.convictions.next();
      this.notifyPeers(
        guilty.map(one => this.noticeOf(one, QUARANTINE_MS, now)),
      );
      void this.saveQuarantine(service);
    }
  }

  private answerSurvey(
    suspects: readonly app.SuspectState[],
  ): app.SurveyAnswer {
    const names = new Set(suspects.map(one => one.fingerprint));
    return {
      ...this.openRequests.survey(names, this.tracker, performance.now()),
      proven: [...names].filter(one => this.servedParts.has(one)),
    };
  }

  private decideTrial(fingerprint: string): {
    isGranted: boolean;
    nextMs: number;
  } {
    const now = performance.now();
    const isGranted = this.trials.take(fingerprint, now);
    if (isGranted) {
      // Another arbiter must not grant the same trial.
      this.notifyPeers([this.noticeOf(fingerprint, QUARANTINE_MS, now)]);
      void this.saveQuarantine(fingerprints.serviceOf(fingerprint));
    }
    return {isGranted, nextMs: this.trials.waitMs(fingerprint, now)};
  }

  /** Ends a quarantine; true if the fingerprint was quarantined. */
  private release(fingerprint: string, by: 'served' | 'peer'): boolean {
    const wasQuarantined = this.quarantine.release(
      fingerprint,
      performance.now(),
    );
    if (wasQuarantined) {
      this.context.log.event('requestReleased', {fingerprint, by});
    }
    return wasQuarantined;
  }

  private async saveQuarantine(service: string): Promise<void> {
    const notices = this.quarantineNotices().filter(
      one => fingerprints.serviceOf(one.digest) === service,
    );
    await this.quarantineStore.save(service, notices);
  }

  private noticeOf(
    fingerprint: string,
    leftMs: number,
    now: number,
  ): app.QuarantineNotice {
    return {
      digest: fingerprint,
      leftMs,
      trial: this.trials.stateOf(fingerprint, now),
    };
  }

  private notifyPeers(notices: readonly app.QuarantineNotice[]): void {
    for (const peer of this.context.peers.directory.known) {
      void this.notifyPeer(peer, notices);
    }
  }

  private async notifyPeer(
    peer: string,
    notices: readonly app.QuarantineNotice[],
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

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
