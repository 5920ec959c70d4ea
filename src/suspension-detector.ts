/**
 * Time in which this instance was suspended. The runtime's monotonic clock stands
 * still then, so what was believed before looks as fresh as it did, and a key that was
 * taken away meanwhile would work. The time since boot and the time of day go on. The
 * latter may be set by anybody, and the former may be counted elsewhere than the
 * others: only what both have counted beyond the monotonic clock was lost.
 */
import * as os from 'node:os';
import {Subject} from 'rxjs';

/** Less than this is no suspension, in milliseconds: clocks are read one by one. */
const MIN_SUSPENSION_MS = 100;
/** Time between looks of its own, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
const MS_PER_SECOND = 1_000;

/** What clocks have counted beyond the monotonic one, in milliseconds. */
interface ClockOffsets {
  readonly wallClock: number;
  readonly uptime: number;
}

export class SuspensionDetector {
  /** Milliseconds that were lost, each time that some were noticed. */
  readonly suspensions = new Subject<number>();
  private lastOffsets = readClockOffsets();
  private readonly timer = setInterval(
    () => this.compareClocks(),
    CHECK_INTERVAL_MS,
  ).unref();

  /** To be called before anything is decided by what was believed before. */
  check(): void {
    const ofDay = Date.now() - performance.now();
    if (ofDay - this.lastOffsets.wallClock >= MIN_SUSPENSION_MS) {
      this.compareClocks();
    }
  }

  close(): void {
    clearInterval(this.timer);
    this.suspensions.complete();
  }

  private compareClocks(): void {
    const now = readClockOffsets();
    const lostMs = Math.min(
      now.wallClock - this.lastOffsets.wallClock,
      now.uptime - this.lastOffsets.uptime,
    );
    this.lastOffsets = now;
    if (lostMs >= MIN_SUSPENSION_MS) {
      this.suspensions.next(lostMs);
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
