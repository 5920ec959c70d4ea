/** A wall clock that doesn't jump when the system time is set. */
import type {ClockAnchor} from './claims/types';

const NANOSECONDS_PER_MILLISECOND = 1_000_000n;

/** Milliseconds of the system's monotonic clock, the same in every process. */
export function monotonicMs(): number {
  return Number(process.hrtime.bigint() / NANOSECONDS_PER_MILLISECOND);
}

/** Reads the wall clock once and runs on the monotonic clock from there. */
export class SteadyClock {
  readonly anchor: ClockAnchor;

  constructor(wallMs = Date.now()) {
    this.anchor = {wallMs, monotonicMs: monotonicMs()};
  }

  /** Unix milliseconds. */
  now(): number {
    return this.anchor.wallMs + (monotonicMs() - this.anchor.monotonicMs);
  }
}
