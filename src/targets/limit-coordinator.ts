/**
 * Shares the rate limits of targets among peers. For each lifetime of a target
 * one process issues permits: the first responsive peer in rendezvous order. A
 * process that knows an earlier peer grants nothing and names that peer. The
 * issuer sends a heartbeat to the next ones, since views of the peers may differ.
 * No calls are made without a limited target or without peers.
 */
import type {Log} from '../observability/log';
import type {PeerRanking} from '../peers/peer-ranking';
import * as grouping from '../grouping';
import * as random from '../random';
import type {RpcClient} from '../rpc/client';
import type {RpcServer} from '../rpc/server';
import * as app from './limit-app';
import type {PeerReach} from './peer-reach';
import type {ProcessCounter} from './process-count';
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

/** Allows for a round trip and one lost packet. */
const RPC_TIMEOUT_MS = 400;
/**
 * A process that has had no contact with its known peers since its start issues
 * no permits for this long: another process may be issuing them.
 */
const FIRST_CONTACT_TIMEOUT_MS = 10_000;
/** Peers next in the order that are notified by the issuer. */
const SUCCESSORS_NOTIFIED = 2;
/** An announcement ends once it has notified more peers than this. */
const MAX_PEERS_NOTIFIED = 8;
/** Silent peers ahead in the order that are tried at a time. */
const MAX_SILENT_TRIED = 2;

export interface LimitContext {
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly peers: PeerRanking;
  readonly limits: RateLimitTracker;
  readonly log: Log;
  /** By which peers request permits from each other. */
  readonly method: typeof app.borrow;
  /**
   * Given where a limit must hold for processes that can't reach each other: the
   * issuer then calls all peers, and issues the part of those that it reaches.
   */
  readonly reach?: PeerReach;
  /**
   * Time for which a new issuer grants nothing. Shorter than the default only where
   * the rate allows for two issuers at once during that time.
   */
  readonly handoverMs?: number;
  /** Exchanged with peers in calls. */
  readonly processes?: ProcessCounter;
  /** Called when a peer reports a newer limit. */
  onChange(lifetime: string, change: LimitChange): void;
}

export class LimitCoordinator {
  private readonly issuer: PermitIssuer;
  private requestTimer: NodeJS.Timeout | undefined;
  /** Monotonic time at which the timer fires. */
  private requestTimerAt = Infinity;
  private heartbeatTimer: NodeJS.Timeout | undefined;
  private isClosed = false;
  private readonly startedAt = performance.now();
  /** A peer has answered or called. */
  private hasPeerContact = false;
  /** Monotonic time of the last attempt to make first contact. */
  private contactTriedAt = -Infinity;

  constructor(private readonly context: LimitContext) {
    this.issuer = new PermitIssuer(context.handoverMs, this.startedAt);
    context.limits.onDemand = () => this.scheduleRequests();
  }

  /** Answers peers on `server`. */
  open(server: Pick<RpcServer, 'handle'>): void {
    server.handle(this.context.method, ({from, asks, processes}) => {
      const now = performance.now();
      this.context.peers.markResponsive(from);
      this.context.reach?.note(from, now);
      this.hasPeerContact = true;
      this.context.processes?.noteMessage(processes, now);
      return {
        processes: this.context.processes?.toMessage(now),
        answers: asks.map(ask => this.handleRequest(ask, now)),
      };
    });
  }

  /** Call after this instance was suspended: others may issue permits by now. */
  handleResume(): void {
    this.context.limits.dropPermits();
    this.issuer.restart(performance.now());
  }

  close(): void {
    this.isClosed = true;
    clearTimeout(this.requestTimer);
    clearTimeout(this.heartbeatTimer);
  }

  /** Answers a peer that requests permits or reports a limit. */
  private handleRequest(
    ask: {lifetime: string; word: app.RateLimitMessage; wanted: number},
    now: number,
  ) {
    const {lifetime, wanted} = ask;
    const word = fromMessage(ask.word, now);
    const {peers} = this.context;
    this.retrySilent(lifetime, word, now);
    const {order, silent} = peers.view(lifetime, 1 + SUCCESSORS_NOTIFIED);
    const isIssuer = order[0] === peers.ownAddress;
    if (isIssuer && (wanted > 0 || this.isIssuing(lifetime))) {
      const granted = this.grant(lifetime, word, wanted, now);
      return {...granted, order, silent, word: toMessage(granted.word, now)};
    }
    if (!isIssuer) {
      this.stopIssuing(lifetime);
    }
    return {permits: 0, waitMs: 0, order, silent, word: ask.word};
  }

  private scheduleRequests(): void {
    const now = performance.now();
    const requestAt = this.context.limits.nextRequestAt(now);
    if (
      this.isClosed ||
      requestAt === undefined ||
      requestAt >= this.requestTimerAt
    ) {
      return;
    }
    clearTimeout(this.requestTimer);
    this.requestTimerAt = requestAt;
    const onTimer = () => {
      this.requestTimerAt = Infinity;
      this.sendRequests();
    };
    this.requestTimer = setTimeout(
      onTimer,
      Math.max(Math.ceil(requestAt - now), 0),
    );
    this.requestTimer.unref();
  }

  /** Requests the permits that are due from their issuers. */
  private sendRequests(): void {
    const now = performance.now();
    const requests = this.context.limits.takePermitRequests(now);
    const byIssuer = grouping.groupBy(
      requests,
      ({lifetime, word}) => this.issuerOrder(lifetime, word, now)[0]!,
    );
    for (const [issuer, batch] of byIssuer) {
      if (issuer === this.context.peers.ownAddress) {
        batch.forEach(request => this.requestFromSelf(request, now));
      } else {
        void this.requestFromPeer(issuer, batch);
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
      const granted = this.grant(lifetime, word, wanted, now);
      this.updateLimit(lifetime, granted.word);
      limits.applyGrant(lifetime, granted, now, now);
    } else {
      limits.noteRequestFailed(lifetime, now);
    }
  }

  /** True after the start while peers are known and none was in contact. */
  private isAwaitingFirstContact(now: number): boolean {
    const hasNoContact =
      !this.hasPeerContact && !this.context.peers.directory.isEmpty;
    return hasNoContact && now - this.startedAt < FIRST_CONTACT_TIMEOUT_MS;
  }

  private contactPeers(lifetime: string, word: RateLimit, now: number): void {
    if (now - this.contactTriedAt >= HEARTBEAT_INTERVAL_MS) {
      this.contactTriedAt = now;
      this.announce(lifetime, word, now);
    }
  }

  private async requestFromPeer(
    peer: string,
    requests: readonly PermitRequest[],
  ): Promise<void> {
    const {limits} = this.context;
    const requestedAt = performance.now();
    const answers = await this.call(peer, requests);
    const now = performance.now();
    requests.forEach(({lifetime}, at) => {
      const answer = answers?.[at];
      if (answer === undefined || answer.order[0] !== peer) {
        limits.noteRequestFailed(lifetime, now);
      } else {
        this.updateLimit(lifetime, fromMessage(answer.word, requestedAt));
        limits.applyGrant(lifetime, answer, requestedAt, now);
      }
    });
    this.scheduleRequests();
  }

  /** Undefined if the peer does not answer. */
  private async call(peer: string, requests: readonly PermitRequest[]) {
    const {rpc, peers, method} = this.context;
    const now = performance.now();
    const asks = requests.map(({lifetime, word, wanted}) => ({
      lifetime,
      word: toMessage(word, now),
      wanted,
    }));
    const processes = this.context.processes?.toMessage(now);
    const params = {from: peers.ownAddress, processes, asks};
    const answer = await rpc.call(peer, method, params, RPC_TIMEOUT_MS);
    if (!answer.ok) {
      peers.markUnresponsive(peer);
      return undefined;
    }
    peers.markResponsive(peer);
    this.context.reach?.note(peer, performance.now());
    this.hasPeerContact = true;
    this.context.processes?.noteMessage(
      answer.value.processes,
      performance.now(),
    );
    for (const {order, silent} of answer.value.answers) {
      // The peer counts these as responsive; the next call corrects an error.
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
   * Responsive peers for a lifetime; the first issues its permits. Also calls
   * silent peers ahead of them.
   */
  private issuerOrder(
    lifetime: string,
    word: RateLimit,
    now: number,
  ): string[] {
    this.retrySilent(lifetime, word, now);
    return this.context.peers.responsive(lifetime);
  }

  /** Calls silent peers ahead in the order, to detect their recovery. */
  private retrySilent(lifetime: string, word: RateLimit, now: number): void {
    this.context.peers
      .takeDueRetries(lifetime, now)
      .slice(0, MAX_SILENT_TRIED)
      .forEach(one => void this.call(one, [{lifetime, word, wanted: 0}]));
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
    const share = this.context.reach?.share(now);
    const granted = this.issuer.grant(lifetime, word, wanted, now, share);
    if (isNew) {
      this.context.log.event('limitLent', {
        lifetime,
        limit: word.perSecond,
        peers: this.context.peers.directory.known.length,
      });
      this.announce(lifetime, word, now);
      if (this.context.handoverMs === 0) {
        // There is no time to learn from heartbeats which peers it reaches.
        this.contactAll(lifetime, word);
      }
      this.heartbeatTimer ??= this.scheduleHeartbeat();
    }
    return granted;
  }

  private stopIssuing(lifetime: string): void {
    if (this.isIssuing(lifetime)) {
      this.issuer.stop(lifetime, performance.now());
      this.context.log.event('limitLeft', {lifetime});
    }
  }

  private scheduleHeartbeat(): NodeJS.Timeout {
    return setTimeout(() => this.heartbeat(), HEARTBEAT_INTERVAL_MS).unref();
  }

  /** Announces this process as the issuer to peers that might issue too. */
  private heartbeat(): void {
    const now = performance.now();
    const issued = this.issuer.heartbeat(now);
    issued.forEach(([lifetime, word]) => this.announce(lifetime, word, now));
    const [first] = issued;
    if (first !== undefined) {
      this.contactAll(...first);
    }
    const hasLimits = !this.isClosed && this.issuer.size > 0;
    this.heartbeatTimer = hasLimits ? this.scheduleHeartbeat() : undefined;
  }

  /** Calls all peers, if this process issues the part of those that it reaches. */
  private contactAll(lifetime: string, word: RateLimit): void {
    if (this.context.reach !== undefined) {
      const requests = [{lifetime, word, wanted: 0}];
      this.context.peers.directory.known.forEach(
        peer => void this.call(peer, requests),
      );
    }
  }

  private announce(lifetime: string, word: RateLimit, now: number): void {
    void this.announceToNext(lifetime, word, now, new Set());
  }

  /** Notifies peers, then repeats for those learned from the answers. */
  private async announceToNext(
    lifetime: string,
    word: RateLimit,
    now: number,
    notified: Set<string>,
  ): Promise<void> {
    const [first, ...others] = this.issuerOrder(lifetime, word, now);
    const {ownAddress: self} = this.context.peers;
    if (first !== self) {
      this.stopIssuing(lifetime);
      return;
    }
    // Includes silent peers: they may be issuing if this process was suspended.
    const all = this.context.peers.ranked(lifetime);
    const place = all.indexOf(self);
    const next = new Set([
      ...random.sample(all.slice(0, place), MAX_SILENT_TRIED),
      ...all.slice(place + 1, place + 1 + SUCCESSORS_NOTIFIED),
      ...others.slice(0, SUCCESSORS_NOTIFIED),
    ]);
    notified.forEach(peer => next.delete(peer));
    if (
      next.size === 0 ||
      notified.size > MAX_PEERS_NOTIFIED ||
      this.isClosed
    ) {
      return;
    }
    next.forEach(peer => notified.add(peer));
    const requests = [{lifetime, word, wanted: 0}];
    await Promise.all([...next].map(peer => this.call(peer, requests)));
    await this.announceToNext(lifetime, word, performance.now(), notified);
  }
}

function toMessage(word: RateLimit, now: number): app.RateLimitMessage {
  return {
    perSecond: word.perSecond ?? null,
    ageMs: Math.max(now - word.at, 0),
  };
}

/**
 * Ages the end of a limit by the RPC timeout, so that it can't override a limit
 * that was advertised while the message was in transit.
 */
function fromMessage(message: app.RateLimitMessage, now: number): RateLimit {
  const at = now - message.ageMs;
  return message.perSecond === null
    ? {perSecond: undefined, at: at - RPC_TIMEOUT_MS}
    : {perSecond: message.perSecond, at};
}
