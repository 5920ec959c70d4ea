/**
 * Agrees with peers on who may send to targets that have named a limit. For each
 * lifetime of a target one process lends, the first in an order that all work
 * out alike from the peers that they know and that answer. Views may differ: who
 * is asked and knows of one that comes before it names that one and lends
 * nothing, and who lends tells the next in the order once a second. Nothing is
 * called where no target has a limit, nor where there are no peers.
 */
import type {Log} from '../observability/log';
import type {PeerRanking} from '../peers/peer-ranking';
import * as grouping from '../grouping';
import * as random from '../random';
import type {RpcClient} from '../rpc/client';
import type {RpcServer} from '../rpc/server';
import * as app from './limit-app';
import type {
  RateLimitTracker,
  LimitChange,
  PermitRequest,
} from './rate-limit-tracker';
import {
  HEARTBEAT_INTERVAL_MS,
  PermitGrant,
  PermitIssuer,
} from './permit-issuer';
import type {RateLimit} from './rate-limit';

/** Longest wait for an answer, in milliseconds: a round trip, a lost packet. */
const RPC_TIMEOUT_MS = 400;
/**
 * Time in which a process that has just started and has met no peer yet lends
 * nothing, in milliseconds: those that it knows of may be in trouble, and the
 * others don't know of it.
 */
const FIRST_CONTACT_TIMEOUT_MS = 10_000;
/** Processes that who lends tells of it: those that might lend otherwise. */
const SUCCESSORS_NOTIFIED = 2;
/** And those that it tells in one turn, as it learns of others. */
const MAX_PEERS_NOTIFIED = 8;
/** Peers that are silent and might lend, tried in one turn. */
const MAX_SILENT_TRIED = 2;

/** What agreeing with peers needs of its process. */
export interface LimitContext {
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly peers: PeerRanking;
  readonly limits: RateLimitTracker;
  readonly log: Log;
  /** A peer knew more of a target's limit. */
  onChange(lifetime: string, change: LimitChange): void;
}

export class LimitCoordinator {
  private readonly issuer = new PermitIssuer();
  private requestTimer: NodeJS.Timeout | undefined;
  /** Monotonic time at which the timer fires. */
  private requestTimerAt = Infinity;
  private heartbeatTimer: NodeJS.Timeout | undefined;
  private isClosed = false;
  private readonly startedAt = performance.now();
  /** A peer has answered or called. */
  private hasPeerContact = false;
  /** When a newcomer last called peers. */
  private contactTriedAt = -Infinity;

  constructor(private readonly context: LimitContext) {
    context.limits.onDemand = () => this.scheduleRequests();
  }

  /** Answers peers on `server`. */
  open(server: Pick<RpcServer, 'handle'>): void {
    server.handle(app.borrow, ({from, asks}) => {
      const now = performance.now();
      this.context.peers.markResponsive(from);
      this.hasPeerContact = true;
      return {answers: asks.map(ask => this.handleRequest(ask, now))};
    });
  }

  /** This instance was suspended. */
  handleResume(): void {
    this.context.limits.dropPermits();
    this.issuer.restart(performance.now());
  }

  close(): void {
    this.isClosed = true;
    clearTimeout(this.requestTimer);
    clearTimeout(this.heartbeatTimer);
  }

  /** Answers a peer that wants permits, or tells of a limit. */
  private handleRequest(
    ask: {lifetime: string; word: app.RateLimitMessage; wanted: number},
    now: number,
  ) {
    const {lifetime, wanted} = ask;
    const word = fromMessage(ask.word, now);
    const {peers} = this.context;
    const order = this.order(lifetime, word, now).slice(
      0,
      1 + SUCCESSORS_NOTIFIED,
    );
    const silent = peers
      .ranked(lifetime)
      .slice(0, 1 + SUCCESSORS_NOTIFIED)
      .filter(one => peers.isUnresponsive(one));
    const isOwn = order[0] === peers.ownAddress;
    if (isOwn && (wanted > 0 || this.isIssuing(lifetime))) {
      const lent = this.grant(lifetime, word, wanted, now);
      return {...lent, order, silent, word: toMessage(lent.word, now)};
    }
    if (!isOwn) {
      this.stopIssuing(lifetime);
    }
    return {permits: 0, waitMs: 0, order, silent, word: ask.word};
  }

  /** Sets the timer for what is wanted next. */
  private scheduleRequests(): void {
    const now = performance.now();
    const askAt = this.context.limits.nextRequestAt(now);
    if (this.isClosed || askAt === undefined || askAt >= this.requestTimerAt) {
      return;
    }
    clearTimeout(this.requestTimer);
    this.requestTimerAt = askAt;
    const turn = () => {
      this.requestTimerAt = Infinity;
      this.ask();
    };
    this.requestTimer = setTimeout(turn, Math.max(Math.ceil(askAt - now), 0));
    this.requestTimer.unref();
  }

  /** Asks lenders for what is wanted by now. */
  private ask(): void {
    const now = performance.now();
    const wishes = this.context.limits.takePermitRequests(now);
    const byLender = grouping.groupBy(
      wishes,
      ({lifetime, word}) => this.order(lifetime, word, now)[0]!,
    );
    for (const [lender, some] of byLender) {
      if (lender === this.context.peers.ownAddress) {
        some.forEach(wish => this.requestFromSelf(wish, now));
      } else {
        void this.requestFromPeer(lender, some);
      }
    }
    this.scheduleRequests();
  }

  private requestFromSelf(
    {lifetime, word, wanted}: PermitRequest,
    now: number,
  ): void {
    const {limits} = this.context;
    if (this.isAwaitingFirstContact(now)) {
      this.contactPeers(lifetime, word, now);
      limits.noteRequestFailed(lifetime, now);
    } else if (wanted > 0 || this.isIssuing(lifetime)) {
      const lent = this.grant(lifetime, word, wanted, now);
      this.updateLimit(lifetime, lent.word);
      limits.applyGrant(lifetime, lent, now, now);
    } else {
      limits.noteRequestFailed(lifetime, now);
    }
  }

  /** True while it knows of peers and has not met one yet, for some time. */
  private isAwaitingFirstContact(now: number): boolean {
    const isAlone =
      !this.hasPeerContact && !this.context.peers.directory.isEmpty;
    return isAlone && now - this.startedAt < FIRST_CONTACT_TIMEOUT_MS;
  }

  /** Calls those that may lend now. */
  private contactPeers(lifetime: string, word: RateLimit, now: number): void {
    if (now - this.contactTriedAt >= HEARTBEAT_INTERVAL_MS) {
      this.contactTriedAt = now;
      this.announce(lifetime, word, now);
    }
  }

  private async requestFromPeer(
    peer: string,
    wishes: readonly PermitRequest[],
  ): Promise<void> {
    const {limits} = this.context;
    const askedAt = performance.now();
    const answers = await this.call(peer, wishes);
    const now = performance.now();
    wishes.forEach(({lifetime}, at) => {
      const answer = answers?.[at];
      if (answer === undefined || answer.order[0] !== peer) {
        limits.noteRequestFailed(lifetime, now);
      } else {
        this.updateLimit(lifetime, fromMessage(answer.word, askedAt));
        limits.applyGrant(lifetime, answer, askedAt, now);
      }
    });
    this.scheduleRequests();
  }

  /** Undefined where the peer does not answer. */
  private async call(peer: string, wishes: readonly PermitRequest[]) {
    const {rpc, peers} = this.context;
    const now = performance.now();
    const asks = wishes.map(({lifetime, word, wanted}) => ({
      lifetime,
      word: toMessage(word, now),
      wanted,
    }));
    const params = {from: peers.ownAddress, asks};
    const answer = await rpc.call(peer, app.borrow, params, RPC_TIMEOUT_MS);
    if (!answer.ok) {
      peers.markUnresponsive(peer);
      return undefined;
    }
    peers.markResponsive(peer);
    this.hasPeerContact = true;
    for (const {order, silent} of answer.value.answers) {
      // The peer hears from them; where it is wrong, the next call shows.
      peers.markResponsive(...order);
      peers.directory.add(silent);
    }
    return answer.value.answers;
  }

  private updateLimit(lifetime: string, word: RateLimit): void {
    const change = this.context.limits.update(lifetime, word);
    if (change !== undefined) {
      this.context.onChange(lifetime, change);
    }
  }

  /**
   * Who lends for a lifetime, the first one first. Silent ones that would come
   * before are tried beside, so that they come back.
   */
  private order(lifetime: string, word: RateLimit, now: number): string[] {
    const {peers} = this.context;
    peers
      .takeDueRetries(lifetime, now)
      .slice(0, MAX_SILENT_TRIED)
      .forEach(one => void this.call(one, [{lifetime, word, wanted: 0}]));
    return peers.responsive(lifetime);
  }

  private isIssuing(lifetime: string): boolean {
    return this.issuer.isIssuing(lifetime);
  }

  private grant(
    lifetime: string,
    word: RateLimit,
    wanted: number,
    now: number,
  ): PermitGrant {
    const isNew = !this.isIssuing(lifetime);
    const lent = this.issuer.grant(lifetime, word, wanted, now);
    if (isNew) {
      this.context.log.event('limitLent', {
        lifetime,
        limit: word.perSecond,
        peers: this.context.peers.directory.known.length,
      });
      this.announce(lifetime, word, now);
      this.heartbeatTimer ??= this.scheduleHeartbeat();
    }
    return lent;
  }

  /** Another process lends for a target. */
  private stopIssuing(lifetime: string): void {
    if (this.isIssuing(lifetime)) {
      this.issuer.stop(lifetime);
      this.context.log.event('limitLeft', {lifetime});
    }
  }

  private scheduleHeartbeat(): NodeJS.Timeout {
    return setTimeout(() => this.heartbeat(), HEARTBEAT_INTERVAL_MS).unref();
  }

  /** Tells those that might lend otherwise that this process does. */
  private heartbeat(): void {
    const now = performance.now();
    for (const [lifetime, word] of this.issuer.heartbeat(now)) {
      this.announce(lifetime, word, now);
    }
    const isLending = !this.isClosed && this.issuer.size > 0;
    this.heartbeatTimer = isLending ? this.scheduleHeartbeat() : undefined;
  }

  private announce(lifetime: string, word: RateLimit, now: number): void {
    void this.announceToNext(lifetime, word, now, new Set());
  }

  /** Those that are told name others that may lend, and these are told too. */
  private async announceToNext(
    lifetime: string,
    word: RateLimit,
    now: number,
    told: Set<string>,
  ): Promise<void> {
    const [first, ...others] = this.order(lifetime, word, now);
    const {ownAddress: own} = this.context.peers;
    if (first !== own) {
      this.stopIssuing(lifetime);
      return;
    }
    // Silent ones too: those that this process lost as it froze may be lending.
    const all = this.context.peers.ranked(lifetime);
    const place = all.indexOf(own);
    const next = new Set([
      ...random.sample(all.slice(0, place), MAX_SILENT_TRIED),
      ...all.slice(place + 1, place + 1 + SUCCESSORS_NOTIFIED),
      ...others.slice(0, SUCCESSORS_NOTIFIED),
    ]);
    told.forEach(peer => next.delete(peer));
    if (next.size === 0 || told.size > MAX_PEERS_NOTIFIED || this.isClosed) {
      return;
    }
    next.forEach(peer => told.add(peer));
    const wishes = [{lifetime, word, wanted: 0}];
    await Promise.all([...next].map(peer => this.call(peer, wishes)));
    await this.announceToNext(lifetime, word, performance.now(), told);
  }
}

function toMessage(word: RateLimit, now: number): app.RateLimitMessage {
  return {
    perSecond: word.perSecond ?? null,
    ageMs: Math.max(now - word.at, 0),
  };
}

/**
 * The end of a limit counts as older than it is told by the longest time that
 * the word may have been under way: a limit that was named since isn't ended.
 */
function fromMessage(told: app.RateLimitMessage, now: number): RateLimit {
  const at = now - told.ageMs;
  return told.perSecond === null
    ? {perSecond: undefined, at: at - RPC_TIMEOUT_MS}
    : {perSecond: told.perSecond, at};
}
