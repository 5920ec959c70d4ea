/**
 * Admission to one target: run now, queue, or refuse at once. A request is
 * refused as soon as its deadline cannot be met any more, and is told when a
 * try will find room.
 */
import {Result, fail, ok} from '../result';
import * as fairQueue from './fair-queue';
import * as refusals from './refusals';

/** A request that asks to be let in. */
export interface Applicant {
  readonly account: string;
  readonly weight: number;
  readonly priority: number;
  readonly cost: number;
  /** Unix milliseconds. */
  readonly deadlineAt: number;
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
}

const EWMA_SHARE = 0.1;
const INITIAL_SERVICE_MS = 50;
const MAX_RETRY_AFTER_MS = 60_000;

export class Admission {
  private readonly queue = new fairQueue.FairQueue<Waiting>();
  private running = 0;
  private serviceMs = INITIAL_SERVICE_MS;
  private nextReturnAt = 0;
  private stopped: refusals.Refusal | undefined;

  constructor(private readonly settings: () => AdmissionSettings) {}

  /** Asks for room. Fails with `overloaded`, `deadline-...` or `leaving`. */
  enter(
    applicant: Applicant,
    signal?: AbortSignal,
  ): Promise<Result<Ticket, refusals.Refusal>> {
    if (this.stopped !== undefined) {
      return Promise.resolve(fail(this.stopped));
    }
    if (this.running < this.settings().capacity && this.queue.size === 0) {
      return Promise.resolve(ok(this.start(0)));
    }
    return new Promise(settle => {
      const waiting: Waiting = {
        ...applicant,
        queuedAt: Date.now(),
        settle,
        timer: undefined,
      };
      this.admitToQueue(waiting, signal);
    });
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
    for (const waiting of this.queue.items()) {
      this.refuse(waiting, refusal);
    }
  }

  private admitToQueue(waiting: Waiting, signal?: AbortSignal): void {
    const waitMs = this.waitBehind(this.queue.countAhead(waiting));
    const slackMs = waiting.deadlineAt - Date.now() - this.serviceMs;
    if (waitMs > slackMs) {
      waiting.settle(fail(this.deadlineRefusal(waitMs)));
      return;
    }
    if (this.queue.size >= this.settings().maxQueued) {
      const isLast = this.queue.countAhead(waiting) >= this.queue.size;
      const displaced = isLast ? waiting : this.queue.last()!;
      this.refuse(displaced, this.overloadRefusal());
      if (isLast) {
        return;
      }
    }
    this.queue.push(waiting);
    waiting.timer = setTimeout(
      () => this.refuse(waiting, this.deadlineRefusal(this.expectedWaitMs)),
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

  private start(waitedMs: number): Ticket {
    this.running += 1;
    const startedAt = Date.now();
    let released = false;
    const release = () => {
      if (released) {
        return;
      }
      released = true;
      this.running -= 1;
      this.learn(Date.now() - startedAt);
      this.startNext();
    };
    return {waitedMs, release};
  }

  private startNext(): void {
    while (this.running < this.settings().capacity) {
      const waiting = this.queue.shift();
      if (waiting === undefined) {
        return;
      }
      clearTimeout(waiting.timer);
      waiting.settle(ok(this.start(Date.now() - waiting.queuedAt)));
    }
  }

  private learn(serviceMs: number): void {
    this.serviceMs += EWMA_SHARE * (serviceMs - this.serviceMs);
  }

  private waitBehind(ahead: number): number {
    const {capacity} = this.settings();
    if (this.running + ahead < capacity) {
      return 0;
    }
    return ((ahead + 1) / capacity) * this.serviceMs;
  }

  private deadlineRefusal(waitMs: number): refusals.Refusal {
    return refusals.notRun(
      'deadline-unreachable',
      `the wait would be ${Math.ceil(waitMs)} ms`,
      this.bookReturn(),
    );
  }

  private overloadRefusal(): refusals.Refusal {
    return refusals.notRun(
      'overloaded',
      `${this.queue.size} requests are queued`,
      this.bookReturn(),
    );
  }

  /**
   * Milliseconds after which to come back. Refused callers are told times
   * one service time apart, so that they don't all return at once.
   */
  private bookReturn(): number {
    const now = Date.now();
    const spacingMs = this.serviceMs / this.settings().capacity;
    const soonest = now + this.expectedWaitMs;
    const at = Math.max(soonest, this.nextReturnAt + spacingMs);
    this.nextReturnAt = Math.min(at, now + MAX_RETRY_AFTER_MS);
    return this.nextReturnAt - now;
  }
}
