/**
 * The cooldown of a target that has asked for a pause: no requests until it ends,
 * then half-open, with one request at a time until one is accepted. Takes the time
 * as an argument.
 */
import * as random from '../random';

/**
 * Largest random extension, as a share of the cooldown: a target asks all entries
 * for the same pause, and they should not return together.
 */
const COOLDOWN_JITTER = 0.1;
/** Time between requests to a half-open target. */
export const TRIAL_INTERVAL_MS = 250;
/**
 * A target leaves the half-open state after this time, that of several trials,
 * even if no request was answered yet: its answers may take longer.
 */
export const HALF_OPEN_MS = 2_000;

/**
 * Largest random delay of a refused caller's retry, as a share of the cooldown:
 * those refused during the whole cooldown would return at the same moment.
 */
const CALLER_RETRY_JITTER = 0.5;

/** Milliseconds after which a caller refused for a cooldown should retry. */
export function withRetryJitter(cooldownMs: number): number {
  return cooldownMs * (1 + CALLER_RETRY_JITTER * random.uniform());
}

export class Cooldown {
  private endsAt = -Infinity;
  private lastTrialAt = -Infinity;
  private hasAccepted = true;

  /** Starts or extends the cooldown; the latest end counts. */
  start(ms: number, now: number): void {
    const endsAt = now + ms * (1 + COOLDOWN_JITTER * random.uniform());
    this.endsAt = Math.max(this.endsAt, endsAt);
    this.lastTrialAt = -Infinity;
    this.hasAccepted = false;
  }

  /** True until the cooldown ends; the half-open state is not included. */
  isActive(now: number): boolean {
    return now < this.endsAt;
  }

  /** Milliseconds until a request may be sent; 0 means now. */
  waitMs(now: number): number {
    if (this.isActive(now)) {
      return this.endsAt - now;
    }
    return this.isHalfOpen(now)
      ? Math.max(this.lastTrialAt + TRIAL_INTERVAL_MS - now, 0)
      : 0;
  }

  /** True if the cooldown has ended and the target is not half-open. */
  isOver(now: number): boolean {
    return !this.isActive(now) && !this.isHalfOpen(now);
  }

  /** Milliseconds until the half-open state ends at the latest. */
  remainingMs(now: number): number {
    return Math.max(this.endsAt + HALF_OPEN_MS - now, 0);
  }

  /** Records a request to the target. */
  noteSent(now: number): void {
    if (!this.isActive(now)) {
      this.lastTrialAt = now;
    }
  }

  /** Records an accepted request; ignored if sent before the cooldown ended. */
  noteAccepted(sentAt: number): void {
    this.hasAccepted ||= sentAt >= this.endsAt;
  }

  /** True after the cooldown until a request is accepted, at most HALF_OPEN_MS. */
  isHalfOpen(now: number): boolean {
    return (
      !this.hasAccepted &&
      !this.isActive(now) &&
      now < this.endsAt + HALF_OPEN_MS
    );
  }
}
