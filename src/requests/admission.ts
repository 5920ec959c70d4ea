/**
 * Admission control for one target: a request runs, is queued, or is refused.
 * It is refused once its deadline cannot be met, with the time after which to
 * retry. During a cooldown that the target requested all requests are refused;
 * after it one runs at a time until the target has accepted one or a time limit
 * passes.
 */
import {Result, fail, ok} from '../result';
import * as fairQueue from '../admission/fair-queue';
import {Cooldown} from '../targets/cooldown';
import * as refusals from './refusals';
import {RetryReservations} from './retry-reservations';

export interface AdmissionRequest {
  readonly account: string;
  readonly weight: number;
  readonly priority: number;
  readonly cost: number;
  /** Unix milliseconds. */
  readonly deadlineAt: number;
  /** True if the caller states that this is the retry it was told to make. */
  readonly isReservedRetry?: boolean;
}

export interface AdmissionSettings {
  /** Maximum number of concurrent requests. */
  readonly capacity: number;
  readonly maxQueued: number;
}

/** One unit of the target's capacity; only the first `release` has effect. */
export interface Ticket {
  /** Milliseconds spent in the queue. */
  readonly waitedMs: number;
  release(): void;
}

interface QueuedRequest extends AdmissionRequest {
  readonly queuedAt: number;
  readonly settle: (result: Result<Ticket, refusals.Refusal>) => void;
  timer: NodeJS.Timeout | undefined;
  predictedWaitMs: number;
}

const EWMA_ALPHA = 0.1;
const INITIAL_SERVICE_MS = 50;
/**
 * Share of the remaining time that a request may wait in the queue while the
 * account has reservations that it does not use.
 */
const MAX_UNRESERVED_WAIT_SHARE = 0.3;
const MIN_WAIT_CORRECTION = 0.5;
const MAX_WAIT_CORRECTION = 4;
const MIN_PREDICTED_WAIT_MS = 1;
const RATE_HALF_LIFE_MS = 1_000;

export class Admission {
  private readonly queue = new fairQueue.FairQueue<QueuedRequest>();
  private running = 0;
  private serviceMs = INITIAL_SERVICE_MS;
  /** Moving average of observed over predicted wait. */
  private waitCorrection = 1;
  private readonly reservations = new RetryReservations();
  private readonly completionRates = new Map<string, DecayingRate>();
  private stopRefusal: refusals.Refusal | undefined;
  private readonly cooldown = new Cooldown();
  private cooldownTimer: NodeJS.Timeout | undefined;

  constructor(private readonly settings: () => AdmissionSettings) {}

  /**
   * Waits until the request may run. Fails with `overloaded`,
   * `deadline-unreachable`, `deadline-exceeded` (the caller disconnected),
   * `resting` or the refusal given to `stop`.
   */
  admit(
    request: AdmissionRequest,
    signal?: AbortSignal,
  ): Promise<Result<Ticket, refusals.Refusal>> {
    if (this.stopRefusal !== undefined) {
      return Promise.resolve(fail(this.stopRefusal));
    }
    if (this.cooldown.isActive(performance.now())) {
      return Promise.resolve(fail(this.cooldownRefusal()));
    }
    const now = Date.now();
    const hasDueReservation =
      request.isReservedRetry === true &&
      this.reservations.consumeDue(request.account, now);
    if (this.running < this.capacity && this.queue.size === 0) {
      return Promise.resolve(ok(this.start(request.account, 0)));
    }
    if (!hasDueReservation && this.mustYieldToReservations(request, now)) {
      const refusal = this.deadlineRefusal(request, this.expectedWaitMs);
      return Promise.resolve(fail(refusal));
    }
    return new Promise(settle => {
      const queued: QueuedRequest = {
        ...request,
        queuedAt: Date.now(),
        settle,
        timer: undefined,
        predictedWaitMs: 0,
      };
      this.enqueue(queued, signal);
    });
  }

  /**
   * Starts or extends the target's cooldown, in milliseconds, and refuses all
   * queued requests. True if no cooldown was active.
   */
  startCooldown(ms: number): boolean {
    const now = performance.now();
    const isNew = !this.cooldown.isActive(now);
    this.cooldown.start(ms, now);
    // Starts queued requests when the half-open state ends, even if the request
    // that ran alone in it has not ended.
    clearTimeout(this.cooldownTimer);
    const leftMs = Math.ceil(this.cooldown.remainingMs(now));
    this.cooldownTimer = setTimeout(() => this.startNext(), leftMs);
    this.cooldownTimer.unref();
    const refusal = this.cooldownRefusal();
    [...this.queue.items()].forEach(queued => this.refuse(queued, refusal));
    return isNew;
  }

  /** Notes that the target accepted a request; `sentAt` is monotonic time. */
  noteAccepted(sentAt: number): void {
    this.cooldown.noteAccepted(sentAt);
    this.startNext();
  }

  get runningCount(): number {
    return this.running;
  }

  get queuedCount(): number {
    return this.queue.size;
  }

  /** Expected wait at the end of the queue, in milliseconds. */
  get expectedWaitMs(): number {
    return this.predictWaitMs(this.queue.size);
  }

  /** Refuses all queued and all later requests. */
  stop(refusal: refusals.Refusal): void {
    this.stopRefusal = refusal;
    clearTimeout(this.cooldownTimer);
    for (const queued of this.queue.items()) {
      this.refuse(queued, refusal);
    }
  }

  /** Maximum number of concurrent requests now; 1 after a cooldown. */
  private get capacity(): number {
    const {capacity} = this.settings();
    return this.cooldown.isHalfOpen(performance.now())
      ? Math.min(capacity, 1)
      : capacity;
  }

  private cooldownRefusal(): refusals.Refusal {
    return refusals.notRun(
      'resting',
      'the target is in a cooldown',
      this.cooldown.waitMs(performance.now()),
    );
  }

  private enqueue(queued: QueuedRequest, signal?: AbortSignal): void {
    const waitMs = this.predictWaitMs(this.queue.countAhead(queued));
    const slackMs = queued.deadlineAt - Date.now() - this.serviceMs;
    queued.predictedWaitMs = waitMs;
    if (waitMs * this.waitCorrection > slackMs) {
      queued.settle(fail(this.deadlineRefusal(queued, waitMs)));
      return;
    }
    if (this.queue.size >= this.settings().maxQueued) {
      const isLast = this.queue.countAhead(queued) >= this.queue.size;
      const displaced = isLast ? queued : this.queue.last()!;
      this.refuse(displaced, this.overloadRefusal(displaced));
      if (isLast) {
        return;
      }
    }
    this.queue.push(queued);
    queued.timer = setTimeout(() => this.expire(queued), Math.max(slackMs, 0));
    signal?.addEventListener('abort', () => this.cancelQueued(queued), {
      once: true,
    });
  }

  private cancelQueued(queued: QueuedRequest): void {
    this.refuse(
      queued,
      refusals.notRun('deadline-exceeded', 'the caller disconnected'),
    );
  }

  private refuse(queued: QueuedRequest, refusal: refusals.Refusal): void {
    clearTimeout(queued.timer);
    this.queue.remove(queued);
    queued.settle(fail(refusal));
  }

  /** Refuses a queued request that can no longer meet its deadline. */
  private expire(queued: QueuedRequest): void {
    this.updateWaitCorrection(queued);
    this.refuse(queued, this.deadlineRefusal(queued, this.expectedWaitMs));
  }

  private start(account: string, waitedMs: number): Ticket {
    this.running += 1;
    const startedAt = Date.now();
    let released = false;
    const release = () => {
      if (released) {
        return;
      }
      released = true;
      this.running -= 1;
      this.updateServiceTime(account, Date.now() - startedAt);
      this.startNext();
    };
    return {waitedMs, release};
  }

  private startNext(): void {
    while (this.running < this.capacity) {
      const queued = this.queue.shift();
      if (queued === undefined) {
        return;
      }
      clearTimeout(queued.timer);
      this.updateWaitCorrection(queued);
      const waitedMs = Date.now() - queued.queuedAt;
      queued.settle(ok(this.start(queued.account, waitedMs)));
    }
  }

  private updateServiceTime(account: string, serviceMs: number): void {
    this.serviceMs += EWMA_ALPHA * (serviceMs - this.serviceMs);
    const rate = this.completionRates.get(account) ?? new DecayingRate();
    this.completionRates.set(account, rate);
    rate.addEvent(Date.now());
  }

  /**
   * Corrects predictions for requests that later ones overtake in the queue.
   */
  private updateWaitCorrection(queued: QueuedRequest): void {
    const waitedMs = Date.now() - queued.queuedAt;
    const predictedMs = Math.max(queued.predictedWaitMs, MIN_PREDICTED_WAIT_MS);
    const observed = Math.min(waitedMs / predictedMs, MAX_WAIT_CORRECTION);
    this.waitCorrection += EWMA_ALPHA * (observed - this.waitCorrection);
    this.waitCorrection = Math.max(this.waitCorrection, MIN_WAIT_CORRECTION);
  }

  /** True if the request must be refused in favour of reserved retries. */
  private mustYieldToReservations(
    request: AdmissionRequest,
    now: number,
  ): boolean {
    const slackMs = request.deadlineAt - now - this.serviceMs;
    return (
      this.reservations.hasAny(request.account, now) &&
      this.predictWaitMs(this.countAheadOf(request)) >
        slackMs * MAX_UNRESERVED_WAIT_SHARE
    );
  }

  private countAheadOf(request: AdmissionRequest): number {
    return this.queue.countAhead(request as QueuedRequest);
  }

  private predictWaitMs(ahead: number): number {
    const {capacity} = this.settings();
    if (this.running + ahead < capacity) {
      return 0;
    }
    return ((ahead + 1) / capacity) * this.serviceMs;
  }

  private deadlineRefusal(
    request: AdmissionRequest,
    waitMs: number,
  ): refusals.Refusal {
    return refusals.notRun(
      'deadline-unreachable',
      `the expected wait is ${Math.ceil(waitMs)} ms`,
      this.reserveRetry(request),
    );
  }

  private overloadRefusal(request: AdmissionRequest): refusals.Refusal {
    return refusals.notRun(
      'overloaded',
      `${this.queue.size} requests are queued`,
      this.reserveRetry(request),
    );
  }

  /**
   * Reserves the account's next free time; returns the delay until it, in ms.
   */
  private reserveRetry(request: AdmissionRequest): number {
    const now = Date.now();
    const {capacity} = this.settings();
    const totalRate = capacity / this.serviceMs;
    const accountRate =
      this.completionRates.get(request.account)?.perMs(now) ?? 0;
    const rate = Math.max(
      accountRate,
      totalRate / Math.max(this.completionRates.size, 1),
    );
    const earliest = now + this.expectedWaitMs;
    const time = this.reservations.reserve(
      request.account,
      now,
      earliest,
      1 / rate,
    );
    return time - now;
  }
}

/** Exponentially decayed event rate, per millisecond. */
class DecayingRate {
  private count = 0;
  private updatedAt = 0;

  addEvent(now: number): void {
    this.count = this.countAt(now) + 1;
    this.updatedAt = now;
  }

  perMs(now: number): number {
    return (this.countAt(now) * Math.LN2) / RATE_HALF_LIFE_MS;
  }

  private countAt(now: number): number {
    return this.count * 0.5 ** ((now - this.updatedAt) / RATE_HALF_LIFE_MS);
  }
}
