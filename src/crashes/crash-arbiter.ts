/**
 * Decides which fingerprints of a service are quarantined. Of the entries that know
 * the service, one arbitrates it: it collects their reports, and before each verdict
 * asks all entries what they have seen served. The survey gives them the evidence
 * too, so that another entry can take over.
 */
import type {PeerRanking} from '../peers/peer-ranking';
import type {RpcClient} from '../rpc/client';
import * as app from './app';
import type {SuspectTracker} from './suspect-tracker';

/** Reports of one crash come from several entries. */
const MERGE_MS = 60;
/** Minimum time between two surveys of a service. */
const MIN_SURVEY_INTERVAL_MS = 250;
const SURVEY_TIMEOUT_MS = 400;
/** Suspects of one survey, strongest first. */
const MAX_SUSPECTS = 64;

export interface ArbiterContext {
  readonly rpc: RpcClient;
  readonly peers: PeerRanking;
  readonly tracker: SuspectTracker;
  /** True if any request of the service was served here. */
  isServed(service: string): boolean;
  /** Answers a survey for this entry. */
  survey(suspects: readonly app.SuspectState[]): app.SurveyAnswer;
  /** Quarantines fingerprints of a service at all entries. */
  onGuilty(service: string, fingerprints: readonly string[]): void;
}

export class CrashArbiter {
  /** Services with a verdict under way, and whether it must be repeated. */
  private readonly underWay = new Map<string, {isRepeated: boolean}>();
  private isClosed = false;

  constructor(private readonly context: ArbiterContext) {}

  close(): void {
    this.isClosed = true;
  }

  /** Reaches a verdict soon: there are new crashes of the service. */
  schedule(service: string): void {
    const current = this.underWay.get(service);
    if (current !== undefined) {
      current.isRepeated = true;
      return;
    }
    this.underWay.set(service, {isRepeated: false});
    setTimeout(() => void this.run(service), MERGE_MS).unref();
  }

  private async run(service: string): Promise<void> {
    const startedAt = performance.now();
    await this.decide(service);
    const pauseMs = startedAt + MIN_SURVEY_INTERVAL_MS - performance.now();
    setTimeout(
      () => {
        const isRepeated = this.underWay.get(service)?.isRepeated === true;
        this.underWay.delete(service);
        if (isRepeated) {
          this.schedule(service);
        }
      },
      Math.max(pauseMs, 0),
    ).unref();
  }

  private async decide(service: string): Promise<void> {
    const {tracker, peers, onGuilty} = this.context;
    const suspects = tracker.states(service, MAX_SUSPECTS, performance.now());
    this.applyAnswer(this.context.survey(suspects));
    await Promise.all(
      peers.directory.known
        .filter(peer => !peers.isUnresponsive(peer))
        .map(peer => this.surveyPeer(peer, service, suspects)),
    );
    if (!this.isClosed) {
      const guilty = tracker.takeGuilty(
        service,
        performance.now(),
        !this.context.isServed(service),
      );
      onGuilty(service, guilty);
    }
  }

  private async surveyPeer(
    peer: string,
    service: string,
    suspects: app.SuspectState[],
  ): Promise<void> {
    const {rpc, peers} = this.context;
    const params = {from: peers.ownAddress, service, suspects};
    const answer = await rpc.call(peer, app.survey, params, SURVEY_TIMEOUT_MS);
    if (answer.ok) {
      this.applyAnswer(answer.value);
    }
  }

  private applyAnswer({served, proven, open}: app.SurveyAnswer): void {
    const {tracker} = this.context;
    const now = performance.now();
    proven.forEach(fingerprint => tracker.noteSpaced(fingerprint, now));
    served.forEach(fingerprint => tracker.noteServed(fingerprint, now));
    open.forEach(([fingerprint, count]) =>
      tracker.addExposure(fingerprint, count, now),
    );
  }
}
