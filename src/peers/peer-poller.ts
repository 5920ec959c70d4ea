/**
 * Polls peers for store updates while this process gets none from the store
 * itself, or while other processes watch the store for it. Otherwise it only
 * calls a random peer now and then, so that processes keep discovering each
 * other.
 */
import type {QuarantineNotice} from '../crashes/app';
import type {RpcClient} from '../rpc/client';
import * as app from './app';
import type {PeerDirectory} from './peer-directory';
import type * as types from './types';

/**
 * A change known to one process reaches another that gets no updates in half of
 * this on average, well within the two seconds that a site allows.
 */
const POLL_INTERVAL_MS = 300;
const PEERS_PER_POLL = 2;
/** A round trip and some work. */
const ANSWER_TIMEOUT_MS = 250;
/**
 * Longer, since many processes may ask a watcher for everything at once, and a
 * configuration may have some 100 KB.
 */
const WATCHER_ANSWER_TIMEOUT_MS = 600;
/**
 * A call costs about 1 KB. After one, the others know a process that has
 * started again; after a few, all agree on who watches the store.
 */
const DISCOVERY_INTERVAL_MS = 3_000;

/**
 * Time after the start in which every poll calls a peer until one has answered.
 * Before that, this process knows neither the quarantined requests nor a
 * configuration that is newer than the store's.
 */
const MAX_STARTUP_MS = 10_000;

/** What the poller uses of its process. */
export interface PeerPollerContext {
  readonly rpc: RpcClient;
  readonly directory: PeerDirectory;
  /** Address at which this process takes calls. */
  readonly from: string;
  /** True while the store sends this process no updates. */
  needsUpdates(now: number): boolean;
  /** Peers that watch the store for this process; empty if it watches itself. */
  watchers(now: number): readonly string[];
  digests(): types.KindDigest[];
  /** Applies a peer's updates. Returns true if they are recent. */
  applyUpdates(updates: readonly types.KindUpdate[], askedAt: number): boolean;
  applyQuarantines(notices: readonly QuarantineNotice[]): void;
  /** New connections per second of this process. */
  connectionsPerSecond(): number;
  onPeerConnections(peer: string, perSecond: number): void;
  onAnswer(): void;
}

export class PeerPoller {
  private isClosed = false;
  private lastDiscoveryAt = -Infinity;
  private timer: NodeJS.Timeout | undefined;
  private readonly startedAt = performance.now();
  private hasPeerAnswered = false;

  constructor(private readonly context: PeerPollerContext) {}

  /** Schedules the next poll; the first one leaves the store time to answer. */
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

  /** True shortly after the start, until a peer has answered. */
  private isStartingUp(now: number): boolean {
    return !this.hasPeerAnswered && now - this.startedAt < MAX_STARTUP_MS;
  }

  private async pollPeer(
    peer: string,
    answerMs = ANSWER_TIMEOUT_MS,
  ): Promise<void> {
    const {rpc, directory, from} = this.context;
    const askedAt = performance.now();
    const params = {
      from,
      held: this.context.digests(),
      connectionsPerSecond: this.context.connectionsPerSecond(),
    };
    const answer = await rpc.call(peer, app.pullUpdates, params, answerMs);
    if (this.isClosed) {
      return;
    }
    let isHelpful = false;
    if (answer.ok) {
      this.context.onAnswer();
      const {connectionsPerSecond} = answer.value;
      if (connectionsPerSecond !== undefined) {
        this.context.onPeerConnections(peer, connectionsPerSecond);
      }
      this.hasPeerAnswered = true;
      directory.add(answer.value.peers);
      this.context.applyQuarantines(answer.value.convicted);
      isHelpful = this.context.applyUpdates(answer.value.kinds, askedAt);
    }
    directory.recordCall(peer, answer.ok, isHelpful);
  }
}
