/**
 * Admission to one target: run now, queue, or refuse at once. A request is
 * refused as soon as its deadline cannot be met any more, and is told when a
 * try will find room. A target that has asked for rest gets nothing until it is
 * over, and then one request at a time until it has taken one.
 */
import {Result, fail, ok} from '../result';
import * as fairQueue from './fair-queue';
import {Rest} from '../targets/rest';
import * as refusals from './refusals';
import {RetryReservations} from './retry-reservations';

/** A request that asks to be let in. */
export interface AdmissionRequest {
  readonly account: string;
  readonly weight: number;
  readonly priority: number;
  readonly cost: number;
  /** Unix milliseconds. */
  readonly deadlineAt: number;
  /** True: the caller says that it comes back as it was told to. */
  readonly isReservedRetry?: boolean;
}

/** Limits of a target. */
export interface AdmissionSettings {
  /** Requests that the target works on at once. */
  readonly capacity: number;
  readonly maxQueued: number;
}

/** Room at the target; `release` gives it back, once. */
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
/** Share of the deadline that a newcomer may wait while a line stands. */
const MAX_UNRESERVED_WAIT_SHARE = 0.3;
/** Predicted waits are learnt from: longest correction either way. */
const MIN_WAIT_CORRECTION = 0.5;
const MAX_WAIT_CORRECTION = 4;
const MIN_PREDICTED_WAIT_MS = 1;
const RATE_HALF_LIFE_MS = 1_000;

export class Admission {
  private readonly queue = new fairQueue.FairQueue<QueuedRequest>();
  private running = 0;
  private serviceMs = INITIAL_SERVICE_MS;
  /** By how much waits turn out longer than predicted. */
  private waitCorrection = 1;
  private readonly reservations = new RetryReservations();
  private readonly completionRates = new Map<string, DecayingRate>();
  private stopRefusal: refusals.Refusal | undefined;
  /** What the target has asked for. */
  private readonly cooldown = new Rest();
  private cooldownTimer: NodeJS.Timeout | undefined;

  constructor(private readonly settings: () => AdmissionSettings) {}

  /** Asks for room. Fails with `overloaded`, `deadline-...`, `resting`... */
  admit(
    applicant: AdmissionRequest,
    signal?: AbortSignal,
  ): Promise<Result<Ticket, refusals.Refusal>> {
    if (this.stopRefusal !== undefined) {
      return Promise.resolve(fail(this.stopRefusal));
    }
    if (this.cooldown.isResting(performance.now())) {
      return Promise.resolve(fail(this.cooldownRefusal()));
    }
    const now = Date.now();
    const hasDueReservation =
      applicant.isReservedRetry === true &&
      this.reservations.consumeDue(applicant.account, now);
    if (this.running < this.capacity && this.queue.size === 0) {
      return Promise.resolve(ok(this.start(applicant.account, 0)));
    }
    if (!hasDueReservation && this.mustYieldToReservations(applicant, now)) {
      const refusal = this.deadlineRefusal(applicant, this.expectedWaitMs);
      return Promise.resolve(fail(refusal));
    }
    return new Promise(settle => {
      const waiting: QueuedRequest = {
        ...applicant,
        queuedAt: Date.now(),
        settle,
        timer: undefined,
        predictedWaitMs: 0,
      };
      this.enqueue(waiting, signal);
    });
  }

  /**
   * The target asks for so many milliseconds of rest: what is queued is refused
   * at once. True where it was at none.
   */
  startCooldown(ms: number): boolean {
    const now = performance.now();
    const isNew = !this.cooldown.isResting(now);
    this.cooldown.ask(ms, now);
    // Who waits behind a trial that hangs is let in then.
    clearTimeout(this.cooldownTimer);
    const leftMs = Math.ceil(this.cooldown.leftMs(now));
    this.cooldownTimer = setTimeout(() => this.startNext(), leftMs);
    this.cooldownTimer.unref();
    const refusal = this.cooldownRefusal();
    [...this.queue.items()].forEach(waiting => this.refuse(waiting, refusal));
    return isNew;
  }

  /** The target has taken a request that was sent at a monotonic time. */
  noteAccepted(sentAt: number): void {
    this.cooldown.noteTaken(sentAt);
    this.startNext();
  }

  get runningCount(): number {
    return this.running;
  }

  get queuedCount(): number {
    return this.queue.size;
  }

  /** Milliseconds that a request of no priority would wait now. */
  get expectedWaitMs(): number {
    return this.predictWaitMs(this.queue.size);
  }

  /** Refuses what is queued and all that comes. */
  stop(refusal: refusals.Refusal): void {
    this.stopRefusal = refusal;
    clearTimeout(this.cooldownTimer);
    for (const waiting of this.queue.items()) {
      this.refuse(waiting, refusal);
    }
  }

  /** Requests that the target may have now. */
  private get capacity(): number {
    const {capacity} = this.settings();
    return this.cooldown.isReturning(performance.now())
      ? Math.min(capacity, 1)
      : capacity;
  }

  private cooldownRefusal(): refusals.Refusal {
    return refusals.notRun(
      'resting',
      'the target has asked for rest',
      this.cooldown.waitMs(performance.now()),
    );
  }

  private enqueue(waiting: QueuedRequest, signal?: AbortSignal): void {
    const waitMs = this.predictWaitMs(this.queue.countAhead(waiting));
    const slackMs = waiting.deadlineAt - Date.now() - this.serviceMs;
    waiting.predictedWaitMs = waitMs;
    if (waitMs * this.waitCorrection > slackMs) {
      waiting.settle(fail(this.deadlineRefusal(waiting, waitMs)));
      return;
    }
    if (this.queue.size >= this.settings().maxQueued) {
      const isLast = this.queue.countAhead(waiting) >= this.queue.size;
      const displaced = isLast ? waiting : this.queue.last()!;
      this.refuse(displaced, this.overloadRefusal(displaced));
      if (isLast) {
        return;
      }
    }
    this.queue.push(waiting);
    waiting.timer = setTimeout(
      () => this.expire(waiting),
      Math.max(slackMs, 0),
    );
    signal?.addEventListener('abort', () => this.cancelQueued(waiting), {
      once: true,
    });
  }

  private cancelQueued(waiting: QueuedRequest): void {
    this.refuse(
      waiting,
      refusals.notRun('deadline-exceeded', 'the caller went away'),
    );
  }

  private refuse(waiting: QueuedRequest, refusal: refusals.Refusal): void {
    clearTimeout(waiting.timer);
    this.queue.remove(waiting);
    waiting.settle(fail(refusal));
  }

  /** It will not make it: the prediction was too good. */
  private expire(waiting: QueuedRequest): void {
    this.updateWaitCorrection(waiting);
    this.refuse(waiting, this.deadlineRefusal(waiting, this.expectedWaitMs));
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
      const waiting = this.queue.shift();
      if (waiting === undefined) {
        return;
      }
      clearTimeout(waiting.timer);
      this.updateWaitCorrection(waiting);
      const waitedMs = Date.now() - waiting.queuedAt;
      waiting.settle(ok(this.start(waiting.account, waitedMs)));
    }
  }

  private updateServiceTime(account: string, serviceMs: number): void {
    this.serviceMs += EWMA_ALPHA * (serviceMs - this.serviceMs);
    const rate = this.completionRates.get(account) ?? new DecayingRate();
    this.completionRates.set(account, rate);
    rate.addEvent(Date.now());
  }

  /** Others overtake who queues: how much so is learnt from what came. */
  private updateWaitCorrection(waiting: QueuedRequest): void {
    const waitedMs = Date.now() - waiting.queuedAt;
    const predictedMs = Math.max(
      waiting.predictedWaitMs,
      MIN_PREDICTED_WAIT_MS,
    );
    const seen = Math.min(waitedMs / predictedMs, MAX_WAIT_CORRECTION);
    this.waitCorrection += EWMA_ALPHA * (seen - this.waitCorrection);
    this.waitCorrection = Math.max(this.waitCorrection, MIN_WAIT_CORRECTION);
  }

  /** While an account's callers wait their turn, newcomers don't pass. */
  private mustYieldToReservations(
    applicant: AdmissionRequest,
    now: number,
  ): boolean {
    const slackMs = applicant.deadlineAt - now - this.serviceMs;
    return (
      this.reservations.hasAny(applicant.account, now) &&
      this.predictWaitMs(this.countAheadOf(applicant)) >
        slackMs * MAX_UNRESERVED_WAIT_SHARE
    );
  }

  private countAheadOf(applicant: AdmissionRequest): number {
    return this.queue.countAhead(applicant as QueuedRequest);
  }

  private predictWaitMs(ahead: number): number {
    const {capacity} = this.settings();
    if (this.running + ahead < capacity) {
      return 0;
    }
    return ((ahead + 1) / capacity) * this.serviceMs;
  }

  private deadlineRefusal(
    applicant: AdmissionRequest,
    waitMs: number,
  ): refusals.Refusal {
    return refusals.notRun(
      'deadline-unreachable',
      `the wait would be ${Math.ceil(waitMs)} ms`,
      this.reserveRetry(applicant),
    );
  }

  private overloadRefusal(applicant: AdmissionRequest): refusals.Refusal {
    return refusals.notRun(
      'overloaded',
      `${this.queue.size} requests are queued`,
      this.reserveRetry(applicant),
    );
  }

  /** Milliseconds after which to come back: the next place in the line. */
  private reserveRetry(applicant: AdmissionRequest): number {
    const now = Date.now();
    const {capacity} = this.settings();
    const whole = capacity / this.serviceMs;
    const own = this.completionRates.get(applicant.account)?.perMs(now) ?? 0;
    const rate = Math.max(own, whole / Math.max(this.completionRates.size, 1));
    const soonest = now + this.expectedWaitMs;
    const time = this.reservations.reserve(
      applicant.account,
      now,
      soonest,
      1 / rate,
    );
    return time - now;
  }
}

/** Events a millisecond, decayed. */
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
