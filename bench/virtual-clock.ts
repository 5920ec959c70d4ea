/**
 * Replaces the timers and the monotonic clock of this process by virtual ones,
 * so that seconds of load take only the processor time that they need, and the
 * same seed gives the same run. Nothing may wait for input or output meanwhile.
 */
import TinyQueue from 'tinyqueue';

const {setTimeout, clearTimeout, setInterval, clearInterval} = globalThis;
const {setImmediate} = globalThis;

interface Timer {
  readonly callback: () => void;
  /** Undefined: it fires once. */
  readonly intervalMs: number | undefined;
  dueAt: number;
  /** Timers due at the same time fire in the order in which they were set. */
  order: number;
  isCleared: boolean;
  ref(): Timer;
  unref(): Timer;
}

export class VirtualClock {
  now = 0;
  private order = 0;
  private readonly timers = new TinyQueue<Timer>(
    [],
    (a, b) => a.dueAt - b.dueAt || a.order - b.order,
  );

  install(): void {
    const clear = (timer?: unknown) => {
      if (timer !== undefined) {
        (timer as Timer).isCleared = true;
      }
    };
    Object.assign(globalThis, {
      setTimeout: (callback: () => void, ms = 0) => this.add(callback, ms),
      setInterval: (callback: () => void, ms = 0) =>
        this.add(callback, ms, Math.max(ms, 1)),
      clearTimeout: clear,
      clearInterval: clear,
    });
    Object.defineProperty(performance, 'now', {
      configurable: true,
      value: () => this.now,
    });
  }

  uninstall(): void {
    Object.assign(globalThis, {
      setTimeout,
      setInterval,
      clearTimeout,
      clearInterval,
    });
    Reflect.deleteProperty(performance, 'now');
  }

  /** Fires the timers that are due until then, in order. */
  async runUntil(endsAt: number): Promise<void> {
    for (;;) {
      const timer = this.timers.peek();
      if (timer === undefined || timer.dueAt > endsAt) {
        break;
      }
      this.timers.pop();
      if (!timer.isCleared) {
        this.now = timer.dueAt;
        this.repeat(timer);
        timer.callback();
        // All promises that can settle now do so before time goes on.
        await new Promise<void>(done => setImmediate(done));
      }
    }
    this.now = endsAt;
  }

  private add(callback: () => void, ms: number, intervalMs?: number): Timer {
    const timer: Timer = {
      callback,
      intervalMs,
      dueAt: this.now + Math.max(ms, 0),
      order: (this.order += 1),
      isCleared: false,
      ref: () => timer,
      unref: () => timer,
    };
    this.timers.push(timer);
    return timer;
  }

  private repeat(timer: Timer): void {
    if (timer.intervalMs !== undefined) {
      timer.dueAt += timer.intervalMs;
      timer.order = this.order += 1;
      this.timers.push(timer);
    }
  }
}
