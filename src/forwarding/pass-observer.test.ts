import {EventGaps} from './event-gaps';
import {PassObserver, TICK_MS} from './pass-observer';

const PREDICTED = {fixedMs: 20, passMs: 60};
/** Twice as long beyond the fixed time. */
const MEASURED_MS = 100;
const STREAMS = 6;

/** Passes of `STREAMS` streams from 0 to `ms`, with ticks; the time at the end. */
function observe(
  observer: PassObserver,
  ms: number,
  options: {streams?: number; gapMs?: number; tickMs?: number} = {},
): number {
  const {streams = STREAMS, gapMs = MEASURED_MS, tickMs = TICK_MS} = options;
  for (let now = 0; now <= ms; now += TICK_MS) {
    if (now % gapMs === 0 && now > 0) {
      for (let at = 0; at < streams; at += 1) {
        observer.note('g', now - gapMs, now);
      }
    }
    if (now % tickMs === 0) {
      observer.tick(now);
    }
    observer.compare('g', {...PREDICTED, at: now}, now);
  }
  return ms;
}

describe('measured passes', () => {
  it('correct the model within a second and expire after two', () => {
    const observer = new PassObserver();
    const now = observe(observer, 1_200);
    expect(observer.correctionOf('g', now)).toBeCloseTo(2, 1);
    expect(observer.correctionOf('g', now + 1_000)).toBeLessThan(1.8);
    expect(observer.correctionOf('g', now + 2_000)).toBe(1);
    expect(observer.correctionOf('other', now)).toBe(1);
  });

  it('are within 1 to 4 times the prediction, or ignored', () => {
    const long = new PassObserver();
    const end = observe(long, 3_000, {gapMs: 400});
    expect(long.correctionOf('g', end)).toBeLessThanOrEqual(4);
    expect(long.correctionOf('g', end)).toBeGreaterThan(3.5);
    const short = new PassObserver();
    observe(short, 1_200, {gapMs: 50});
    expect(short.correctionOf('g', 1_200)).toBe(1);
  });

  it('need ten gaps in half a second', () => {
    const observer = new PassObserver();
    observe(observer, 1_200, {streams: 1});
    expect(observer.correctionOf('g', 1_200)).toBe(1);
  });

  // Guards against a process short of processor time refusing requests.
  it('do not include the time in which this process was late', () => {
    const observer = new PassObserver();
    observe(observer, 1_200, {tickMs: 2 * TICK_MS});
    expect(observer.correctionOf('g', 1_200)).toBe(1);
  });
});

describe('gaps between events of a stream', () => {
  it('do not span a slow caller, a move or a resume', () => {
    const gaps = new EventGaps();
    expect(gaps.next(1, 100)).toBeUndefined();
    expect(gaps.next(1, 200)).toBe(100);
    gaps.interrupt();
    expect(gaps.next(1, 900)).toBeUndefined();
    expect(gaps.next(1, 1_000)).toBe(900);
    expect(gaps.next(2, 1_500)).toBeUndefined();
    expect(gaps.next(2, 1_600)).toBe(1_500);
  });
});
