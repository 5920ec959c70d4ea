/**
 * Admission to one target: run now, queue, or refuse at once. A request is
 * refused as soon as its deadline cannot be met any more, and is told when a
 * try will find room. A target that has asked for rest gets nothing until it is
 * over, and then one request at a time until it has taken one.
 */
import {Result, fail, ok} from '../result';
import * as fairQueue from './fair-queue';
import {Cooldown} from '../targets/cooldown';
import * as refusals from './refusals';
import {ReturnBook} from './return-book';

/** A request that asks to be let in. */
export interface Applicant {
  readonly account: string;
  readonly weight: number;
  readonly priority: number;
  readonly cost: number;
  /** Unix milliseconds. */
  readonly deadlineAt: number;
  /** True: the caller says that it comes back as it was told to. */
  readonly isReturning?: boolean;
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

interface Waiting extends Applicant {
  readonly queuedAt: number;
  readonly settle: (result: Result<Ticket, refusals.Refusal>) => void;
  timer: NodeJS.Timeout | undefined;
  predictedMs: number;
}

const EWMA_SHARE = 0.1;
const INITIAL_SERVICE_MS = 50;
/** Share of the deadline that a newcomer may wait while a line stands. */
const NEWCOMER_SHARE = 0.3;
/** Predicted waits are learnt from: longest correction either way. */
const MIN_BIAS = 0.5;
const MAX_BIAS = 4;
const MIN_PREDICTED_MS = 1;
const RATE_HALF_LIFE_MS = 1_000;

export class Admission {
  private readonly queue = new fairQueue.FairQueue<Waiting>();
  private running = 0;
  private serviceMs = INITIAL_SERVICE_MS;
  /** By how much waits turn out longer than predicted. */
  private bias = 1;
  private readonly returns = new ReturnBook();
  private readonly rates = new Map<string, DecayingRate>();
  private stopped: refusals.Refusal | undefined;
  /** What the target has asked for. */
  private readonly rest = new Cooldown();
  private restTimer: NodeJS.Timeout | undefined;

  constructor(private readonly settings: () => AdmissionSettings) {}

  /** Asks for room. Fails with `overloaded`, `deadline-...`, `resting`... */
  enter(
    applicant: Applicant,
    signal?: AbortSignal,
  ): Promise<Result<Ticket, refusals.Refusal>> {
    if (this.stopped !== undefined) {
      return Promise.resolve(fail(this.stopped));
    }
    if (this.rest.isActive(performance.now())) {
      return Promise.resolve(fail(this.restRefusal()));
    }
    const now = Date.now();
    const isDue =
      applicant.isReturning === true &&
      this.returns.takeDue(applicant.account, now);
    if (this.running < this.capacity && this.queue.size === 0) {
      return Promise.resolve(ok(this.start(applicant.account, 0)));
    }
    if (!isDue && this.mustLineUp(applicant, now)) {
      const refusal = this.deadlineRefusal(applicant, this.expectedWaitMs);
      return Promise.resolve(fail(refusal));
    }
    return new Promise(settle => {
      const waiting: Waiting = {
        ...applicant,
        queuedAt: Date.now(),
        settle,
        timer: undefined,
        predictedMs: 0,
      };
      this.admitToQueue(waiting, signal);
    });
  }

  /**
   * The target asks for so many milliseconds of rest: what is queued is refused
   * at once. True where it was at none.
   */
  askRest(ms: number): boolean {
    const now = performance.now();
    const isNew = !this.rest.isActive(now);
    this.rest.start(ms, now);
    // Who waits behind a trial that hangs is let in then.
    clearTimeout(this.restTimer);
    const leftMs = Math.ceil(this.rest.remainingMs(now));
    this.restTimer = setTimeout(() => this.startNext(), leftMs);
    this.restTimer.unref();
    const refusal = this.restRefusal();
    [...this.queue.items()].forEach(waiting => this.refuse(waiting, refusal));
    return isNew;
  }

  /** The target has taken a request that was sent at a monotonic time. */
  noteTaken(sentAt: number): void {
    this.rest.noteAccepted(sentAt);
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
    return this.waitBehind(this.queue.size);
  }

  /** Refuses what is queued and all that comes. */
  stop(refusal: refusals.Refusal): void {
    this.stopped = refusal;
    clearTimeout(this.restTimer);
    for (const waiting of this.queue.items()) {
      this.refuse(waiting, refusal);
    }
  }

  /** Requests that the target may have now. */
  private get capacity(): number {
    const {capacity} = this.settings();
    return this.rest.isHalfOpen(performance.now())
      ? Math.min(capacity, 1)
      : capacity;
  }

  private restRefusal(): refusals.Refusal {
    return refusals.notRun(
      'resting',
      'the target has asked for rest',
      this.rest.waitMs(performance.now()),
    );
  }

  private admitToQueue(waiting: Waiting, signal?: AbortSignal): void {
    const waitMs = this.waitBehind(this.queue.countAhead(waiting));
    const slackMs = waiting.deadlineAt - Date.now() - this.serviceMs;
    waiting.predictedMs = waitMs;
    if (waitMs * this.bias > slackMs) {
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
    signal?.addEventListener('abort', () => this.leaveQueue(waiting), {
      once: true,
    });
  }

  private leaveQueue(waiting: Waiting): void {
    this.refuse(
      waiting,
      refusals.notRun('deadline-exceeded', 'the caller went away'),
    );
  }

  private refuse(waiting: Waiting, refusal: refusals.Refusal): void {
    clearTimeout(waiting.timer);
    this.queue.remove(waiting);
    waiting.settle(fail(refusal));
  }

  /** It will not make it: the prediction was too good. */
  private expire(waiting: Waiting): void {
    this.learnBias(waiting);
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
      this.learnService(account, Date.now() - startedAt);
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
      this.learnBias(waiting);
      const waitedMs = Date.now() - waiting.queuedAt;
      waiting.settle(ok(this.start(waiting.account, waitedMs)));
    }
  }

  private learnService(account: string, serviceMs: number): void {
    this.serviceMs += EWMA_SHARE * (serviceMs - this.serviceMs);
    const rate = this.rates.get(account) ?? new DecayingRate();
    this.rates.set(account, rate);
    rate.note(Date.now());
  }

  /** Others overtake who queues: how much so is learnt from what came. */
  private learnBias(waiting: Waiting): void {
    const waitedMs = Date.now() - waiting.queuedAt;
    const predictedMs = Math.max(waiting.predictedMs, MIN_PREDICTED_MS);
    const seen = Math.min(waitedMs / predictedMs, MAX_BIAS);
    this.bias += EWMA_SHARE * (seen - this.bias);
    this.bias = Math.max(this.bias, MIN_BIAS);
  }

  /** While an account's callers wait their turn, newcomers don't pass. */
  private mustLineUp(applicant: Applicant, now: number): boolean {
    const slackMs = applicant.deadlineAt - now - this.serviceMs;
    return (
      this.returns.hasLine(applicant.account, now) &&
      this.waitBehind(this.queueAheadOf(applicant)) > slackMs * NEWCOMER_SHARE
    );
  }

  private queueAheadOf(applicant: Applicant): number {
    return this.queue.countAhead(applicant as Waiting);
  }

  private waitBehind(ahead: number): number {
    const {capacity} = this.settings();
    if (this.running + ahead < capacity) {
      return 0;
    }
    return ((ahead + 1) / capacity) * this.serviceMs;
  }

  private deadlineRefusal(
    applicant: Applicant,
    waitMs: number,
  ): refusals.Refusal {
    return refusals.notRun(
      'deadline-unreachable',
      `the wait would be ${Math.ceil(waitMs)} ms`,
      this.bookReturn(applicant),
    );
  }

  private overloadRefusal(applicant: Applicant): refusals.Refusal {
    return refusals.notRun(
      'overloaded',
      `${this.queue.size} requests are queued`,
      this.bookReturn(applicant),
    );
  }

  /** Milliseconds after which to come back: the next place in the line. */
  private bookReturn(applicant: Applicant): number {
    const now = Date.now();
    const {capacity} = this.settings();
    const whole = capacity / this.serviceMs;
    const own = this.rates.get(applicant.account)?.perMs(now) ?? 0;
    const rate = Math.max(own, whole / Math.max(this.rates.size, 1));
    const soonest = now + this.expectedWaitMs;
    const time = this.returns.book(applicant.account, now, soonest, 1 / rate);
    return time - now;
  }
}

/** Events a millisecond, decayed. */
class DecayingRate {
  private weight = 0;
  private at = 0;

  note(now: number): void {
    this.weight = this.decayed(now) + 1;
    this.at = now;
  }

  perMs(now: number): number {
    return (this.decayed(now) * Math.LN2) / RATE_HALF_LIFE_MS;
  }

  private decayed(now: number): number {
    return this.weight * 0.5 ** ((now - this.at) / RATE_HALF_LIFE_MS);
  }
}
