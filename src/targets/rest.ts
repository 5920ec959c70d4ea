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
const SPREAD = 0.1;
/** Time after the rest between requests while none was taken, in milliseconds. */
export const TRIAL_MS = 250;
/**
 * Time after the rest in which a target gets one request at a time, in
 * milliseconds: that of some trials. Then it is used as any other, also where
 * its answers take longer than that.
 */
export const RETURN_MS = 2_000;

/**
 * Part of a rest by which callers' return is spread after its end: those that
 * were refused all through it would come back at one moment.
 */
const CALLERS_SPREAD = 0.5;

/** When a caller should come back that is refused for a rest of so long. */
export function spreadReturn(restMs: number): number {
  return restMs * (1 + CALLERS_SPREAD * random.unit());
}

export class Rest {
  /** When it ends. */
  private until = -Infinity;
  private triedAt = -Infinity;
  private isTaken = true;

  /**
   * A target asks for so many milliseconds. The latest end counts: answers of
   * requests that were under way together come in any order.
   */
  ask(ms: number, now: number): void {
    const until = now + ms * (1 + SPREAD * random.unit());
    this.until = Math.max(this.until, until);
    this.triedAt = -Infinity;
    this.isTaken = false;
  }

  /** True until its end; then the target may get one request at a time. */
  isResting(now: number): boolean {
    return now < this.until;
  }

  /** Milliseconds until the target may be sent something; 0: it may now. */
  waitMs(now: number): number {
    if (this.isResting(now)) {
      return this.until - now;
    }
    return this.isReturning(now)
      ? Math.max(this.triedAt + TRIAL_MS - now, 0)
      : 0;
  }

  /** True where nothing is held back any more. */
  isOver(now: number): boolean {
    return !this.isResting(now) && !this.isReturning(now);
  }

  /** Milliseconds until nothing is held back, whatever becomes of trials. */
  leftMs(now: number): number {
    return Math.max(this.until + RETURN_MS - now, 0);
  }

  /** Notes that a request goes to the target. */
  noteSent(now: number): void {
    if (!this.isResting(now)) {
      this.triedAt = now;
    }
  }

  /**
   * The target has taken a request. One that was sent before the rest's end says
   * nothing of how it is after it.
   */
  noteTaken(sentAt: number): void {
    this.isTaken ||= sentAt >= this.until;
  }

  /** True after its end while no request was taken, for some trials. */
  isReturning(now: number): boolean {
    return (
      !this.isTaken && !this.isResting(now) && now < this.until + RETURN_MS
    );
  }
}
