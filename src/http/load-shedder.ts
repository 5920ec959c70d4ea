/**
 * Decides which new connections are closed unread while this process can't keep up
 * with what it has read and others get fewer: callers can connect to one of them at
 * once, instead of waiting for a response that comes too late. Where all processes
 * are as busy, requests are read and refused by their priority instead. Looks at the
 * event loop when connections arrive only, so that it costs nothing otherwise.
 */
import * as random from '../random';

/** Minimum time between two measurements. */
const WINDOW_MS = 200;
/** Utilization of the event loop from which it has no idle time left. */
const MIN_SATURATED = 0.98;
/** Saturated windows in a row before any connection is closed. */
const MIN_SATURATED_WINDOWS = 5;
/** Utilization below which fewer connections are closed. */
const MAX_RELAXED = 0.9;
const FIRST_SHARE = 0.5;
const SHARE_INCREASE = 0.1;
const SHARE_DECREASE = 0.05;
/** Some are always read, also by the only process that callers reach. */
const MAX_SHARE = 0.9;

export class LoadShedder {
  private share = 0;
  private saturatedWindows = 0;
  private measuredAt = performance.now();

  /** `utilization`: of the event loop since the call before, 0 to 1. */
  constructor(
    private readonly utilization: () => number,
    /** True if other processes get far fewer new connections. */
    private readonly isUneven: () => boolean,
    /** Called when the closing of connections begins or ends. */
    private readonly onChange: (isShedding: boolean) => void,
  ) {}

  /** True if a connection that arrives now is to be closed. */
  shouldClose(now: number): boolean {
    if (now - this.measuredAt >= WINDOW_MS) {
      this.measuredAt = now;
      this.adjust();
    }
    return this.share > 0 && random.uniform() < this.share;
  }

  private adjust(): void {
    const utilization = this.utilization();
    const before = this.share;
    const isUneven = this.isUneven();
    this.saturatedWindows =
      utilization >= MIN_SATURATED ? this.saturatedWindows + 1 : 0;
    if (isUneven && this.saturatedWindows >= MIN_SATURATED_WINDOWS) {
      const next = before === 0 ? FIRST_SHARE : before + SHARE_INCREASE;
      this.share = Math.min(next, MAX_SHARE);
    } else if (!isUneven || utilization < MAX_RELAXED) {
      this.share = Math.max(before - SHARE_DECREASE, 0);
    }
    if ((before === 0) !== (this.share === 0)) {
      this.onChange(this.share > 0);
    }
  }
}

/** Returns the utilization of this process's event loop since the call before. */
export function measureUtilization(): () => number {
  let last = performance.eventLoopUtilization();
  return () => {
    const now = performance.eventLoopUtilization();
    const {utilization} = performance.eventLoopUtilization(now, last);
    last = now;
    return utilization;
  };
}
