/**
 * A rest that a target has asked for: it gets nothing until it is over, then one
 * request at a time until it has taken one. Pure over a clock reading.
 */
import * as random from '../random';

/**
 * Part of the rest by which it is lengthened, at most and at random. A target
 * that is full asks all entries for the same rest within some tenths of a
 * second; without it they come back together.
 */
const COOLDOWN_JITTER = 0.1;
/** Time after the rest between requests while none was taken, in milliseconds. */
export const TRIAL_INTERVAL_MS = 250;
/**
 * Time after the rest in which a target gets one request at a time, in
 * milliseconds: that of some trials. Then it is used as any other, also where
 * its answers take longer than that.
 */
export const HALF_OPEN_MS = 2_000;

/**
 * Part of a rest by which callers' return is spread after its end: those that
 * were refused all through it would come back at one moment.
 */
const CALLER_RETRY_JITTER = 0.5;

/** When a caller should come back that is refused for a rest of so long. */
export function withRetryJitter(restMs: number): number {
  return restMs * (1 + CALLER_RETRY_JITTER * random.uniform());
}

export class Cooldown {
  /** When it ends. */
  private endsAt = -Infinity;
  private lastTrialAt = -Infinity;
  private hasAccepted = true;

  /**
   * A target asks for so many milliseconds. The latest end counts: answers of
   * requests that were under way together come in any order.
   */
  start(ms: number, now: number): void {
    const until = now + ms * (1 + COOLDOWN_JITTER * random.uniform());
    this.endsAt = Math.max(this.endsAt, until);
    this.lastTrialAt = -Infinity;
    this.hasAccepted = false;
  }

  /** True until its end; then the target may get one request at a time. */
  isActive(now: number): boolean {
    return now < this.endsAt;
  }

  /** Milliseconds until the target may be sent something; 0: it may now. */
  waitMs(now: number): number {
    if (this.isActive(now)) {
      return this.endsAt - now;
    }
    return this.isHalfOpen(now)
      ? Math.max(this.lastTrialAt + TRIAL_INTERVAL_MS - now, 0)
      : 0;
  }

  /** True where nothing is held back any more. */
  isOver(now: number): boolean {
    return !this.isActive(now) && !this.isHalfOpen(now);
  }

  /** Milliseconds until nothing is held back, whatever becomes of trials. */
  remainingMs(now: number): number {
    return Math.max(this.endsAt + HALF_OPEN_MS - now, 0);
  }

  /** Notes that a request goes to the target. */
  noteSent(now: number): void {
    if (!this.isActive(now)) {
      this.lastTrialAt = now;
    }
  }

  /**
   * The target has taken a request. One that was sent before the rest's end says
   * nothing of how it is after it.
   */
  noteAccepted(sentAt: number): void {
    this.hasAccepted ||= sentAt >= this.endsAt;
  }

  /** True after its end while no request was taken, for some trials. */
  isHalfOpen(now: number): boolean {
    return (
      !this.hasAccepted &&
      !this.isActive(now) &&
      now < this.endsAt + HALF_OPEN_MS
    );
  }
}
