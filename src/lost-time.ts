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
const LEAST_LOST_MS = 100;
/** Time between looks of its own, in milliseconds. */
const LOOK_MS = 500;
const SECOND_MS = 1_000;

/** What clocks have counted beyond the monotonic one, in milliseconds. */
interface Reading {
  readonly ofDay: number;
  readonly sinceBoot: number;
}

export class LostTime {
  /** Milliseconds that were lost, each time that some were noticed. */
  readonly lost = new Subject<number>();
  private last = read();
  private readonly timer = setInterval(() => this.compare(), LOOK_MS).unref();

  /** To be called before anything is decided by what was believed before. */
  look(): void {
    const ofDay = Date.now() - performance.now();
    if (ofDay - this.last.ofDay >= LEAST_LOST_MS) {
      this.compare();
    }
  }

  close(): void {
    clearInterval(this.timer);
    this.lost.complete();
  }

  private compare(): void {
    const now = read();
    const lostMs = Math.min(
      now.ofDay - this.last.ofDay,
      now.sinceBoot - this.last.sinceBoot,
    );
    this.last = now;
    if (lostMs >= LEAST_LOST_MS) {
      this.lost.next(lostMs);
    }
  }
}

function read(): Reading {
  const monotonic = performance.now();
  return {
    ofDay: Date.now() - monotonic,
    sinceBoot: os.uptime() * SECOND_MS - monotonic,
  };
}
