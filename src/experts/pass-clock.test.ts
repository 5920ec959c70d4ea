import {PassClock} from './pass-clock';

/** A clock that has seen passes of 100 ms, the last one begin at 1,000. */
function steadyClock(): PassClock {
  const clock = new PassClock();
  for (let step = 0; step <= 40; step += 1) {
    clock.record(step, 1_000 - (40 - step) * 100);
  }
  return clock;
}

describe('telling when passes begin', () => {
  it('knows how long they take', () => {
    expect(steadyClock().passMs).toBeCloseTo(100, 0);
  });

  it('counts those that begin within a time, by where the last one is', () => {
    const clock = steadyClock();
    expect(clock.passesIn(50, 1_010)).toBe(0);
    expect(clock.passesIn(50, 1_060)).toBe(1);
    expect(clock.passesIn(150, 1_010)).toBe(1);
    expect(clock.passesIn(250, 1_060)).toBe(3);
  });

  it('takes a pass that is overdue to be about to end', () => {
    expect(steadyClock().passesIn(50, 1_900)).toBe(1);
  });

  it('passes over an idle time', () => {
    const clock = steadyClock();
    clock.record(41, 9_000);
    expect(clock.passMs).toBeCloseTo(100, 0);
  });
});
