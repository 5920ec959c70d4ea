/**
 * What targets have named as their limits, by lifetime, and the permits that
 * this process has borrowed to send to them. Whoever chooses among targets asks
 * here: one that has named a limit gets a request for a permit and no other,
 * whatever the request and however often it was sent before. Where each process
 * kept the limit by itself, the sum would be as many times the limit as there
 * are processes. Pure over a clock reading.
 */
import * as bounded from '../bounded';
import type {RateLimitHeader} from '../http/server-limit';
import * as limitWords from './rate-limit';
import type {RateLimit} from './rate-limit';
import {PERMIT_TTL_MS} from './permit-issuer';

/**
 * Lifetimes that are kept; the one heard of longest ago goes first. Source: the
 * size that decides has 3,200 targets.
 */
export const MAX_LIMITS = 4_096;
/** A wish for a permit is given up after so long, in milliseconds. */
const DEMAND_TTL_MS = 1_000;
/** Permits wanted at once: what a target takes in so many seconds, or one. */
const MAX_REQUESTED_S = 0.25;
/** Time until a call that brought nothing is made again, in milliseconds. */
const RETRY_DELAY_MS = 100;

interface LimitState {
  limit: RateLimit;
  /** Monotonic times until which permits hold, the first to end first. */
  permitExpiries: number[];
  wanted: number;
  wantedAt: number;
  /** Time from which on to ask for permits. */
  requestAt: number;
  isRequesting: boolean;
}

/** What an answer has changed. */
export type LimitChange = 'named' | 'changed' | 'ended';

/** What to ask a lender for. */
export interface PermitRequest {
  readonly lifetime: string;
  readonly word: RateLimit;
  /** Permits; 0: only the word is to be told. */
  readonly wanted: number;
}

export class RateLimitTracker {
  /** Called when there is something to ask a lender for. */
  onDemand: () => void = () => undefined;
  private readonly states = new Map<string, LimitState>();

  /**
   * Takes what an answer names. One without a limit ends it only where it was
   * asked for after the limit was last named: answers overtake each other. What
   * can't be read changes nothing.
   */
  applyAdvertised(
    lifetime: string,
    named: RateLimitHeader,
    sentAt: number,
    now: number,
  ): LimitChange | undefined {
    switch (named.kind) {
      case 'unread':
        return undefined;
      case 'none':
        return this.update(lifetime, {perSecond: undefined, at: sentAt});
      case 'limit':
        return this.update(lifetime, {perSecond: named.perSecond, at: now});
    }
  }

  /** Takes what was heard here, or by another process. */
  update(lifetime: string, word: RateLimit): LimitChange | undefined {
    const held = this.states.get(lifetime);
    const before = held?.limit.perSecond;
    if (held === undefined) {
      if (word.perSecond === undefined) {
        return undefined;
      }
      this.add(lifetime, word);
      return 'named';
    }
    held.limit = limitWords.newer(held.limit, word);
    const after = held.limit.perSecond;
    if (after === before) {
      return undefined;
    }
    if (after === undefined) {
      held.permitExpiries = [];
      held.requestAt = -Infinity;
      this.onDemand();
      return 'ended';
    }
    return before === undefined ? 'named' : 'changed';
  }

  /** Milliseconds until a lifetime may be sent something; 0: it may now. */
  waitMs(lifetime: string, now: number): number {
    const held = this.states.get(lifetime);
    return held === undefined || canSend(held, now)
      ? 0
      : Math.max(held.requestAt - now, 1);
  }

  /** Those of some targets that may be sent something. */
  filterAvailable<T>(
    targets: readonly T[],
    lifetimeOf: (target: T) => string,
    now: number,
  ): readonly T[] {
    return this.states.size === 0
      ? targets
      : targets.filter(target => this.waitMs(lifetimeOf(target), now) === 0);
  }

  /** True where a permit is held that will be lost if it isn't used. */
  hasPermit(lifetime: string, now: number): boolean {
    const held = this.states.get(lifetime);
    return held !== undefined && isLimited(held) && canSend(held, now);
  }

  /** Requests a second that a lifetime takes; undefined: it names no limit. */
  perSecond(lifetime: string): number | undefined {
    return this.states.get(lifetime)?.limit.perSecond;
  }

  /** Notes that a request goes to a lifetime. */
  noteSent(lifetime: string, now: number): void {
    const held = this.states.get(lifetime);
    if (held !== undefined) {
      held.permitExpiries = held.permitExpiries
        .filter(until => until > now)
        .slice(1);
    }
  }

  /** A request might go to any of some lifetimes, if there are permits. */
  requestPermits(lifetimes: Iterable<string>, now: number): void {
    if (this.states.size === 0) {
      return;
    }
    let isNew = false;
    for (const lifetime of lifetimes) {
      const held = this.states.get(lifetime);
      if (held !== undefined && isLimited(held) && !canSend(held, now)) {
        held.wanted = hasDemand(held, now) ? held.wanted + 1 : 1;
        held.wantedAt = now;
        isNew = true;
      }
    }
    if (isNew) {
      this.onDemand();
    }
  }

  /** When to ask a lender next; undefined: nothing is wanted. */
  nextRequestAt(now: number): number | undefined {
    const wanting = [...this.states.values()].filter(one =>
      isRequestDue(one, now),
    );
    return wanting.length === 0
      ? undefined
      : Math.min(...wanting.map(({requestAt: askAt}) => askAt));
  }

  /** What to ask lenders for now; each is then being asked for. */
  takePermitRequests(now: number): PermitRequest[] {
    const wishes: PermitRequest[] = [];
    for (const [lifetime, held] of this.states) {
      if (isRequestDue(held, now) && held.requestAt <= now) {
        held.isRequesting = true;
        const {limit: word} = held;
        const most = Math.max((word.perSecond ?? 0) * MAX_REQUESTED_S, 1);
        const wanted = isLimited(held) ? Math.min(held.wanted, most) : 0;
        wishes.push({lifetime, word, wanted: Math.floor(wanted)});
      }
    }
    return wishes;
  }

  /** A lender has answered what was asked at `askedAt`. */
  applyGrant(
    lifetime: string,
    lent: {permits: number; waitMs: number},
    askedAt: number,
    now: number,
  ): void {
    const held = this.states.get(lifetime);
    if (held === undefined) {
      return;
    }
    held.isRequesting = false;
    if (!isLimited(held)) {
      // The end has been told, so that nothing is left to remember.
      this.states.delete(lifetime);
      return;
    }
    const until = askedAt + PERMIT_TTL_MS;
    held.permitExpiries = held.permitExpiries.filter(at => at > now);
    for (let at = 0; at < lent.permits; at += 1) {
      held.permitExpiries.push(until);
    }
    held.wanted = Math.max(held.wanted - lent.permits, 0);
    held.requestAt = now + lent.waitMs;
  }

  /** A call to a lender brought nothing, or the name of another one. */
  noteRequestFailed(lifetime: string, now: number): void {
    const held = this.states.get(lifetime);
    if (held === undefined) {
      return;
    }
    held.isRequesting = false;
    held.requestAt = now + RETRY_DELAY_MS;
    if (!isLimited(held)) {
      // Others find out by themselves.
      this.states.delete(lifetime);
    }
  }

  /** This instance was suspended: permits of before may be others' by now. */
  dropPermits(): void {
    this.states.forEach(held => (held.permitExpiries = []));
  }

  /** A lifetime is over. */
  forget(lifetime: string): void {
    this.states.delete(lifetime);
  }

  get size(): number {
    return this.states.size;
  }

  private add(lifetime: string, word: RateLimit): void {
    this.states.set(lifetime, {
      limit: word,
      permitExpiries: [],
      wanted: 0,
      wantedAt: -Infinity,
      requestAt: -Infinity,
      isRequesting: false,
    });
    bounded.dropOldest(this.states, MAX_LIMITS);
  }
}

function isLimited(held: LimitState): boolean {
  return held.limit.perSecond !== undefined;
}

function canSend(held: LimitState, now: number): boolean {
  return !isLimited(held) || held.permitExpiries.some(until => until > now);
}

function hasDemand(held: LimitState, now: number): boolean {
  return held.wanted > 0 && now - held.wantedAt < DEMAND_TTL_MS;
}

/** A lender is to be asked for permits, or told that the limit has ended. */
function isRequestDue(held: LimitState, now: number): boolean {
  return !held.isRequesting && (!isLimited(held) || hasDemand(held, now));
}
