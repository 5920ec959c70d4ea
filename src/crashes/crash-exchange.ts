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
import type {PeerOrder} from '../peers/peer-order';
import type {RpcClient} from '../rpc/client';
import type {RpcServer} from '../rpc/server';
import * as app from './app';
import {Convictions, ConvictionTold, CONVICTED_MS} from './convictions';
import * as crashCheck from './crash-check';
import {SuspectBook} from './suspect-book';

/** Longest wait for an answer, in milliseconds: a round trip, a lost packet. */
const ANSWER_MS = 400;
/** Calls of one message to one peer, at most. */
const MOST_TRIES = 3;
/** Requests lost with a target so long ago went down with it, in milliseconds. */
const SAME_CRASH_MS = 1_000;
/** Time between two words that a suspect is served, in milliseconds. */
const SERVED_AGAIN_MS = 1_000;

/** What finding them needs of its process. */
export interface CrashContext {
  readonly rpc: RpcClient;
  readonly peers: PeerOrder;
  readonly log: Log;
}

/** Requests that were lost with one lifetime of a target. */
interface Loss {
  readonly digests: Set<string>;
  readonly at: number;
  isCrash: boolean;
}

export class CrashExchange {
  /** Those that this entry judges. */
  private readonly judged = new SuspectBook();
  /** Those that this entry has lost, and when it last told of one served. */
  private readonly own = new SuspectBook();
  private readonly servedAt = new Map<string, number>();
  private readonly convictions = new Convictions();
  private readonly losses = new Map<string, Loss>();
  private isClosed = false;

  constructor(private readonly context: CrashContext) {}

  /** Answers peers on `server`. */
  open(server: RpcServer): void {
    server.handle(app.report, ({from, reports}) => {
      this.context.peers.noteHeard(from);
      reports.forEach(one => this.judge(one));
      return {};
    });
    server.handle(app.convict, ({from, convicted}) => {
      this.context.peers.noteHeard(from);
      this.take(convicted);
      return {};
    });
  }

  close(): void {
    this.isClosed = true;
  }

  /** True where a request may be known; else no digest is needed. */
  get isActive(): boolean {
    const now = performance.now();
    return !this.own.isEmpty(now) || !this.convictions.isEmpty(now);
  }

  /** True where a request that has come is to be refused. */
  refuses(digest: string): boolean {
    const now = performance.now();
    const isRefused = this.convictions.takeRefusal(digest, now);
    if (isRefused && this.convictions.takeTelling(digest, now)) {
      void this.tellAll([{digest, leftMs: CONVICTED_MS}]);
    }
    return isRefused;
  }

  /** The connection that carried a request to a target was lost. */
  noteLost(target: Target, digest: string): void {
    const now = performance.now();
    const {lifetime} = target;
    const before = this.losses.get(lifetime);
    if (before !== undefined && now - before.at < SAME_CRASH_MS) {
      before.digests.add(digest);
      if (before.isCrash) {
        this.report([{digest, lifetime}]);
      }
      return;
    }
    const loss = {digests: new Set([digest]), at: now, isCrash: false};
    this.losses.set(lifetime, loss);
    setTimeout(() => this.losses.delete(lifetime), SAME_CRASH_MS).unref();
    void this.check(target, loss);
  }

  /** A request was served. */
  noteServed(digest: string): void {
    const now = performance.now();
    const toldAt = this.servedAt.get(digest) ?? -Infinity;
    if (this.own.isSuspect(digest, now) && now - toldAt > SERVED_AGAIN_MS) {
      this.servedAt.set(digest, now);
      setTimeout(() => this.servedAt.delete(digest), SERVED_AGAIN_MS).unref();
      this.report([{digest, lifetime: null}]);
    }
  }

  /** What a process that has just started should know. */
  toTell(): ConvictionTold[] {
    return this.convictions.toTell(performance.now());
  }

  /** Takes what a peer knows to be guilty. */
  take(convicted: readonly ConvictionTold[]): void {
    const now = performance.now();
    for (const {digest, leftMs} of convicted) {
      if (this.convictions.convict(digest, leftMs, now)) {
        this.context.log.event('requestConvicted', {digest, by: 'peer'});
      }
    }
  }

  private async check(target: Target, loss: Loss): Promise<void> {
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
        this.own.noteCrash(digest, lifetime, now);
      }
    }
    const byJudge = grouping.groupBy(
      reports,
      ({digest}) => peers.answering(digest)[0]!,
    );
    for (const [judge, some] of byJudge) {
      if (judge === peers.own) {
        some.forEach(one => this.judge(one));
      } else {
        void this.send(judge, some);
      }
    }
  }

  private async send(
    judge: string,
    reports: readonly app.Report[],
  ): Promise<void> {
    const {rpc, peers} = this.context;
    const params = {from: peers.own, reports: [...reports]};
    const answer = await rpc.call(judge, app.report, params, ANSWER_MS);
    if (answer.ok) {
      peers.noteHeard(judge);
    } else if (!this.isClosed) {
      // The next one judges; two that both do convict nobody too early.
      peers.noteSilent(judge);
      this.report(reports);
    }
  }

  private judge({digest, lifetime}: app.Report): void {
    const now = performance.now();
    if (lifetime === null) {
      this.judged.noteServed(digest, now);
      return;
    }
    this.judged.noteCrash(digest, lifetime, now);
    if (this.judged.isGuilty(digest, now)) {
      const leftMs = CONVICTED_MS;
      if (this.convictions.convict(digest, leftMs, now)) {
        this.context.log.event('requestConvicted', {digest, by: 'crashes'});
      }
      void this.tellAll([{digest, leftMs}]);
    }
  }

  private async tellAll(convicted: readonly ConvictionTold[]): Promise<void> {
    const {book} = this.context.peers;
    await Promise.all(book.known.map(peer => this.tell(peer, convicted)));
  }

  private async tell(
    peer: string,
    convicted: readonly ConvictionTold[],
  ): Promise<void> {
    const {rpc, peers} = this.context;
    const params = {from: peers.own, convicted: [...convicted]};
    for (let tries = 0; tries < MOST_TRIES && !this.isClosed; tries += 1) {
      const answer = await rpc.call(peer, app.convict, params, ANSWER_MS);
      if (answer.ok) {
        peers.noteHeard(peer);
        return;
      }
    }
  }
}
