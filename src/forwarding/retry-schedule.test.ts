import {RetrySchedule} from './retry-schedule';

describe('when refused callers come back', () => {
  it('is one after the other, at the pace that is served', () => {
    const lines = new RetrySchedule();
    expect(lines.nextDelayMs('s', 100, 500, 0)).toBe(100);
    expect(lines.nextDelayMs('s', 100, 500, 0)).toBe(600);
    expect(lines.nextDelayMs('s', 100, 500, 50)).toBe(1_050);
    expect(lines.nextDelayMs('other', 100, 500, 50)).toBe(100);
    expect(lines.nextDelayMs('s', 100, 500, 5_000)).toBe(100);
  });

  it('is no later than callers would heed', () => {
    const lines = new RetrySchedule();
    const times = Array.from({length: 100}, () =>
      lines.nextDelayMs('s', 0, 500, 0),
    );
    expect(Math.max(...times)).toBe(10_000);
    expect(lines.nextDelayMs('s', 20_000, 500, 0)).toBe(20_000);
  });
});
