import {PassClock} from './pass-clock';

/** Passes of 100 ms, of which the last began at 1,000. */
function steadyClock(): PassClock {
  const clock = new PassClock();
  for (let step = 0; step <= 40; step += 1) {
    clock.record(step, 1_000 - (40 - step) * 100);
  }
  return clock;
}

describe('the estimate of when passes begin', () => {
  it('has their duration', () => {
    expect(steadyClock().passMs).toBeCloseTo(100, 0);
  });

  it('counts the passes that begin within a time from now', () => {
    const clock = steadyClock();
    expect(clock.passesIn(50, 1_010)).toBe(0);
    expect(clock.passesIn(50, 1_060)).toBe(1);
    expect(clock.passesIn(150, 1_010)).toBe(1);
    expect(clock.passesIn(250, 1_060)).toBe(3);
  });

  it('assumes that an overdue pass is about to end', () => {
    expect(steadyClock().passesIn(50, 1_900)).toBe(1);
  });

  it('ignores idle time', () => {
    const clock = steadyClock();
    clock.record(41, 9_000);
    expect(clock.passMs).toBeCloseTo(100, 0);
  });
});
