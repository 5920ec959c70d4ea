/**
 * Lends what targets take among the processes that send to them. One process
 * lends for a target; the others send only what they have borrowed. So the sum
 * stays under the limit though nobody knows what the others send, and what is
 * lent goes where the requests are. Pure over a clock reading.
 *
 * Who begins to lend waits first: the one that lent before has been told by
 * then, and what it had lent has run out. So does one that has been frozen.
 */
import * as bounded from '../bounded';
import * as limitWords from './limit-word';
import type {LimitWord} from './limit-word';

/** Time for which a permit holds, in milliseconds, from when it was asked for. */
export const PERMIT_MS = 1_000;
/**
 * Wait of a process that begins to lend, in milliseconds: that of a permit, and
 * of a call that tells the one that lent before.
 */
export const HANDOVER_MS = 1_500;
/** Time between two signs of life of a process that lends, in milliseconds. */
export const BEAT_MS = 1_000;
/** Time without one after which others may have begun to lend. */
const FROZEN_MS = 1.4 * BEAT_MS;
/** Time after which nobody is taken to want permits of a target any more. */
const KEEP_MS = 30_000;
/**
 * Permits that gather while nobody asks: what a target takes in so much time,
 * in seconds, and at least one.
 */
const DEPTH_S = 0.25;
/**
 * Requests a second that are sent to a target that takes fewer: one that gets
 * nothing can't say that it takes more again.
 */
const TRIAL_PER_SECOND = 0.05;
/**
 * Longest time after which who got too little asks again, in milliseconds, and
 * the shortest.
 */
const LONGEST_WAIT_MS = 1_000;
const SHORTEST_WAIT_MS = 50;
/** Targets for which one process lends. Source: as `MOST_RESTS`. */
const MOST_LOANS = 4_096;
const SECOND_MS = 1_000;

interface Loan {
  word: LimitWord;
  /** Monotonic time from which on permits are lent. */
  opensAt: number;
  /** Permits that may be lent, as of `filledAt`. */
  permits: number;
  filledAt: number;
  askedAt: number;
}

/** What a borrower gets. */
export interface Lent {
  readonly permits: number;
  /** Milliseconds after which to ask again. */
  readonly waitMs: number;
  readonly word: LimitWord;
}

export class LimitLender {
  private readonly loans = new Map<string, Loan>();
  private beatAt = -Infinity;

  /**
   * Lends up to `wanted` permits for a lifetime of a target; `word` is what the
   * borrower knows of its limit.
   */
  lend(lifetime: string, word: LimitWord, wanted: number, now: number): Lent {
    if (now - this.beatAt > FROZEN_MS) {
      this.beginAgain(now);
    }
    const loan = this.loanOf(lifetime, word, now);
    loan.word = limitWords.later(loan.word, word);
    loan.askedAt = now;
    const {perSecond} = loan.word;
    if (perSecond === undefined) {
      return {permits: 0, waitMs: 0, word: loan.word};
    }
    const rate = Math.max(perSecond, TRIAL_PER_SECOND);
    fill(loan, rate, now);
    const permits = Math.min(Math.floor(loan.permits), wanted);
    loan.permits -= permits;
    const untilNext = (Math.max(1 - loan.permits, 0) * SECOND_MS) / rate;
    const waitMs = Math.max(loan.opensAt - now, 0) + untilNext;
    return {permits, waitMs: withinBounds(waitMs), word: loan.word};
  }

  /** True while it lends for a lifetime of a target. */
  isLending(lifetime: string): boolean {
    return this.loans.has(lifetime);
  }

  /** Another process lends from now on. */
  leave(lifetime: string): void {
    this.loans.delete(lifetime);
  }

  /**
   * A sign of life: answers the lifetimes for which it lends, with what is
   * known of their limits.
   */
  beat(now: number): ReadonlyArray<readonly [string, LimitWord]> {
    if (now - this.beatAt > FROZEN_MS) {
      this.beginAgain(now);
    }
    this.beatAt = now;
    for (const [lifetime, loan] of this.loans) {
      if (now - loan.askedAt > KEEP_MS) {
        this.loans.delete(lifetime);
      }
    }
    return [...this.loans].map(([lifetime, {word}]) => [lifetime, word]);
  }

  /** Others may have begun to lend: whoever was suspended waits as at first. */
  beginAgain(now: number): void {
    this.beatAt = now;
    this.loans.forEach(loan => close(loan, now));
  }

  get size(): number {
    return this.loans.size;
  }

  private loanOf(lifetime: string, word: LimitWord, now: number): Loan {
    let loan = this.loans.get(lifetime);
    if (loan === undefined) {
      loan = {word, opensAt: 0, permits: 0, filledAt: 0, askedAt: now};
      close(loan, now);
      this.loans.set(lifetime, loan);
      bounded.dropOldest(this.loans, MOST_LOANS);
    }
    return loan;
  }
}

/** Nothing is lent for a while, and nothing has gathered after it. */
function close(loan: Loan, now: number): void {
  loan.opensAt = now + HANDOVER_MS;
  loan.filledAt = loan.opensAt;
  loan.permits = 0;
}

function fill(loan: Loan, rate: number, now: number): void {
  const sinceMs = Math.max(now - loan.filledAt, 0);
  const depth = Math.max(rate * DEPTH_S, 1);
  loan.permits = Math.min(loan.permits + (rate * sinceMs) / SECOND_MS, depth);
  loan.filledAt = Math.max(now, loan.filledAt);
}

function withinBounds(waitMs: number): number {
  return Math.min(Math.max(waitMs, SHORTEST_WAIT_MS), LONGEST_WAIT_MS);
}
