/**
 * This entry's part of the retries that all entries may make together in a sliding
 * window: a share of its own requests, and permits of the fixed extra. A
 * retry is reserved when it is decided and counts from when it is sent, since it
 * may wait for a target in between.
 */
import type * as rxjs from 'rxjs';
import type {RetryBudgetSettings} from '../roles/site-settings';
import {ExtraRetries, TAKEN_PERMIT_TTL_MS} from './extra-retries';
import {RetryShare} from './retry-share';

/** Maximum time for which a retry waits until it is allowed. */
const MAX_WAIT_MS = 400;
/** Interval in which the waits are checked. */
const TICK_MS = 20;

/** What this process counts in the window, and the retries that it has left. */
export interface RetryBudgetState {
  readonly requests: number;
  readonly retries: number;
  readonly remaining: number;
}

/** A retry that may be sent. Ends with `trySend` or `release`, whichever is first. */
export abstract class RetryReservation {
  /** True if the retry may be sent now; it is then counted. */
  abstract trySend(now: number): boolean;
  /** The retry is not sent. */
  abstract release(): void;
}

class ShareReservation extends RetryReservation {
  private isOpen = true;

  constructor(private readonly share: RetryShare) {
    super();
    share.reserve();
  }

  trySend(now: number): boolean {
    const {isOpen} = this;
    if (isOpen) {
      this.isOpen = false;
      this.share.noteSent(now);
    }
    return isOpen;
  }

  release(): void {
    if (this.isOpen) {
      this.isOpen = false;
      this.share.release();
    }
  }
}

/** Uses up a permit at once, which expires if the retry waits for too long. */
class PermitReservation extends RetryReservation {
  constructor(
    private readonly takenAt: number,
    private readonly tryAgain: (now: number) => RetryReservation | undefined,
  ) {
    super();
  }

  trySend(now: number): boolean {
    const isValid = now - this.takenAt < TAKEN_PERMIT_TTL_MS;
    return isValid || this.tryAgain(now)?.trySend(now) === true;
  }

  release(): void {}
}

interface WaitingRetry {
  /** Monotonic time in milliseconds. */
  readonly endsAt: number;
  settle(reservation: RetryReservation | undefined): void;
}

export class RetryBudget {
  private readonly share: RetryShare;
  /** In the order of their arrival. */
  private waiting: WaitingRetry[] = [];
  private timer: NodeJS.Timeout | undefined;
  private readonly subscription: rxjs.Subscription;

  constructor(
    settings: () => RetryBudgetSettings,
    private readonly service: string,
    private readonly extra: ExtraRetries,
  ) {
    this.share = new RetryShare(settings);
    this.subscription = extra.granted.subscribe(granted => {
      if (granted === service) {
        this.settleWaiting(performance.now());
      }
    });
  }

  /** Records a request, before its first send; `now` is monotonic. */
  noteRequest(now: number): void {
    this.share.noteRequest(now);
    if (this.waiting.length > 0) {
      this.settleWaiting(now);
    }
  }

  /**
   * Waits for a short time if a retry will be allowed by then. Undefined if it is
   * not; at once if that is known. `timeLeftMs`: until it would be too late.
   */
  async reserve(
    now: number,
    timeLeftMs = Infinity,
  ): Promise<RetryReservation | undefined> {
    const reservation =
      this.waiting.length === 0 ? this.tryReserve(now) : undefined;
    const maxWaitMs = Math.min(MAX_WAIT_MS, timeLeftMs);
    if (reservation !== undefined || !this.mayWait(maxWaitMs, now)) {
      return reservation;
    }
    return new Promise(settle => {
      this.waiting.push({endsAt: now + maxWaitMs, settle});
      this.timer ??= setInterval(
        () => this.settleWaiting(performance.now()),
        TICK_MS,
      );
    });
  }

  /** Undefined if no retry is allowed now. */
  tryReserve(now: number): RetryReservation | undefined {
    const {share, extra, service} = this;
    if (share.remaining(now) >= 1) {
      return new ShareReservation(share);
    }
    if (extra.tryTake(service, now)) {
      return new PermitReservation(now, at => this.tryReserve(at));
    }
    extra.request(service, now);
    return undefined;
  }

  stateAt(now: number): RetryBudgetState {
    return {
      ...this.share.counts(now),
      remaining: this.share.remaining(now),
    };
  }

  /** Ends the wait of all retries; they are not allowed. */
  close(): void {
    this.subscription.unsubscribe();
    clearInterval(this.timer);
    this.waiting.forEach(({settle}) => settle(undefined));
    this.waiting = [];
  }

  /** Call after this instance was suspended. */
  age(suspendedMs: number): void {
    this.share.age(suspendedMs);
  }

  /** False if another retry would wait for so long in vain. */
  private mayWait(maxWaitMs: number, now: number): boolean {
    const {share, extra, service, waiting} = this;
    return (
      share.waitMs(waiting.length + 1, now) <= maxWaitMs ||
      waiting.length < extra.maxWaiting(service, maxWaitMs, now)
    );
  }

  private settleWaiting(now: number): void {
    while (this.waiting.length > 0) {
      const reservation = this.tryReserve(now);
      if (reservation === undefined) {
        break;
      }
      this.waiting.shift()!.settle(reservation);
    }
    this.waiting = this.waiting.filter(({endsAt, settle}) => {
      if (now >= endsAt) {
        settle(undefined);
      }
      return now < endsAt;
    });
    if (this.waiting.length === 0) {
      clearInterval(this.timer);
      this.timer = undefined;
    }
  }
}
