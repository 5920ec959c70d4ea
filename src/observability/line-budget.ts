/**
 * Bounds the log of one process. Under the budget every line is written; over
 * it, ordinary lines of requests are kept for one id in eight, chosen by the
 * id alone, so that all processes keep the same requests. Warnings and errors
 * are kept up to twice the budget.
 */
import * as murmurhash from 'murmurhash';

/** Lines in a second that are written whatever they say. */
export const LINES_PER_SECOND = 300;
/** Of ordinary requests, one in so many is kept over the budget. */
const KEPT_ONE_IN = 8;
const SECOND_MS = 1_000;

/** What the budget needs to know of a line. */
export interface Line {
  readonly isOrdinary: boolean;
  /** Id of the request that the line is about; undefined: none. */
  readonly request: string | undefined;
}

export class LineBudget {
  /** Lines left out since it was last asked for. */
  private left = 0;
  private secondBegan = -Infinity;
  private written = 0;

  /** True where the line is to be written; `now` is monotonic. */
  admit(line: Line, now: number): boolean {
    if (now - this.secondBegan >= SECOND_MS) {
      this.secondBegan = now;
      this.written = 0;
    }
    const isKept =
      this.written < LINES_PER_SECOND ||
      (this.written < 2 * LINES_PER_SECOND &&
        (!line.isOrdinary || isSampled(line.request)));
    if (isKept) {
      this.written += 1;
    } else {
      this.left += 1;
    }
    return isKept;
  }

  /** Lines left out since the last call. */
  takeLeftOut(): number {
    const {left} = this;
    this.left = 0;
    return left;
  }
}

function isSampled(request: string | undefined): boolean {
  return request !== undefined && murmurhash.v3(request) % KEPT_ONE_IN === 0;
}
