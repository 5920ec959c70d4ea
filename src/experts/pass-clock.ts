/** Estimates the duration of a group's passes from its step counter. */

const EWMA_ALPHA = 0.3;
/** Assumed until a pass has been timed. */
const INITIAL_PASS_MS = 80;
/** Longer times are ignored: the step of an idle group does not advance. */
const MAX_PASS_MS = 1_000;
/** Bounds the delay of a map change in a group with short passes. */
export const MAX_PASSES_AHEAD = 8;

export class PassClock {
  private last: {readonly step: number; readonly at: number} | undefined;
  private meanMs = INITIAL_PASS_MS;

  /** `step` is the last pass to begin; `now` is monotonic, in milliseconds. */
  record(step: number, now: number): void {
    const {last} = this;
    if (last !== undefined && step > last.step) {
      const ms = (now - last.at) / (step - last.step);
      if (ms < MAX_PASS_MS) {
        this.meanMs += EWMA_ALPHA * (ms - this.meanMs);
      }
    }
    if (last === undefined || step !== last.step) {
      this.last = {step, at: now};
    }
  }

  get passMs(): number {
    return this.meanMs;
  }

  /**
   * Estimated number of passes that begin within the next `ms`, at most
   * `MAX_PASSES_AHEAD`.
   */
  passesIn(ms: number, now: number): number {
    const sinceLastMs = this.last === undefined ? 0 : now - this.last.at;
    // An overdue pass is assumed to be about to end.
    const elapsedMs = Math.min(sinceLastMs, this.meanMs);
    const passes = Math.floor((elapsedMs + ms) / this.meanMs);
    return Math.min(passes, MAX_PASSES_AHEAD);
  }
}
