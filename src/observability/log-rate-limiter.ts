/**
 * Limits the rate of log lines of one process. Above the unsampled rate, up to
 * twice that rate, only warnings, errors and a sample of the requests' lines
 * are written; beyond that, all lines are dropped. Requests are sampled by the
 * hash of their id, so that all processes keep the same ones.
 */
import * as murmurhash from 'murmurhash';

/** Rate up to which every line is written. */
export const UNSAMPLED_LINES_PER_SECOND = 300;
/** One request in this many is sampled. */
const SAMPLE_ONE_IN = 8;
const SECOND_MS = 1_000;

/** Properties of a log line that decide whether it is written. */
export interface LogLine {
  readonly isInfo: boolean;
  /** Id of the request that the line is about, if any. */
  readonly request: string | undefined;
}

export class LogRateLimiter {
  /** Lines dropped since the last call of `takeDropped`. */
  private dropped = 0;
  private windowStart = -Infinity;
  private written = 0;

  /** True if the line should be written. `now` is in monotonic milliseconds. */
  admit(line: LogLine, now: number): boolean {
    if (now - this.windowStart >= SECOND_MS) {
      this.windowStart = now;
      this.written = 0;
    }
    const isAdmitted =
      this.written < UNSAMPLED_LINES_PER_SECOND ||
      (this.written < 2 * UNSAMPLED_LINES_PER_SECOND &&
        (!line.isInfo || isSampled(line.request)));
    if (isAdmitted) {
      this.written += 1;
    } else {
      this.dropped += 1;
    }
    return isAdmitted;
  }

  /** Returns the number of lines dropped since the last call. */
  takeDropped(): number {
    const {dropped} = this;
    this.dropped = 0;
    return dropped;
  }
}

function isSampled(request: string | undefined): boolean {
  return request !== undefined && murmurhash.v3(request) % SAMPLE_ONE_IN === 0;
}
