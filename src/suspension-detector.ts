/**
 * Detects that this instance was suspended. The monotonic clock stands still during a
 * suspension, so cached state would look fresh after it and a revoked API key would
 * still work. The wall clock and the uptime go on, but the wall clock may be set and
 * the uptime may be counted independently: only time by which both have run ahead of
 * the monotonic clock counts as a suspension.
 */
import * as os from 'node:os';
import {Subject} from 'rxjs';

/** Allows for the time between readings of the clocks. */
const MIN_SUSPENSION_MS = 100;
const CHECK_INTERVAL_MS = 500;
const MS_PER_SECOND = 1_000;

/** Milliseconds by which other clocks are ahead of the monotonic one. */
interface ClockOffsets {
  readonly wallClock: number;
  readonly uptime: number;
}

export class SuspensionDetector {
  /** Emits the milliseconds of each suspension detected. */
  readonly suspensions = new Subject<number>();
  private lastOffsets = readClockOffsets();
  private readonly timer = setInterval(
    () => this.compareClocks(),
    CHECK_INTERVAL_MS,
  ).unref();

  /** Call before any decision that relies on the age of cached state. */
  check(): void {
    const wallClock = Date.now() - performance.now();
    if (wallClock - this.lastOffsets.wallClock >= MIN_SUSPENSION_MS) {
      this.compareClocks();
    }
  }

  close(): void {
    clearInterval(this.timer);
    this.suspensions.complete();
  }

  private compareClocks(): void {
    const offsets = readClockOffsets();
    const suspendedMs = Math.min(
      offsets.wallClock - this.lastOffsets.wallClock,
      offsets.uptime - this.lastOffsets.uptime,
    );
    this.lastOffsets = offsets;
    if (suspendedMs >= MIN_SUSPENSION_MS) {
      this.suspensions.next(suspendedMs);
    }
  }
}

function readClockOffsets(): ClockOffsets {
  const monotonic = performance.now();
  return {
    wallClock: Date.now() - monotonic,
    uptime: os.uptime() * MS_PER_SECOND - monotonic,
  };
}
