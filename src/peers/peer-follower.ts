/**
 * Asks peers what the store has told them, while this process hears nothing
 * from it: one that the store turns away, or that has just started, goes on
 * with what others hear. So does one for which others watch. Where everybody
 * watches, nothing is asked in calm but a greeting now and then, so that peers
 * know of each other when it is needed.
 */
import type {QuarantineNotice} from '../crashes/quarantine';
import type {RpcClient} from '../rpc/client';
import * as app from './app';
import type {PeerBook} from './peer-book';
import type * as types from './types';

/**
 * Pause between rounds of questions, in milliseconds. A change that one
 * process hears of reaches another that hears nothing in half of it on
 * average, well within the two seconds that a site grants.
 */
const ROUND_MS = 300;
/** Peers asked in a round. */
const ASKED = 2;
/** Longest wait for an answer, in milliseconds: a round trip and some work. */
const ANSWER_MS = 250;
/**
 * And where others watch for this process: many may ask at once for a
 * configuration of some 100 KB.
 */
const WATCHER_ANSWER_MS = 600;
/**
 * Pause between greetings, in milliseconds. One costs about 1 KB; a peer that
 * has started again is known to the others after it, and who watches the store
 * for the others is agreed upon after a few.
 */
const GREETING_MS = 3_000;

/**
 * Time in which a process that has just started goes on asking until a peer has
 * answered, in milliseconds: it knows of no request that crashes targets, and
 * of no configuration that is newer than the store's.
 */
const MEETING_MS = 10_000;

/** What asking peers needs of its process. */
export interface FollowerContext {
  readonly rpc: RpcClient;
  readonly book: PeerBook;
  /** Where this process takes calls. */
  readonly from: string;
  /** True while the store itself tells nothing. */
  needsNews(now: number): boolean;
  /** Peers that watch the store for this process; none: it does itself. */
  watchers(now: number): readonly string[];
  held(): types.HeldKind[];
  /** Takes what a peer told. True where it has heard lately. */
  take(news: readonly types.KindNews[], askedAt: number): boolean;
  /** Takes what a peer knows of requests that crash targets. */
  takeConvicted(convicted: readonly QuarantineNotice[]): void;
  /** A peer answered. */
  onAnswer(): void;
}

export class PeerFollower {
  private isClosed = false;
  private greetedAt = -Infinity;
  private timer: NodeJS.Timeout | undefined;
  private readonly startedAt = performance.now();
  /** A peer has answered. */
  private hasMet = false;

  constructor(private readonly context: FollowerContext) {}

  /** Begins to ask, after a head start for the store. */
  start(): void {
    this.timer = setTimeout(() => void this.round(), ROUND_MS);
  }

  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
  }

  private async round(): Promise<void> {
    const {book} = this.context;
    const now = performance.now();
    const watcher = book.oneOf(this.context.watchers(now));
    if (watcher !== undefined) {
      await this.ask(watcher, WATCHER_ANSWER_MS);
    } else if (this.context.needsNews(now)) {
      await Promise.all(book.toAsk(ASKED).map(peer => this.ask(peer)));
    } else if (now - this.greetedAt > GREETING_MS || this.isNew(now)) {
      this.greetedAt = now;
      await Promise.all(book.toGreet().map(peer => this.ask(peer)));
    }
    if (!this.isClosed) {
      this.start();
    }
  }

  /** True for a while where no peer has answered since the start. */
  private isNew(now: number): boolean {
    return !this.hasMet && now - this.startedAt < MEETING_MS;
  }

  private async ask(peer: string, answerMs = ANSWER_MS): Promise<void> {
    const {rpc, book, from} = this.context;
    const askedAt = performance.now();
    const params = {from, held: this.context.held()};
    const answer = await rpc.call(peer, app.news, params, answerMs);
    if (this.isClosed) {
      return;
    }
    let isHelpful = false;
    if (answer.ok) {
      this.context.onAnswer();
      this.hasMet = true;
      book.learn(answer.value.peers);
      this.context.takeConvicted(answer.value.convicted);
      isHelpful = this.context.take(answer.value.kinds, askedAt);
    }
    book.note(peer, answer.ok, isHelpful);
  }
}
