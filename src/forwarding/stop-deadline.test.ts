import {StopDeadline} from './stop-deadline';

describe('the deadline of a planned stop', () => {
  const LEFT_MS = 1_000;
  const often = (ms: number) => Array<number>(16).fill(ms);

  function stoppingAfter(durations: readonly number[]): StopDeadline {
    const deadline = new StopDeadline();
    durations.forEach(ms => deadline.note('route', ms, 0));
    deadline.set(LEFT_MS, 0);
    return deadline;
  }

  it('lets all requests be sent before a stop', () => {
    const deadline = new StopDeadline();
    expect(deadline.canAnswer('route', Infinity, 0)).toBe(true);
    expect(deadline.leftMs(0)).toBe(Infinity);
  });

  it.each([
    {what: 'a route without answers', durations: [], timeLeftMs: 2_100},
    {what: 'a route of few answers', durations: [100], timeLeftMs: 2_100},
    {what: 'a route of long answers', durations: often(900), timeLeftMs: 5_000},
    {what: 'a long answer among few', durations: [900], timeLeftMs: 1_500},
    {
      what: 'a route of which one in 60 answers is long',
      durations: [900, ...Array<number>(60).fill(100)],
      timeLeftMs: 5_000,
    },
    {
      what: 'a route of which one in 1,000 answers is long',
      durations: [900, ...Array<number>(1_000).fill(100)],
      timeLeftMs: 5_000,
    },
  ])('excludes $what', ({durations, timeLeftMs}) => {
    const deadline = stoppingAfter(durations);
    expect(deadline.canAnswer('route', timeLeftMs, 0)).toBe(false);
  });

  it.each([
    {what: 'a short deadline', durations: often(900), timeLeftMs: 1_000},
    {
      what: 'half of the time without answers',
      durations: [],
      timeLeftMs: 1_900,
    },
    {
      what: 'a route of short answers',
      durations: often(700),
      timeLeftMs: 5_000,
    },
  ])('allows $what', ({durations, timeLeftMs}) => {
    const deadline = stoppingAfter(durations);
    expect(deadline.canAnswer('route', timeLeftMs, 0)).toBe(true);
  });

  it('goes by the longest answer of some minutes', () => {
    // Guards against a long request that is taken after 64 short ones, and cut.
    const MINUTE_MS = 60_000;
    const allowedAfter = (minutes: number) => {
      const now = minutes * MINUTE_MS;
      const deadline = new StopDeadline();
      deadline.note('route', 900, 0);
      often(100).forEach(ms => deadline.note('route', ms, now));
      deadline.set(now + LEFT_MS, now);
      return deadline.canAnswer('route', 5_000, now);
    };
    expect([1, 4, 5].map(allowedAfter)).toEqual([false, false, true]);
  });

  it('goes by answers that are still under way', () => {
    const deadline = stoppingAfter(often(100));
    expect(deadline.canAnswer('route', 5_000, 0)).toBe(true);
    deadline.noteUnderWay('route', 900, 0);
    expect(deadline.canAnswer('route', 5_000, 0)).toBe(false);
  });

  it('allows 3 s after its start only what ends in time for certain', () => {
    // Guards against a request that is taken late in a stop, and cut.
    const deadline = new StopDeadline();
    often(100).forEach(ms => deadline.note('route', ms, 0));
    deadline.set(7_000, 0);
    const allowed = (now: number, timeLeftMs: number) =>
      deadline.canAnswer('route', timeLeftMs, now);
    expect(allowed(2_999, 4_100)).toBe(true);
    expect(allowed(3_000, 4_100)).toBe(false);
    expect(allowed(3_000, 4_000)).toBe(true);
    expect(allowed(6_500, 500)).toBe(true);
    expect(allowed(6_500, 501)).toBe(false);
  });

  it('allows less as the time passes', () => {
    const deadline = stoppingAfter(often(500));
    const allowed = [0, 300, 400].map(now =>
      deadline.canAnswer('route', 5_000, now),
    );
    expect(allowed).toEqual([true, true, false]);
  });

  it('keeps the samples of a bounded number of routes', () => {
    const deadline = new StopDeadline();
    often(100).forEach(ms => deadline.note('first', ms, 0));
    for (let at = 0; at < 1_024; at += 1) {
      often(100).forEach(ms => deadline.note(`route-${at}`, ms, 0));
    }
    deadline.set(LEFT_MS, 0);
    expect(deadline.canAnswer('first', 5_000, 0)).toBe(false);
    expect(deadline.canAnswer('route-0', 5_000, 0)).toBe(true);
  });
});
