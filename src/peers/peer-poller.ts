/**
 * Asks peers what the store has told them, while this process hears nothing
 * from it: one that the store turns away, or that has just started, goes on
 * with what others hear. So does one for which others watch. Where everybody
 * watches, nothing is asked in calm but a greeting now and then, so that peers
 * know of each other when it is needed.
 */
import type {QuarantineNotice} from '../crashes/quarantine';
import type {RpcClient} from '../rpc/client';
import * as app from './rpc-methods';
import type {PeerDirectory} from './peer-directory';
import type * as types from './types';

/**
 * Pause between rounds of questions, in milliseconds. A change that one
 * process hears of reaches another that hears nothing in half of it on
 * average, well within the two seconds that a site grants.
 */
const POLL_INTERVAL_MS = 300;
/** Peers asked in a round. */
const PEERS_PER_POLL = 2;
/** Longest wait for an answer, in milliseconds: a round trip and some work. */
const ANSWER_TIMEOUT_MS = 250;
/**
 * And where others watch for this process: many may ask at once for a
 * configuration of some 100 KB.
 */
const WATCHER_ANSWER_TIMEOUT_MS = 600;
/**
 * Pause between greetings, in milliseconds. One costs about 1 KB; a peer that
 * has started again is known to the others after it, and who watches the store
 * for the others is agreed upon after a few.
 */
const DISCOVERY_INTERVAL_MS = 3_000;

/**
 * Time in which a process that has just started goes on asking until a peer has
 * answered, in milliseconds: it knows of no request that crashes targets, and
 * of no configuration that is newer than the store's.
 */
const MAX_STARTUP_MS = 10_000;

/** What asking peers needs of its process. */
export interface PeerPollerContext {
  readonly rpc: RpcClient;
  readonly directory: PeerDirectory;
  /** Where this process takes calls. */
  readonly from: string;
  /** True while the store itself tells nothing. */
  needsUpdates(now: number): boolean;
  /** Peers that watch the store for this process; none: it does itself. */
  watchers(now: number): readonly string[];
  digests(): types.KindDigest[];
  /** Takes what a peer told. True where it has heard lately. */
  applyUpdates(news: readonly types.KindUpdate[], askedAt: number): boolean;
  /** Takes what a peer knows of requests that crash targets. */
  applyQuarantines(convicted: readonly QuarantineNotice[]): void;
  /** A peer answered. */
  onAnswer(): void;
}

export class PeerPoller {
  private isClosed = false;
  private lastDiscoveryAt = -Infinity;
  private timer: NodeJS.Timeout | undefined;
  private readonly startedAt = performance.now();
  /** A peer has answered. */
  private hasPeerAnswered = false;

  constructor(private readonly context: PeerPollerContext) {}

  /** Begins to ask, after a head start for the store. */
  start(): void {
    this.timer = setTimeout(() => void this.poll(), POLL_INTERVAL_MS);
  }

  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
  }

  private async poll(): Promise<void> {
    const {directory} = this.context;
    const now = performance.now();
    const watcher = directory.chooseFrom(this.context.watchers(now));
    if (watcher !== undefined) {
      await this.pollPeer(watcher, WATCHER_ANSWER_TIMEOUT_MS);
    } else if (this.context.needsUpdates(now)) {
      await Promise.all(
        directory.chooseToPoll(PEERS_PER_POLL).map(peer => this.pollPeer(peer)),
      );
    } else if (
      now - this.lastDiscoveryAt > DISCOVERY_INTERVAL_MS ||
      this.isStartingUp(now)
    ) {
      this.lastDiscoveryAt = now;
      await Promise.all(
        directory.chooseRandom().map(peer => this.pollPeer(peer)),
      );
    }
    if (!this.isClosed) {
      this.start();
    }
  }

  /** True for a while where no peer has answered since the start. */
  private isStartingUp(now: number): boolean {
    return !this.hasPeerAnswered && now - this.startedAt < MAX_STARTUP_MS;
  }

  private async pollPeer(
    peer: string,
    answerMs = ANSWER_TIMEOUT_MS,
  ): Promise<void> {
    const {rpc, directory, from} = this.context;
    const askedAt = performance.now();
    const params = {from, held: this.context.digests()};
    const answer = await rpc.call(peer, app.pullUpdates, params, answerMs);
    if (this.isClosed) {
      return;
    }
    let isHelpful = false;
    if (answer.ok) {
      this.context.onAnswer();
      this.hasPeerAnswered = true;
      directory.add(answer.value.peers);
      this.context.applyQuarantines(answer.value.convicted);
      isHelpful = this.context.applyUpdates(answer.value.kinds, askedAt);
    }
    directory.recordCall(peer, answer.ok, isHelpful);
  }
}
