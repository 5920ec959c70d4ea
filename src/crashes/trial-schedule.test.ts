import {FIRST_TRIAL_MS} from './quarantine';
import {TrialSchedule} from './trial-schedule';

describe('trials of a quarantined request', () => {
  it('are granted one at a time, further apart each time', () => {
    const schedule = new TrialSchedule();
    schedule.schedule('a', 0);
    const grantedAt: number[] = [];
    for (let now = 0; now <= 600_000; now += 500) {
      if (schedule.take('a', now)) {
        grantedAt.push(now);
      }
    }
    expect(grantedAt).toEqual([1_000, 5_000, 21_000, 85_000, 341_000]);
  });

  it('keep their spacing when the request is quarantined again', () => {
    const schedule = new TrialSchedule();
    schedule.schedule('a', 0);
    expect(schedule.take('a', FIRST_TRIAL_MS)).toBe(true);
    schedule.schedule('a', 2_000);
    expect(schedule.waitMs('a', 2_000)).toBe(4_000);
    expect(schedule.take('a', 5_500)).toBe(false);
    expect(schedule.take('a', 6_000)).toBe(true);
  });

  it('start with the first delay at a process that knows nothing of them', () => {
    const schedule = new TrialSchedule();
    expect(schedule.take('a', 0)).toBe(false);
    expect(schedule.waitMs('a', 0)).toBe(FIRST_TRIAL_MS);
    expect(schedule.take('a', FIRST_TRIAL_MS)).toBe(true);
  });
});
