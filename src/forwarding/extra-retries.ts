/**
 * The fixed extra of the retry budget. One entry issues it as permits to those that
 * need retries beyond the share of their own requests, at a rate that spends it
 * within a window. Takes the time as an argument.
 */
import {Subject} from 'rxjs';
import type {RetryBudgetSettings} from '../roles/site-settings';
import {
  BURST_S,
  HANDOVER_DELAY_MS,
  PERMIT_TTL_MS,
} from '../targets/permit-issuer';
import {RateLimitTracker} from '../targets/rate-limit-tracker';

/** Validity of a permit that was taken, until the retry is sent. */
export const TAKEN_PERMIT_TTL_MS = 250;
/** The issuer's bucket holds at least one permit, whatever the rate. */
const MIN_BURST = 1;
/** Smaller extras are not issued: the issuer's minimum rate would exceed them. */
const MIN_EXTRA = 2;
const SECOND_MS = 1_000;

export class ExtraRetries {
  readonly permits = new RateLimitTracker();
  /** Emits a service that has got permits. */
  readonly granted = new Subject<string>();
  private readonly perSecond: number;

  constructor({extra, windowMs}: RetryBudgetSettings) {
    // Permits of the time before a window may be used in it, and a former issuer
    // may go on issuing until it has been notified.
    const spanMs =
      windowMs +
      PERMIT_TTL_MS +
      TAKEN_PERMIT_TTL_MS +
      BURST_S * SECOND_MS +
      HANDOVER_DELAY_MS;
    const issued = extra < MIN_EXTRA ? 0 : extra - MIN_BURST;
    this.perSecond = (issued * SECOND_MS) / spanMs;
    this.permits.onGrant = service => this.granted.next(service);
  }

  /** A service needs a retry that its requests don't allow. */
  request(service: string, now: number): void {
    if (this.perSecond === 0) {
      return;
    }
    if (this.permits.perSecond(service) === undefined) {
      this.permits.update(service, {perSecond: this.perSecond, at: now});
    }
    this.permits.requestPermits([service], now);
  }

  /** Number of retries that may be granted permits within a wait, at most. */
  maxWaiting(service: string, waitMs: number, now: number): number {
    const isDue = this.permits.waitMs(service, now) < waitMs;
    return this.perSecond > 0 && isDue
      ? Math.max(Math.floor((this.perSecond * waitMs) / SECOND_MS), 1)
      : 0;
  }

  close(): void {
    this.granted.complete();
  }

  /** Uses up a permit; false if there is none. */
  tryTake(service: string, now: number): boolean {
    const isHeld = this.permits.hasPermit(service, now);
    if (isHeld) {
      this.permits.noteSent(service, now);
    }
    return isHeld;
  }
}
