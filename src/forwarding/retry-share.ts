/**
 * Retries that one process may make in return for its own requests.
 *
 * From any moment on, it spends at most half of the share of the requests that it has
 * got since a window before that moment. So all processes together spend at most
 * half of the share for the requests of a window and half for those of the window
 * before, however many there are and however often they restart: a new process has
 * earned nothing. Takes the time as an argument.
 */
import type {RetryBudgetSettings} from '../roles/site-settings';

/**
 * Part of the share that is used; the rest covers that targets count a retry later
 * than it was sent, and a request that has not arrived yet.
 */
const USED_SHARE = 0.95;
/** Intervals of a window in which requests are counted. */
const INTERVALS = 64;

/** Total of all requests up to the end of an interval. */
interface IntervalTotal {
  readonly interval: number;
  total: number;
}

/** A retry that was sent. */
interface SentRetry {
  readonly at: number;
  /** Total of requests one window before it was sent. */
  readonly totalBefore: number;
}

export class RetryShare {
  private total = 0;
  /** Time of the first request. */
  private startedAt = Infinity;
  /** In ascending order, without intervals that had no requests. */
  private readonly intervals: IntervalTotal[] = [];
  /** Total before the first of the intervals. */
  private prunedTotal = 0;
  private readonly sent: SentRetry[] = [];
  private pendingCount = 0;
  /** Time for which the process was suspended. */
  private suspendedMs = 0;

  constructor(private readonly settings: () => RetryBudgetSettings) {}

  noteRequest(now: number): void {
    const time = now + this.suspendedMs;
    const interval = this.intervalAt(time);
    this.startedAt = Math.min(this.startedAt, time);
    this.total += 1;
    const last = this.intervals.at(-1);
    if (last !== undefined && last.interval >= interval) {
      last.total = this.total;
      return;
    }
    this.intervals.push({interval, total: this.total});
    while (this.intervals[0]!.interval < interval - INTERVALS) {
      this.prunedTotal = this.intervals.shift()!.total;
    }
  }

  /** Number of retries that may be reserved now. */
  remaining(now: number): number {
    return Math.max(Math.floor(this.balance(now)), 0);
  }

  /**
   * Milliseconds until `count` retries may be reserved, if requests go on to arrive
   * as they do; Infinity if they don't arrive.
   */
  waitMs(count: number, now: number): number {
    const missing = count - this.balance(now);
    const time = now + this.suspendedMs;
    const requests = this.total - this.totalBeforeWindow(time);
    const spanMs = Math.min(time - this.startedAt, this.settings().windowMs);
    const earnedPerMs = (requests * this.perRequest) / Math.max(spanMs, 1);
    return missing <= 0 ? 0 : missing / earnedPerMs;
  }

  /** Reserves a retry; counts as spent until it is sent or released. */
  reserve(): void {
    this.pendingCount += 1;
  }

  /** A reserved retry is sent now. */
  noteSent(now: number): void {
    const time = now + this.suspendedMs;
    this.pendingCount -= 1;
    this.sent.push({at: time, totalBefore: this.totalBeforeWindow(time)});
  }

  /** A reserved retry is not sent. */
  release(): void {
    this.pendingCount -= 1;
  }

  /** Makes all that was counted older: the clock may have stood still. */
  age(suspendedMs: number): void {
    this.suspendedMs += suspendedMs;
  }

  /** Requests and retries of the window. */
  counts(now: number): {requests: number; retries: number} {
    const time = now + this.suspendedMs;
    this.prune(time);
    return {
      requests: this.total - this.totalBeforeWindow(time),
      retries: this.sent.length + this.pendingCount,
    };
  }

  /** Total one window before `time`, rounded up to the end of its interval. */
  private totalBeforeWindow(time: number): number {
    const start = this.intervalAt(time - this.settings().windowMs);
    const before = this.intervals.findLast(({interval}) => interval <= start);
    return before?.total ?? this.prunedTotal;
  }

  /** Retries that may be reserved, with fractions; below 0: overspent. */
  private balance(now: number): number {
    const time = now + this.suspendedMs;
    this.prune(time);
    const {sent, pendingCount, total, perRequest} = this;
    const earnedAfter = (before: number) => perRequest * (total - before);
    let balance = earnedAfter(this.totalBeforeWindow(time)) - pendingCount;
    sent.forEach(({totalBefore}, at) => {
      const spent = sent.length - at + pendingCount;
      balance = Math.min(balance, earnedAfter(totalBefore) - spent);
    });
    return balance;
  }

  private get perRequest(): number {
    return (this.settings().share * USED_SHARE) / 2;
  }

  private intervalAt(time: number): number {
    return Math.floor((time * INTERVALS) / this.settings().windowMs);
  }

  private prune(time: number): void {
    const start = time - this.settings().windowMs;
    while (this.sent.length > 0 && this.sent[0]!.at <= start) {
      this.sent.shift();
    }
  }
}
