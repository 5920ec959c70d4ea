/**
 * Targets that are cold, by lifetime: what this process may send to them, and
 * their share of requests while it rises after the cold period. A cold period
 * counts from when the target's entry was read. Takes the time as an argument.
 */
import * as bounded from '../bounded';
import * as random from '../random';
import {EventRate} from './event-rate';
import {ProcessCounter} from './process-count';
import {RateLimitTracker} from './rate-limit-tracker';
import {
  COLD_PERMIT_TTL_MS,
  EqualShare,
  IssuedPermits,
  ProcessCount,
  WarmUpBounds,
  WarmUpLimit,
  fitsEqualShares,
} from './warm-up-limit';

/** The lifetime that was added first is dropped first. */
const MAX_LIFETIMES = 4_096;
const MAX_SERVICES = 256;
/** Share of its normal requests that a target gets at the end of a cold period. */
const MIN_RISING_SHARE = 0.1;

/** What an entry in the store says about the target's coldness. */
export interface ColdEntry {
  readonly lifetime: string;
  readonly service: string;
  readonly sequence: number;
  readonly coldRemainingMs: number;
}

/** A service's targets while they are cold. */
export interface ColdService {
  readonly name: string;
  /** Milliseconds for which a target is cold after its start; 0: unknown. */
  readonly coldStartMs: number;
  /** Requests per second that a cold target accepts; 0: never cold. */
  readonly coldPerSecond: number;
}

export type WarmUpChange =
  | {
      readonly kind: 'cold';
      readonly lifetime: string;
      readonly perSecond: number;
      readonly remainingMs: number;
      /** It was in use before. */
      readonly wasWarm: boolean;
    }
  | {
      readonly kind: 'warm';
      readonly lifetime: string;
      readonly coldMs: number;
    };

export interface WarmUpContext {
  readonly bounds: WarmUpBounds;
  /** Processes that may send to the targets, including this one. */
  readonly knownProcesses: () => number;
  onChange(change: WarmUpChange): void;
}

interface LifetimeState {
  entry: ColdEntry;
  /** Monotonic times between which it is cold. */
  since: number;
  until: number;
  /** It was in use before it turned cold. */
  wasWarm: boolean;
  /** Reported as cold, and not as warm since. */
  isReported: boolean;
  limit: WarmUpLimit | undefined;
}

export class WarmUpTracker {
  /** Permits for cold targets. */
  readonly permits = new RateLimitTracker(COLD_PERMIT_TTL_MS);
  /** Called for a request that has to wait since all targets are cold. */
  onDelay: (service: string) => void = () => undefined;
  private readonly states = new Map<string, LifetimeState>();
  private services: ReadonlyMap<string, ColdService> = new Map();
  readonly processes: ProcessCounter;
  /** Requests of this process by service. */
  private readonly demands = new Map<string, EventRate>();
  private count: ProcessCount = {known: 1, isProvisional: true};
  private countedAt = -Infinity;
  /** Monotonic time after which no target is cold or rising. */
  private activeUntil = -Infinity;
  /** Monotonic time of the next end of a reported cold period. */
  private nextEndAt = Infinity;

  /** `startedAt`: monotonic time of the start of this process. */
  constructor(
    private readonly context: WarmUpContext,
    startedAt: number,
  ) {
    this.processes = new ProcessCounter(context.knownProcesses, startedAt);
  }

  setServices(services: readonly ColdService[], now: number): void {
    this.services = new Map(services.map(one => [one.name, one]));
    this.refresh(now);
  }

  /**
   * Applies a target's entry; `before`: the last one of its lifetime, if it is in
   * use. Reading an entry again, or an older one from a store that was set back,
   * does not restart the cold period.
   */
  applyEntry(
    entry: ColdEntry,
    before: ColdEntry | undefined,
    now: number,
  ): void {
    const state = this.states.get(entry.lifetime);
    const last = state?.entry ?? before;
    if (last !== undefined && !isNewer(entry, last)) {
      return;
    }
    const until = now + entry.coldRemainingMs;
    if (state === undefined) {
      if (entry.coldRemainingMs > 0) {
        this.states.set(entry.lifetime, {
          entry,
          since: now,
          until,
          wasWarm: before !== undefined,
          isReported: false,
          limit: undefined,
        });
        bounded.dropOldest(this.states, MAX_LIFETIMES);
      }
    } else {
      state.entry = entry;
      if (state.until <= now && until > now) {
        // The target's clock may run late: that continues the period.
        const isRising = this.shareOf(entry.lifetime, now) < 1;
        state.since = isRising ? state.since : now;
        state.wasWarm = true;
        state.limit = undefined;
      }
      // A later entry of a warm target leaves the end of its cold period.
      state.until = until > now ? until : Math.min(state.until, now);
    }
    this.refresh(now);
  }

  /** The targets that a request may be sent to now. */
  filterAvailable<T>(
    targets: readonly T[],
    lifetimeOf: (target: T) => string,
    now: number,
  ): readonly T[] {
    this.reportEnds(now);
    return !this.isActive(now)
      ? targets
      : targets.filter(target => this.waitMs(lifetimeOf(target), now) === 0);
  }

  /** Milliseconds until a request may be sent; 0 means now. */
  waitMs(lifetime: string, now: number): number {
    return this.limitOf(lifetime, now)?.waitMs(now) ?? 0;
  }

  /** True if the target is cold and a permit is held that expires if unused. */
  hasPermit(lifetime: string, now: number): boolean {
    return this.limitOf(lifetime, now)?.hasPermit(now) ?? false;
  }

  /** Requests per second from all processes; undefined if it is not cold. */
  perSecond(lifetime: string, now: number): number | undefined {
    const state = this.states.get(lifetime);
    const rate = state === undefined ? 0 : this.rateAt(state, now);
    return rate > 0 ? rate : undefined;
  }

  /** A request of the service could be sent to any of the lifetimes. */
  noteDemand(service: string, lifetimes: readonly string[], now: number): void {
    const limits = lifetimes.map(one => this.limitOf(one, now));
    if (limits.length > 0 && limits.every(one => one && one.waitMs(now) > 0)) {
      this.onDelay(service);
    }
    const fairPerSecond =
      this.demandOf(service).note(now) / Math.max(lifetimes.length, 1);
    limits.forEach(limit => limit?.noteDemand(fairPerSecond, now));
  }

  noteSent(lifetime: string, now: number): void {
    this.limitOf(lifetime, now)?.noteSent(now);
  }

  /** Part of its normal requests that a target gets, up to 1. */
  shareOf(lifetime: string, now: number): number {
    const state =
      now < this.activeUntil ? this.states.get(lifetime) : undefined;
    if (state === undefined || now < state.until) {
      return 1;
    }
    const riseMs = this.riseMs(state);
    const share = riseMs > 0 ? (now - state.until) / riseMs : 1;
    return Math.min(Math.max(share, MIN_RISING_SHARE), 1);
  }

  forget(lifetime: string): void {
    this.states.get(lifetime)?.limit?.close();
    this.states.delete(lifetime);
  }

  /** True while any target is cold or rising. */
  isActive(now: number): boolean {
    return now < this.activeUntil;
  }

  private demandOf(service: string): EventRate {
    let demand = this.demands.get(service);
    if (demand === undefined) {
      demand = new EventRate();
      this.demands.set(service, demand);
      bounded.dropOldest(this.demands, MAX_SERVICES);
    }
    return demand;
  }

  /** Processes that may send, as far as this one knows. */
  countAt(now: number): ProcessCount {
    if (now !== this.countedAt) {
      this.count = this.processes.count(now);
      this.countedAt = now;
    }
    return this.count;
  }

  /** The limit in force; undefined if the target is not cold. */
  private limitOf(lifetime: string, now: number): WarmUpLimit | undefined {
    const state =
      now < this.activeUntil ? this.states.get(lifetime) : undefined;
    const rate = state === undefined ? 0 : this.rateAt(state, now);
    if (state === undefined || rate === 0) {
      return undefined;
    }
    const count = this.countAt(now);
    const {bounds} = this.context;
    const isEqual = fitsEqualShares(rate, bounds, count);
    if (state.limit === undefined || isEqual !== isEqualShare(state.limit)) {
      // A part of a token otherwise, since requests may be on their way, or a former
      // process of this entry has just sent some; random, or all processes would
      // send at the same moments.
      const isNew =
        state.limit === undefined && !state.wasWarm && !count.isProvisional;
      const tokens = isNew ? 1 : random.uniform();
      state.limit?.close();
      state.limit = isEqual
        ? new EqualShare(tokens, now)
        : new IssuedPermits(lifetime, this.permits, bounds);
    }
    state.limit.setRate(rate, count, now);
    return state.limit;
  }

  /** Requests per second that it accepts while cold; 0 if it is not. */
  private rateAt(state: LifetimeState, now: number): number {
    return now < state.until ? this.rateOf(state) : 0;
  }

  private rateOf({entry}: LifetimeState): number {
    return this.services.get(entry.service)?.coldPerSecond ?? 0;
  }

  /** Milliseconds over which the share rises after the cold period. */
  private riseMs(state: LifetimeState): number {
    const {coldStartMs = 0, coldPerSecond = 0} =
      this.services.get(state.entry.service) ?? {};
    const coldMs = state.until - state.since;
    if (coldPerSecond === 0) {
      return 0;
    }
    return coldStartMs > 0 ? Math.min(coldMs, coldStartMs) : coldMs;
  }

  /** Reports new cold periods, and those that ended. */
  private refresh(now: number): void {
    this.activeUntil = -Infinity;
    this.nextEndAt = Infinity;
    for (const [lifetime, state] of this.states) {
      const perSecond = this.rateAt(state, now);
      if (perSecond > 0 && !state.isReported) {
        state.isReported = true;
        const remainingMs = state.until - now;
        const {wasWarm} = state;
        const change = {lifetime, perSecond, remainingMs, wasWarm} as const;
        this.context.onChange({kind: 'cold', ...change});
      } else if (perSecond === 0 && state.isReported) {
        state.isReported = false;
        state.limit?.close();
        state.limit = undefined;
        const coldMs = Math.min(state.until, now) - state.since;
        this.context.onChange({kind: 'warm', lifetime, coldMs});
      }
      if (state.isReported) {
        this.nextEndAt = Math.min(this.nextEndAt, state.until);
      }
      const activeUntil = state.until + this.riseMs(state);
      if (this.rateOf(state) > 0 && activeUntil > this.activeUntil) {
        this.activeUntil = activeUntil;
      }
    }
  }

  private reportEnds(now: number): void {
    if (now >= this.nextEndAt) {
      this.refresh(now);
    }
  }
}

function isNewer(entry: ColdEntry, last: ColdEntry): boolean {
  return (
    entry.sequence > last.sequence ||
    (entry.sequence === last.sequence &&
      entry.coldRemainingMs !== last.coldRemainingMs)
  );
}

function isEqualShare(limit: WarmUpLimit): boolean {
  return limit instanceof EqualShare;
}
