import {RetrySchedule} from './retry-schedule';

describe('the scheduled retries of refused callers', () => {
  it('are evenly spaced by service', () => {
    const schedule = new RetrySchedule();
    expect(schedule.nextDelayMs('s', 100, 500, 0)).toBe(100);
    expect(schedule.nextDelayMs('s', 100, 500, 0)).toBe(600);
    expect(schedule.nextDelayMs('s', 100, 500, 50)).toBe(1_050);
    expect(schedule.nextDelayMs('other', 100, 500, 50)).toBe(100);
    expect(schedule.nextDelayMs('s', 100, 500, 5_000)).toBe(100);
  });

  it('are no later than the maximum, unless the targets need longer', () => {
    const schedule = new RetrySchedule();
    const times = Array.from({length: 100}, () =>
      schedule.nextDelayMs('s', 0, 500, 0),
    );
    expect(Math.max(...times)).toBe(10_000);
    expect(schedule.nextDelayMs('s', 20_000, 500, 0)).toBe(20_000);
  });
});
