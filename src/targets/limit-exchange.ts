/**
 * Agrees with peers on who may send to targets that have named a limit. For each
 * lifetime of a target one process lends, the first in an order that all work
 * out alike from the peers that they know and that answer. Views may differ: who
 * is asked and knows of one that comes before it names that one and lends
 * nothing, and who lends tells the next in the order once a second. Nothing is
 * called where no target has a limit, nor where there are no peers.
 */
import type {Log} from '../observability/log';
import type {PeerOrder} from '../peers/peer-order';
import * as grouping from '../grouping';
import * as random from '../random';
import type {RpcClient} from '../rpc/client';
import type {RpcServer} from '../rpc/server';
import * as app from './limit-app';
import type {LimitBook, LimitChange, Wish} from './limit-book';
import {BEAT_MS, Lent, LimitLender} from './limit-lender';
import type {LimitWord} from './limit-word';

/** Longest wait for an answer, in milliseconds: a round trip, a lost packet. */
const ANSWER_MS = 400;
/**
 * Time in which a process that has just started and has met no peer yet lends
 * nothing, in milliseconds: those that it knows of may be in trouble, and the
 * others don't know of it.
 */
const ALONE_MS = 10_000;
/** Processes that who lends tells of it: those that might lend otherwise. */
const TOLD = 2;
/** And those that it tells in one turn, as it learns of others. */
const MOST_TOLD = 8;
/** Peers that are silent and might lend, tried in one turn. */
const MOST_TRIED = 2;

/** What agreeing with peers needs of its process. */
export interface ExchangeContext {
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly peers: PeerOrder;
  readonly limits: LimitBook;
  readonly log: Log;
  /** A peer knew more of a target's limit. */
  onChange(lifetime: string, change: LimitChange): void;
}

export class LimitExchange {
  private readonly lender = new LimitLender();
  private askTimer: NodeJS.Timeout | undefined;
  /** Monotonic time at which the timer fires. */
  private askTimerAt = Infinity;
  private beatTimer: NodeJS.Timeout | undefined;
  private isClosed = false;
  private readonly startedAt = performance.now();
  /** A peer has answered or called. */
  private hasMet = false;
  /** When a newcomer last called peers. */
  private metAt = -Infinity;

  constructor(private readonly context: ExchangeContext) {
    context.limits.onWanted = () => this.plan();
  }

  /** Answers peers on `server`. */
  open(server: Pick<RpcServer, 'handle'>): void {
    server.handle(app.borrow, ({from, asks}) => {
      const now = performance.now();
      this.context.peers.noteHeard(from);
      this.hasMet = true;
      return {answers: asks.map(ask => this.answer(ask, now))};
    });
  }

  /** This instance was suspended. */
  beginAgain(): void {
    this.context.limits.dropPermits();
    this.lender.beginAgain(performance.now());
  }

  close(): void {
    this.isClosed = true;
    clearTimeout(this.askTimer);
    clearTimeout(this.beatTimer);
  }

  /** Answers a peer that wants permits, or tells of a limit. */
  private answer(
    ask: {lifetime: string; word: app.WordToldByCall; wanted: number},
    now: number,
  ) {
    const {lifetime, wanted} = ask;
    const word = wordFrom(ask.word, now);
    const {peers} = this.context;
    const order = this.order(lifetime, word, now).slice(0, 1 + TOLD);
    const silent = peers
      .ranked(lifetime)
      .slice(0, 1 + TOLD)
      .filter(one => peers.isSilent(one));
    const isOwn = order[0] === peers.own;
    if (isOwn && (wanted > 0 || this.lends(lifetime))) {
      const lent = this.lend(lifetime, word, wanted, now);
      return {...lent, order, silent, word: wordFor(lent.word, now)};
    }
    if (!isOwn) {
      this.leave(lifetime);
    }
    return {permits: 0, waitMs: 0, order, silent, word: ask.word};
  }

  /** Sets the timer for what is wanted next. */
  private plan(): void {
    const now = performance.now();
    const askAt = this.context.limits.nextAskAt(now);
    if (this.isClosed || askAt === undefined || askAt >= this.askTimerAt) {
      return;
    }
    clearTimeout(this.askTimer);
    this.askTimerAt = askAt;
    const turn = () => {
      this.askTimerAt = Infinity;
      this.ask();
    };
    this.askTimer = setTimeout(turn, Math.max(Math.ceil(askAt - now), 0));
    this.askTimer.unref();
  }

  /** Asks lenders for what is wanted by now. */
  private ask(): void {
    const now = performance.now();
    const wishes = this.context.limits.takeWishes(now);
    const byLender = grouping.groupBy(
      wishes,
      ({lifetime, word}) => this.order(lifetime, word, now)[0]!,
    );
    for (const [lender, some] of byLender) {
      if (lender === this.context.peers.own) {
        some.forEach(wish => this.askOneself(wish, now));
      } else {
        void this.askPeer(lender, some);
      }
    }
    this.plan();
  }

  private askOneself({lifetime, word, wanted}: Wish, now: number): void {
    const {limits} = this.context;
    if (this.isNewcomer(now)) {
      this.meet(lifetime, word, now);
      limits.noteFailed(lifetime, now);
    } else if (wanted > 0 || this.lends(lifetime)) {
      const lent = this.lend(lifetime, word, wanted, now);
      this.learn(lifetime, lent.word);
      limits.noteLent(lifetime, lent, now, now);
    } else {
      limits.noteFailed(lifetime, now);
    }
  }

  /** True while it knows of peers and has not met one yet, for some time. */
  private isNewcomer(now: number): boolean {
    const isAlone = !this.hasMet && !this.context.peers.book.isEmpty;
    return isAlone && now - this.startedAt < ALONE_MS;
  }

  /** Calls those that may lend now. */
  private meet(lifetime: string, word: LimitWord, now: number): void {
    if (now - this.metAt >= BEAT_MS) {
      this.metAt = now;
      this.tell(lifetime, word, now);
    }
  }

  private async askPeer(peer: string, wishes: readonly Wish[]): Promise<void> {
    const {limits} = this.context;
    const askedAt = performance.now();
    const answers = await this.call(peer, wishes);
    const now = performance.now();
    wishes.forEach(({lifetime}, at) => {
      const answer = answers?.[at];
      if (answer === undefined || answer.order[0] !== peer) {
        limits.noteFailed(lifetime, now);
      } else {
        this.learn(lifetime, wordFrom(answer.word, askedAt));
        limits.noteLent(lifetime, answer, askedAt, now);
      }
    });
    this.plan();
  }

  /** Undefined where the peer does not answer. */
  private async call(peer: string, wishes: readonly Wish[]) {
    const {rpc, peers} = this.context;
    const now = performance.now();
    const asks = wishes.map(({lifetime, word, wanted}) => ({
      lifetime,
      word: wordFor(word, now),
      wanted,
    }));
    const params = {from: peers.own, asks};
    const answer = await rpc.call(peer, app.borrow, params, ANSWER_MS);
    if (!answer.ok) {
      peers.noteSilent(peer);
      return undefined;
    }
    peers.noteHeard(peer);
    this.hasMet = true;
    for (const {order, silent} of answer.value.answers) {
      // The peer hears from them; where it is wrong, the next call shows.
      peers.noteHeard(...order);
      peers.book.learn(silent);
    }
    return answer.value.answers;
  }

  private learn(lifetime: string, word: LimitWord): void {
    const change = this.context.limits.learn(lifetime, word);
    if (change !== undefined) {
      this.context.onChange(lifetime, change);
    }
  }

  /**
   * Who lends for a lifetime, the first one first. Silent ones that would come
   * before are tried beside, so that they come back.
   */
  private order(lifetime: string, word: LimitWord, now: number): string[] {
    const {peers} = this.context;
    peers
      .takeTrials(lifetime, now)
      .slice(0, MOST_TRIED)
      .forEach(one => void this.call(one, [{lifetime, word, wanted: 0}]));
    return peers.answering(lifetime);
  }

  private lends(lifetime: string): boolean {
    return this.lender.isLending(lifetime);
  }

  private lend(
    lifetime: string,
    word: LimitWord,
    wanted: number,
    now: number,
  ): Lent {
    const isNew = !this.lends(lifetime);
    const lent = this.lender.lend(lifetime, word, wanted, now);
    if (isNew) {
      this.context.log.event('limitLent', {
        lifetime,
        limit: word.perSecond,
        peers: this.context.peers.book.known.length,
      });
      this.tell(lifetime, word, now);
      this.beatTimer ??= this.nextBeat();
    }
    return lent;
  }

  /** Another process lends for a target. */
  private leave(lifetime: string): void {
    if (this.lends(lifetime)) {
      this.lender.leave(lifetime);
      this.context.log.event('limitLeft', {lifetime});
    }
  }

  private nextBeat(): NodeJS.Timeout {
    return setTimeout(() => this.beat(), BEAT_MS).unref();
  }

  /** Tells those that might lend otherwise that this process does. */
  private beat(): void {
    const now = performance.now();
    for (const [lifetime, word] of this.lender.beat(now)) {
      this.tell(lifetime, word, now);
    }
    const isLending = !this.isClosed && this.lender.size > 0;
    this.beatTimer = isLending ? this.nextBeat() : undefined;
  }

  private tell(lifetime: string, word: LimitWord, now: number): void {
    void this.tellNext(lifetime, word, now, new Set());
  }

  /** Those that are told name others that may lend, and these are told too. */
  private async tellNext(
    lifetime: string,
    word: LimitWord,
    now: number,
    told: Set<string>,
  ): Promise<void> {
    const [first, ...others] = this.order(lifetime, word, now);
    const {own} = this.context.peers;
    if (first !== own) {
      this.leave(lifetime);
      return;
    }
    // Silent ones too: those that this process lost as it froze may be lending.
    const all = this.context.peers.ranked(lifetime);
    const place = all.indexOf(own);
    const next = new Set([
      ...random.sample(all.slice(0, place), MOST_TRIED),
      ...all.slice(place + 1, place + 1 + TOLD),
      ...others.slice(0, TOLD),
    ]);
    told.forEach(peer => next.delete(peer));
    if (next.size === 0 || told.size > MOST_TOLD || this.isClosed) {
      return;
    }
    next.forEach(peer => told.add(peer));
    const wishes = [{lifetime, word, wanted: 0}];
    await Promise.all([...next].map(peer => this.call(peer, wishes)));
    await this.tellNext(lifetime, word, performance.now(), told);
  }
}

function wordFor(word: LimitWord, now: number): app.WordToldByCall {
  return {
    perSecond: word.perSecond ?? null,
    ageMs: Math.max(now - word.at, 0),
  };
}

/**
 * The end of a limit counts as older than it is told by the longest time that
 * the word may have been under way: a limit that was named since isn't ended.
 */
function wordFrom(told: app.WordToldByCall, now: number): LimitWord {
  const at = now - told.ageMs;
  return told.perSecond === null
    ? {perSecond: undefined, at: at - ANSWER_MS}
    : {perSecond: told.perSecond, at};
}
