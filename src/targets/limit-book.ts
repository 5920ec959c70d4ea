/**
 * What targets have named as their limits, by lifetime, and the permits that
 * this process has borrowed to send to them. Whoever chooses among targets asks
 * here: one that has named a limit gets a request for a permit and no other,
 * whatever the request and however often it was sent before. Where each process
 * kept the limit by itself, the sum would be as many times the limit as there
 * are processes. Pure over a clock reading.
 */
import * as bounded from '../bounded';
import type {LimitNamed} from '../http/server-limit';
import * as limitWords from './limit-word';
import type {LimitWord} from './limit-word';
import {PERMIT_MS} from './limit-lender';

/**
 * Lifetimes that are kept; the one heard of longest ago goes first. Source: the
 * size that decides has 3,200 targets.
 */
export const MOST_LIMITS = 4_096;
/** A wish for a permit is given up after so long, in milliseconds. */
const WANTED_MS = 1_000;
/** Permits wanted at once: what a target takes in so many seconds, or one. */
const MOST_WANTED_S = 0.25;
/** Time until a call that brought nothing is made again, in milliseconds. */
const ASK_AGAIN_MS = 100;

interface Held {
  word: LimitWord;
  /** Monotonic times until which permits hold, the first to end first. */
  permits: number[];
  wanted: number;
  wantedAt: number;
  /** Time from which on to ask for permits. */
  askAt: number;
  isAsking: boolean;
}

/** What an answer has changed. */
export type LimitChange = 'named' | 'changed' | 'ended';

/** What to ask a lender for. */
export interface Wish {
  readonly lifetime: string;
  readonly word: LimitWord;
  /** Permits; 0: only the word is to be told. */
  readonly wanted: number;
}

export class LimitBook {
  /** Called when there is something to ask a lender for. */
  onWanted: () => void = () => undefined;
  private readonly held = new Map<string, Held>();

  /**
   * Takes what an answer names. One without a limit ends it only where it was
   * asked for after the limit was last named: answers overtake each other. What
   * can't be read changes nothing.
   */
  hear(
    lifetime: string,
    named: LimitNamed,
    sentAt: number,
    now: number,
  ): LimitChange | undefined {
    switch (named.kind) {
      case 'unread':
        return undefined;
      case 'none':
        return this.learn(lifetime, {perSecond: undefined, at: sentAt});
      case 'limit':
        return this.learn(lifetime, {perSecond: named.perSecond, at: now});
    }
  }

  /** Takes what was heard here, or by another process. */
  learn(lifetime: string, word: LimitWord): LimitChange | undefined {
    const held = this.held.get(lifetime);
    const before = held?.word.perSecond;
    if (held === undefined) {
      if (word.perSecond === undefined) {
        return undefined;
      }
      this.hold(lifetime, word);
      return 'named';
    }
    held.word = limitWords.later(held.word, word);
    const after = held.word.perSecond;
    if (after === before) {
      return undefined;
    }
    if (after === undefined) {
      held.permits = [];
      held.askAt = -Infinity;
      this.onWanted();
      return 'ended';
    }
    return before === undefined ? 'named' : 'changed';
  }

  /** Milliseconds until a lifetime may be sent something; 0: it may now. */
  waitMs(lifetime: string, now: number): number {
    const held = this.held.get(lifetime);
    return held === undefined || mayGet(held, now)
      ? 0
      : Math.max(held.askAt - now, 1);
  }

  /** Those of some targets that may be sent something. */
  open<T>(
    targets: readonly T[],
    lifetimeOf: (target: T) => string,
    now: number,
  ): readonly T[] {
    return this.held.size === 0
      ? targets
      : targets.filter(target => this.waitMs(lifetimeOf(target), now) === 0);
  }

  /** True where a permit is held that will be lost if it isn't used. */
  hasPermit(lifetime: string, now: number): boolean {
    const held = this.held.get(lifetime);
    return held !== undefined && isLimited(held) && mayGet(held, now);
  }

  /** Requests a second that a lifetime takes; undefined: it names no limit. */
  perSecond(lifetime: string): number | undefined {
    return this.held.get(lifetime)?.word.perSecond;
  }

  /** Notes that a request goes to a lifetime. */
  noteSent(lifetime: string, now: number): void {
    const held = this.held.get(lifetime);
    if (held !== undefined) {
      held.permits = held.permits.filter(until => until > now).slice(1);
    }
  }

  /** A request might go to any of some lifetimes, if there are permits. */
  want(lifetimes: Iterable<string>, now: number): void {
    if (this.held.size === 0) {
      return;
    }
    let isNew = false;
    for (const lifetime of lifetimes) {
      const held = this.held.get(lifetime);
      if (held !== undefined && isLimited(held) && !mayGet(held, now)) {
        held.wanted = isWanted(held, now) ? held.wanted + 1 : 1;
        held.wantedAt = now;
        isNew = true;
      }
    }
    if (isNew) {
      this.onWanted();
    }
  }

  /** When to ask a lender next; undefined: nothing is wanted. */
  nextAskAt(now: number): number | undefined {
    const wanting = [...this.held.values()].filter(one => isDue(one, now));
    return wanting.length === 0
      ? undefined
      : Math.min(...wanting.map(({askAt}) => askAt));
  }

  /** What to ask lenders for now; each is then being asked for. */
  takeWishes(now: number): Wish[] {
    const wishes: Wish[] = [];
    for (const [lifetime, held] of this.held) {
      if (isDue(held, now) && held.askAt <= now) {
        held.isAsking = true;
        const {word} = held;
        const most = Math.max((word.perSecond ?? 0) * MOST_WANTED_S, 1);
        const wanted = isLimited(held) ? Math.min(held.wanted, most) : 0;
        wishes.push({lifetime, word, wanted: Math.floor(wanted)});
      }
    }
    return wishes;
  }

  /** A lender has answered what was asked at `askedAt`. */
  noteLent(
    lifetime: string,
    lent: {permits: number; waitMs: number},
    askedAt: number,
    now: number,
  ): void {
    const held = this.held.get(lifetime);
    if (held === undefined) {
      return;
    }
    held.isAsking = false;
    if (!isLimited(held)) {
      // The end has been told, so that nothing is left to remember.
      this.held.delete(lifetime);
      return;
    }
    const until = askedAt + PERMIT_MS;
    held.permits = held.permits.filter(at => at > now);
    for (let at = 0; at < lent.permits; at += 1) {
      held.permits.push(until);
    }
    held.wanted = Math.max(held.wanted - lent.permits, 0);
    held.askAt = now + lent.waitMs;
  }

  /** A call to a lender brought nothing, or the name of another one. */
  noteFailed(lifetime: string, now: number): void {
    const held = this.held.get(lifetime);
    if (held === undefined) {
      return;
    }
    held.isAsking = false;
    held.askAt = now + ASK_AGAIN_MS;
    if (!isLimited(held)) {
      // Others find out by themselves.
      this.held.delete(lifetime);
    }
  }

  /** This instance was suspended: permits of before may be others' by now. */
  dropPermits(): void {
    this.held.forEach(held => (held.permits = []));
  }

  /** A lifetime is over. */
  forget(lifetime: string): void {
    this.held.delete(lifetime);
  }

  get size(): number {
    return this.held.size;
  }

  private hold(lifetime: string, word: LimitWord): void {
    this.held.set(lifetime, {
      word,
      permits: [],
      wanted: 0,
      wantedAt: -Infinity,
      askAt: -Infinity,
      isAsking: false,
    });
    bounded.dropOldest(this.held, MOST_LIMITS);
  }
}

function isLimited(held: Held): boolean {
  return held.word.perSecond !== undefined;
}

function mayGet(held: Held, now: number): boolean {
  return !isLimited(held) || held.permits.some(until => until > now);
}

function isWanted(held: Held, now: number): boolean {
  return held.wanted > 0 && now - held.wantedAt < WANTED_MS;
}

/** A lender is to be asked for permits, or told that the limit has ended. */
function isDue(held: Held, now: number): boolean {
  return !held.isAsking && (!isLimited(held) || isWanted(held, now));
}
