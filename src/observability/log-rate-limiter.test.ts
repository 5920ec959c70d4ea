import {UNSAMPLED_LINES_PER_SECOND, LogRateLimiter} from './log-rate-limiter';

function ordinary(request: string) {
  return {isInfo: true, request};
}

describe('the budget of log lines', () => {
  it('keeps everything under it', () => {
    const budget = new LogRateLimiter();
    for (let at = 0; at < UNSAMPLED_LINES_PER_SECOND; at += 1) {
      expect(budget.admit(ordinary(`r${at}`), 0)).toBe(true);
    }
    expect(budget.takeDropped()).toBe(0);
  });

  it('keeps the same requests in every process over it', () => {
    const keptBy = () => {
      const budget = new LogRateLimiter();
      for (let at = 0; at < UNSAMPLED_LINES_PER_SECOND; at += 1) {
        budget.admit(ordinary('filler'), 0);
      }
      return Array.from({length: 200}, (_, at) => `r${at}`).filter(id =>
        budget.admit(ordinary(id), 0),
      );
    };
    const kept = keptBy();
    expect(kept).toEqual(keptBy());
    expect(kept.length).toBeGreaterThan(5);
    expect(kept.length).toBeLessThan(80);
  });

  it('keeps warnings over it, but not without end', () => {
    const budget = new LogRateLimiter();
    const warning = {isInfo: false, request: undefined};
    let kept = 0;
    for (let at = 0; at < 5 * UNSAMPLED_LINES_PER_SECOND; at += 1) {
      kept += budget.admit(warning, 0) ? 1 : 0;
    }
    expect(kept).toBe(2 * UNSAMPLED_LINES_PER_SECOND);
    expect(budget.takeDropped()).toBe(3 * UNSAMPLED_LINES_PER_SECOND);
  });

  it('begins anew each second', () => {
    const budget = new LogRateLimiter();
    for (let at = 0; at < 3 * UNSAMPLED_LINES_PER_SECOND; at += 1) {
      budget.admit(ordinary('r'), 0);
    }
    expect(budget.admit(ordinary('other'), 1_000)).toBe(true);
  });
});
