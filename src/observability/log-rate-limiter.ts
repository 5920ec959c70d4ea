/**
 * Bounds the log of one process. Under the budget every line is written; over
 * it, ordinary lines of requests are kept for one id in eight, chosen by the
 * id alone, so that all processes keep the same requests. Warnings and errors
 * are kept up to twice the budget.
 */
import * as murmurhash from 'murmurhash';

/** Lines in a second that are written whatever they say. */
export const UNSAMPLED_LINES_PER_SECOND = 300;
/** Of ordinary requests, one in so many is kept over the budget. */
const SAMPLE_ONE_IN = 8;
const SECOND_MS = 1_000;

/** What the budget needs to know of a line. */
export interface LogLine {
  readonly isInfo: boolean;
  /** Id of the request that the line is about; undefined: none. */
  readonly request: string | undefined;
}

export class LogRateLimiter {
  /** Lines left out since it was last asked for. */
  private dropped = 0;
  private windowStart = -Infinity;
  private written = 0;

  /** True where the line is to be written; `now` is monotonic. */
  admit(line: LogLine, now: number): boolean {
    if (now - this.windowStart >= SECOND_MS) {
      this.windowStart = now;
      this.written = 0;
    }
    const isKept =
      this.written < UNSAMPLED_LINES_PER_SECOND ||
      (this.written < 2 * UNSAMPLED_LINES_PER_SECOND &&
        (!line.isInfo || isSampled(line.request)));
    if (isKept) {
      this.written += 1;
    } else {
      this.dropped += 1;
    }
    return isKept;
  }

  /** Lines left out since the last call. */
  takeDropped(): number {
    const {dropped} = this;
    this.dropped = 0;
    return dropped;
  }
}

function isSampled(request: string | undefined): boolean {
  return request !== undefined && murmurhash.v3(request) % SAMPLE_ONE_IN === 0;
}
