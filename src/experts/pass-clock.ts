/** How long the passes of a group take, from what its step counter shows. */

/** Weight of the newest time in the mean. */
const EWMA_ALPHA = 0.3;
/** Taken until two readings tell, in milliseconds. */
const INITIAL_PASS_MS = 80;
/** An idle group's step stands still; longer times tell nothing. */
const MAX_PASS_MS = 1_000;
/** More is never needed, and would delay the change of a fast group. */
export const MAX_PASSES_AHEAD = 8;

export class PassClock {
  private last: {readonly step: number; readonly at: number} | undefined;
  private meanMs = INITIAL_PASS_MS;

  /** Takes the pass that began last; `now` is monotonic. */
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
   * Passes that begin within the next `ms`, as far as can be told: where the
   * last one was seen to begin, and how long they take.
   */
  passesIn(ms: number, now: number): number {
    const sinceLastMs = this.last === undefined ? 0 : now - this.last.at;
    // A pass that takes longer than most is about to end.
    const elapsedMs = Math.min(sinceLastMs, this.meanMs);
    const passes = Math.floor((elapsedMs + ms) / this.meanMs);
    return Math.min(passes, MAX_PASSES_AHEAD);
  }
}
