/**
 * The waiting requests of one service, what is known of its speed, and when a
 * waiting request is refused. Pure: times are monotonic milliseconds.
 */
import {rankOf} from './arrival-order';
import * as rankNames from './rank';
import * as recentCounts from './recent-counts';
import {StartRate} from './start-rate';
import * as timing from './timing';
import {Ahead, AdmissionOrder, WaitingRequest, sumOf, totalOf} from './types';

/** Weight of the newest duration in the moving mean and deviation. */
const DURATION_WEIGHT = 0.1;
/**
 * Mean deviations above the mean that a request is expected to take: half of the
 * requests take longer than the mean, and a late one earns little.
 */
const DEVIATIONS = 1.5;
/** Time over which starts are counted. */
const RATE_WINDOW_MS = 1_000;
/**
 * Starts within that time from which they count as a rate. Fewer may be all that
 * arrived: a rate of two a second predicted 250 ms where 43 ms were needed.
 */
const MIN_OBSERVED = 5;
/** Accounts named in a log line; the other ones are summed up. */
const MAX_LOGGED_ACCOUNTS = 8;

/** Why a request is refused; for the log. */
export type RefusalReason =
  /** Its predicted wait is too long for it. */
  | 'late'
  /** The same, and what limits the starts is this entry's share of the pool. */
  | 'share'
  /** Too many requests wait at this entry. */
  | 'full'
  /** It waited until it was no longer worth starting. */
  | 'expired';

/** Prediction for one request. */
export interface Prediction {
  readonly ahead: Ahead;
  /** Starts per second for its rank; 0: too little is known. */
  readonly perSecond: number;
  /** Until a start in its place; undefined: too little is known. */
  readonly waitMs: number | undefined;
}

export class ServiceQueue<T extends WaitingRequest> {
  inFlight = 0;
  private readonly starts = new StartRate();
  /** Of these, those that could be in time. */
  private readonly timelyStarts = new StartRate();
  private readonly accountStarts = new recentCounts.RecentCounts(
    RATE_WINDOW_MS,
  );
  /** Duration of a pass of the fastest group; undefined: no group is known. */
  private passMs: number | undefined;
  /** Moving mean duration of served requests; 0: none yet. */
  private meanMs = 0;
  /** Moving mean of the durations' absolute deviation from it. */
  private deviationMs = 0;
  /** Since when requests have been waiting and starting without a break. */
  private waitingSince = Infinity;

  constructor(
    public order: AdmissionOrder<T>,
    private readonly floorShare: number,
  ) {}

  get size(): number {
    return this.order.size;
  }

  /** Milliseconds of a unit of predicted time. */
  get paceMs(): number {
    return this.passMs ?? this.meanMs + DEVIATIONS * this.deviationMs;
  }

  /** Predicted duration of a pass of the fastest group; undefined: not known. */
  notePassMs(ms: number | undefined): void {
    this.passMs = ms ?? this.passMs;
  }

  push(item: T, now: number): void {
    if (this.order.size === 0) {
      this.waitingSince = now;
    }
    this.order.push(item);
  }

  /** Counts a start, of a waiting request or of one that needed no wait. */
  noteStart(item: T, now: number): void {
    this.inFlight += 1;
    if (this.starts.perSecond(now) === 0) {
      // After an outage, the starts of the last second are no rate yet.
      this.waitingSince = Math.max(this.waitingSince, now);
    }
    this.starts.note(rankOf(item), now);
    if (timing.lastTimelyStart(item, this.paceMs) >= now) {
      this.timelyStarts.note(rankOf(item), now);
    }
    this.accountStarts.note(item.account, now);
  }

  /** Starts of the last second by rank, as named in the log. */
  startsByRank(now: number): Record<string, number> {
    const counts = [...this.starts.byRank(now)];
    return Object.fromEntries(
      counts.map(([rank, starts]) => [rankNames.nameOf(rank), starts]),
    );
  }

  /** Starts of the last second, as log fields. */
  startFields(now: number): object {
    const accounts = this.accountStarts.counts(now);
    return {
      starts: this.startsByRank(now),
      accountStarts: recentCounts.largest(accounts, MAX_LOGGED_ACCOUNTS),
    };
  }

  /** Counts an end; `ms` is its duration if it was served. */
  noteEnd(ms: number | undefined): void {
    this.inFlight -= 1;
    if (ms !== undefined) {
      const isFirst = this.meanMs === 0;
      const difference = isFirst ? 0 : ms - this.meanMs;
      this.meanMs = isFirst ? ms : this.meanMs + DURATION_WEIGHT * difference;
      this.deviationMs +=
        DURATION_WEIGHT * (Math.abs(difference) - this.deviationMs);
    }
  }

  /**
   * Starts per second; 0: not known. Until requests have waited for a whole
   * second, the starts may be only what arrived; then the requests in flight over
   * their mean duration count if these give more. Few starts don't count at all.
   */
  perSecond(now: number): number {
    const possible =
      this.meanMs === 0 ? 0 : (this.inFlight * RATE_WINDOW_MS) / this.meanMs;
    if (!this.hasRate(now)) {
      return possible;
    }
    const observed = this.starts.perSecond(now);
    return this.hasWaited(now) ? observed : Math.max(observed, possible);
  }

  /** Waiting requests to which a new or the last tried one leaves permits. */
  permitsAhead(item: WaitingRequest): number {
    let needing = 0;
    for (const one of this.order.items()) {
      needing += one !== item && one.needsPermit ? 1 : 0;
    }
    return needing === 0
      ? 0
      : Math.min(needing, totalOf(this.order.countAhead(item)));
  }

  predict(item: WaitingRequest, now: number): Prediction {
    this.order.classify(now, this.paceMs);
    return this.predictionOf(item, this.order.countAhead(item), now);
  }

  /** Prediction for a request like this one that arrives now, behind all others. */
  predictNewcomer(item: WaitingRequest, now: number): Prediction {
    this.order.classify(now, this.paceMs);
    const newcomer = {...item, objectiveAt: Infinity};
    const ahead = sumOf(
      this.order.countAhead(newcomer),
      this.order.countLateAhead(newcomer),
    );
    return this.predictionOf(item, ahead, now);
  }

  /**
   * Predicted wait among the late requests, which get the starts that those in
   * time leave. Infinity: they leave none; undefined: not known until requests
   * have waited for a second.
   */
  predictLateWaitMs(item: WaitingRequest, now: number): number | undefined {
    if (!this.knowsLateRate(now)) {
      return undefined;
    }
    this.order.classify(now, this.paceMs);
    const perSecond =
      this.starts.perSecond(now) - this.timelyStarts.perSecond(now);
    const ahead = totalOf(this.order.countLateAhead(item));
    return timing.waitMsAt(ahead, perSecond);
  }

  /** True if it could only be served after its caller has left. */
  isUseless(item: T, now: number): boolean {
    return now > timing.lastUsefulStart(item, this.paceMs);
  }

  /** True for a retry that would be refused as expired soon. */
  isLastChance(item: T, now: number, soonMs: number): boolean {
    return item.isRetry && this.isUseless(item, now + soonMs);
  }

  /**
   * Why a request that can't start now is refused; undefined: it waits. It is
   * refused where neither service in time nor late service can be expected; a
   * retry, which has no attempt left, only by a rate of starts and a wait that is
   * much too long.
   */
  verdict(
    item: T,
    now: number,
    isNew: boolean,
  ): 'late' | 'expired' | undefined {
    const usefulMs = timing.lastUsefulStart(item, this.paceMs) - now;
    if (usefulMs <= 0) {
      return isNew ? 'late' : 'expired';
    }
    // First what needs no count of the requests ahead.
    const isLastTry = item.isRetry && usefulMs <= timing.LAST_TRY_MS;
    if (item.isStarted || isLastTry || !this.knowsLateRate(now)) {
      return undefined;
    }
    const isExpected = item.isRetry
      ? this.isRetryExpected(item, now, usefulMs)
      : this.isTimelyExpected(item, now, usefulMs, isNew) ||
        timing.isWithin(this.predictLateWaitMs(item, now)!, usefulMs, isNew);
    return isExpected ? undefined : 'late';
  }

  private isRetryExpected(item: T, now: number, usefulMs: number): boolean {
    const {waitMs} = this.predict(item, now);
    const maxMs = usefulMs * timing.RETRY_TOLERANCE;
    return waitMs! <= maxMs || this.predictLateWaitMs(item, now)! <= maxMs;
  }

  private isTimelyExpected(
    item: T,
    now: number,
    usefulMs: number,
    isNew: boolean,
  ): boolean {
    const timelyMs = timing.lastTimelyStart(item, this.paceMs) - now;
    const leftMs = Math.min(timelyMs, usefulMs);
    if (leftMs <= 0) {
      return false;
    }
    const {ahead, waitMs} = this.predict(item, now);
    const isNext = !isNew && totalOf(ahead) === 0;
    return isNext || timing.isWithin(waitMs!, leftMs, isNew);
  }

  private predictionOf(
    item: WaitingRequest,
    ahead: Ahead,
    now: number,
  ): Prediction {
    const rates = {
      perSecond: this.perSecond(now),
      higherPerSecond: this.timelyStarts.perSecondBelow(now, rankOf(item)),
    };
    return {
      ahead,
      perSecond: timing.perSecondFor(rates, this.floorShare),
      waitMs: timing.predictWaitMs(ahead, rates, this.floorShare),
    };
  }

  /** True if the rate that requests in time leave is known. */
  private knowsLateRate(now: number): boolean {
    return this.hasWaited(now) && this.hasRate(now);
  }

  /** True if requests have waited for long enough to know the rates. */
  private hasWaited(now: number): boolean {
    return this.order.size > 0 && now - this.waitingSince >= RATE_WINDOW_MS;
  }

  /** True if enough requests have started lately to predict by their number. */
  private hasRate(now: number): boolean {
    return this.starts.perSecond(now) >= MIN_OBSERVED;
  }
}
