/**
 * Rate limits advertised by targets, by lifetime, and the permits granted to this
 * process. Each request to a limited target uses one permit, retries included, so
 * that all processes together keep to the limit. Takes the time as an argument.
 */
import * as bounded from '../bounded';
import type {RateLimitHeader} from '../http/server-limit';
import * as rateLimits from './rate-limit';
import type {RateLimit} from './rate-limit';
import {PERMIT_TTL_MS} from './permit-issuer';

/**
 * The lifetime that was added first is dropped first. Sized for sites of 3,200
 * targets.
 */
export const MAX_LIMITS = 4_096;
/** Demand that is not renewed expires after this time. */
const DEMAND_TTL_MS = 1_000;
/** Caps a request for permits to the limit over this time, at least one. */
const MAX_REQUESTED_S = 0.25;
const RETRY_DELAY_MS = 100;

interface LimitState {
  limit: RateLimit;
  /** Monotonic times at which permits expire, in ascending order. */
  permitExpiries: number[];
  wanted: number;
  wantedAt: number;
  /** Monotonic time of the next request for permits. */
  requestAt: number;
  isRequesting: boolean;
}

export type LimitChange = 'named' | 'changed' | 'ended';

/** A request to the issuer of a lifetime's permits. */
export interface PermitRequest {
  readonly lifetime: string;
  readonly word: RateLimit;
  /** Number of permits; 0 only reports the limit. */
  readonly wanted: number;
}

export class RateLimitTracker {
  /** Called when permits are to be requested. */
  onDemand: () => void = () => undefined;
  /** Called when permits have been granted for a lifetime. */
  onGrant: (lifetime: string) => void = () => undefined;
  private readonly states = new Map<string, LimitState>();

  /** `permitTtlMs`: validity of a permit, counted from its request. */
  constructor(private readonly permitTtlMs = PERMIT_TTL_MS) {}

  /**
   * Applies the limit in an answer to a request sent at `sentAt`. An answer
   * without a limit ends it only if sent after the limit was last advertised, as
   * answers may arrive out of order. Unreadable limits are ignored.
   */
  applyAdvertised(
    lifetime: string,
    header: RateLimitHeader,
    sentAt: number,
    now: number,
  ): LimitChange | undefined {
    switch (header.kind) {
      case 'unread':
        return undefined;
      case 'none':
        return this.update(lifetime, {perSecond: undefined, at: sentAt});
      case 'limit':
        return this.update(lifetime, {perSecond: header.perSecond, at: now});
    }
  }

  /** Applies a limit that this or another process observed. */
  update(lifetime: string, word: RateLimit): LimitChange | undefined {
    const state = this.states.get(lifetime);
    const before = state?.limit.perSecond;
    if (state === undefined) {
      if (word.perSecond === undefined) {
        return undefined;
      }
      this.add(lifetime, word);
      return 'named';
    }
    state.limit = rateLimits.newer(state.limit, word);
    const after = state.limit.perSecond;
    if (after === before) {
      return undefined;
    }
    if (after === undefined) {
      state.permitExpiries = [];
      state.requestAt = -Infinity;
      this.onDemand();
      return 'ended';
    }
    return before === undefined ? 'named' : 'changed';
  }

  /** Milliseconds until a request may be sent; 0 means now. */
  waitMs(lifetime: string, now: number): number {
    const state = this.states.get(lifetime);
    return state === undefined || canSend(state, now)
      ? 0
      : Math.max(state.requestAt - now, 1);
  }

  /** The targets that a request may be sent to now. */
  filterAvailable<T>(
    targets: readonly T[],
    lifetimeOf: (target: T) => string,
    now: number,
  ): readonly T[] {
    return this.states.size === 0
      ? targets
      : targets.filter(target => this.waitMs(lifetimeOf(target), now) === 0);
  }

  /** True if the target is limited and a permit is held. */
  hasPermit(lifetime: string, now: number): boolean {
    const state = this.states.get(lifetime);
    return state !== undefined && isLimited(state) && canSend(state, now);
  }

  /** Requests per second; undefined if there is no limit. */
  perSecond(lifetime: string): number | undefined {
    return this.states.get(lifetime)?.limit.perSecond;
  }

  /** Uses up a permit. */
  noteSent(lifetime: string, now: number): void {
    const state = this.states.get(lifetime);
    if (state !== undefined) {
      state.permitExpiries = state.permitExpiries
        .filter(until => until > now)
        .slice(1);
    }
  }

  /** Adds demand for one permit where a limited lifetime has none. */
  requestPermits(lifetimes: Iterable<string>, now: number): void {
    if (this.states.size === 0) {
      return;
    }
    let isNew = false;
    for (const lifetime of lifetimes) {
      const state = this.states.get(lifetime);
      if (state !== undefined && isLimited(state) && !canSend(state, now)) {
        state.wanted = hasDemand(state, now) ? state.wanted + 1 : 1;
        state.wantedAt = now;
        isNew = true;
      }
    }
    if (isNew) {
      this.onDemand();
    }
  }

  /** Monotonic time of the next request; undefined without demand. */
  nextRequestAt(now: number): number | undefined {
    const due = [...this.states.values()].filter(one => isRequestDue(one, now));
    return due.length === 0
      ? undefined
      : Math.min(...due.map(({requestAt}) => requestAt));
  }

  /** The requests that are due now, marked as in progress. */
  takePermitRequests(now: number): PermitRequest[] {
    const requests: PermitRequest[] = [];
    for (const [lifetime, state] of this.states) {
      if (isRequestDue(state, now) && state.requestAt <= now) {
        state.isRequesting = true;
        const {limit: word} = state;
        const maxWanted = Math.max((word.perSecond ?? 0) * MAX_REQUESTED_S, 1);
        const wanted = isLimited(state) ? Math.min(state.wanted, maxWanted) : 0;
        requests.push({lifetime, word, wanted: Math.floor(wanted)});
      }
    }
    return requests;
  }

  /** Applies the answer to a request sent at `requestedAt`. */
  applyGrant(
    lifetime: string,
    grant: {permits: number; waitMs: number},
    requestedAt: number,
    now: number,
  ): void {
    const state = this.states.get(lifetime);
    if (state === undefined) {
      return;
    }
    state.isRequesting = false;
    if (!isLimited(state)) {
      // The issuer knows that the limit has ended.
      this.states.delete(lifetime);
      return;
    }
    const until = requestedAt + this.permitTtlMs;
    state.permitExpiries = state.permitExpiries.filter(at => at > now);
    for (let at = 0; at < grant.permits; at += 1) {
      state.permitExpiries.push(until);
    }
    state.wanted = Math.max(state.wanted - grant.permits, 0);
    state.requestAt = now + grant.waitMs;
    if (grant.permits > 0) {
      this.onGrant(lifetime);
    }
  }

  /** The request failed or reached a peer that is not the issuer. */
  noteRequestFailed(lifetime: string, now: number): void {
    const state = this.states.get(lifetime);
    if (state === undefined) {
      return;
    }
    state.isRequesting = false;
    state.requestAt = now + RETRY_DELAY_MS;
    if (!isLimited(state)) {
      // Other processes learn the end of the limit from the target.
      this.states.delete(lifetime);
    }
  }

  /** Call after a suspension: the permits may have been granted to others. */
  dropPermits(): void {
    this.states.forEach(state => (state.permitExpiries = []));
  }

  forget(lifetime: string): void {
    this.states.delete(lifetime);
  }

  get size(): number {
    return this.states.size;
  }

  private add(lifetime: string, limit: RateLimit): void {
    this.states.set(lifetime, {
      limit,
      permitExpiries: [],
      wanted: 0,
      wantedAt: -Infinity,
      requestAt: -Infinity,
      isRequesting: false,
    });
    bounded.dropOldest(this.states, MAX_LIMITS);
  }
}

function isLimited(state: LimitState): boolean {
  return state.limit.perSecond !== undefined;
}

function canSend(state: LimitState, now: number): boolean {
  return !isLimited(state) || state.permitExpiries.some(until => until > now);
}

function hasDemand(state: LimitState, now: number): boolean {
  return state.wanted > 0 && now - state.wantedAt < DEMAND_TTL_MS;
}

/** True if permits are to be requested or the limit's end reported. */
function isRequestDue(state: LimitState, now: number): boolean {
  return !state.isRequesting && (!isLimited(state) || hasDemand(state, now));
}
