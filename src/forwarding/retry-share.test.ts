import * as fc from 'fast-check';
import {RetryShare} from './retry-share';

const SETTINGS = {share: 0.2, windowMs: 10_000, extra: 0};
const {windowMs} = SETTINGS;

/** Processes that come and go, and all that they sent. */
class Fleet {
  readonly requests: number[] = [];
  readonly retries: number[] = [];
  private readonly processes: RetryShare[];

  constructor(count: number) {
    this.processes = Array.from({length: count}, () => this.create());
  }

  request(process: number, now: number): void {
    this.requests.push(now);
    this.processes[process % this.processes.length]!.noteRequest(now);
  }

  /** Sends as many retries as are allowed, up to `count`. */
  retry(process: number, count: number, now: number): void {
    const share = this.processes[process % this.processes.length]!;
    for (let one = 0; one < count && share.remaining(now) >= 1; one += 1) {
      share.reserve();
      share.noteSent(now);
      this.retries.push(now);
    }
  }

  restart(process: number): void {
    this.processes[process % this.processes.length] = this.create();
  }

  /** Retries of a window above the share of its requests or of those before it. */
  maxExcess(): number {
    const excesses = this.retries.map(endsAt => {
      const requests = Math.max(
        countIn(this.requests, endsAt),
        countIn(this.requests, endsAt - windowMs),
      );
      return countIn(this.retries, endsAt) - SETTINGS.share * requests;
    });
    return Math.max(0, ...excesses);
  }

  private create(): RetryShare {
    return new RetryShare(() => SETTINGS);
  }
}

function countIn(times: readonly number[], endsAt: number): number {
  return times.filter(at => at > endsAt - windowMs && at <= endsAt).length;
}

const step = fc.record({
  afterMs: fc.nat({max: 900}),
  process: fc.nat({max: 5}),
  requests: fc.nat({max: 60}),
  retries: fc.nat({max: 60}),
  restarts: fc.oneof(
    {weight: 6, arbitrary: fc.constant<number[]>([])},
    {weight: 2, arbitrary: fc.array(fc.nat({max: 5}), {maxLength: 4})},
    {weight: 1, arbitrary: fc.constant<number[]>([0, 1, 2, 3, 4, 5])},
  ),
});

describe('retries in return for requests', () => {
  it('stay within the share of all processes, whichever restart and whenever', () => {
    fc.assert(
      fc.property(fc.array(step, {minLength: 20, maxLength: 80}), steps => {
        const fleet = new Fleet(6);
        let now = 0;
        for (const {afterMs, process, requests, retries, restarts} of steps) {
          now += afterMs;
          restarts.forEach(one => fleet.restart(one));
          for (let one = 0; one < requests; one += 1) {
            fleet.request(process, now);
          }
          fleet.retry(process, retries, now);
        }
        expect(fleet.maxExcess()).toBe(0);
      }),
      {seed: 46, numRuns: 400},
    );
  });

  it('use the share of a window where one process gets all requests', () => {
    const fleet = new Fleet(1);
    for (let now = 0; now < 3 * windowMs; now += 10) {
      fleet.request(0, now);
      fleet.retry(0, now < windowMs ? 0 : 1, now);
    }
    const allowed = SETTINGS.share * 2_000;
    expect(fleet.retries.length).toBeGreaterThan(0.9 * allowed);
  });

  it('are allowed at once for half of the share of the last window', () => {
    const share = new RetryShare(() => SETTINGS);
    for (let now = 0; now < windowMs; now += 10) {
      share.noteRequest(now);
    }
    expect(share.remaining(windowMs)).toBeGreaterThanOrEqual(90);
    expect(share.remaining(3 * windowMs)).toBe(0);
  });

  it('count while they are reserved, until they are sent or released', () => {
    const share = new RetryShare(() => SETTINGS);
    for (let one = 0; one < 25; one += 1) {
      share.noteRequest(0);
    }
    expect(share.remaining(0)).toBe(2);
    share.reserve();
    share.reserve();
    expect(share.remaining(9_000)).toBe(0);
    share.release();
    expect(share.remaining(9_000)).toBe(1);
  });

  it('are not allowed for requests from before a suspension', () => {
    const share = new RetryShare(() => SETTINGS);
    for (let one = 0; one < 100; one += 1) {
      share.noteRequest(1_000);
    }
    expect(share.remaining(1_100)).toBe(9);
    share.age(windowMs);
    expect(share.remaining(1_100)).toBe(0);
  });

  it('wait for the requests that are still missing', () => {
    const share = new RetryShare(() => SETTINGS);
    for (let now = 0; now <= 500; now += 100) {
      share.noteRequest(now);
    }
    // Six requests in half a second; the eleventh earns the first retry.
    expect(share.waitMs(1, 500)).toBeGreaterThan(300);
    expect(share.waitMs(1, 500)).toBeLessThan(500);
    const idle = new RetryShare(() => SETTINGS);
    expect(idle.waitMs(1, 500)).toBe(Infinity);
  });
});
