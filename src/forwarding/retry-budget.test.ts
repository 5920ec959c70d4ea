import {RetryBudget} from './retry-budget';

const SETTINGS = {share: 0.2, windowMs: 10_000, extra: 90};

describe("an entry's retry budget", () => {
  it('allows a share of its requests and a part of the extra', () => {
    const budget = new RetryBudget(() => SETTINGS);
    let drawn = 0;
    for (let at = 0; at < 100; at += 1) {
      budget.noteRequest(at);
      drawn += budget.tryDraw(at) ? 1 : 0;
    }
    expect(drawn).toBe(21);
  });

  it('counts in a sliding window', () => {
    const budget = new RetryBudget(() => SETTINGS);
    expect([1, 2, 3, 4].map(at => budget.tryDraw(at))).toEqual([
      true,
      true,
      true,
      false,
    ]);
    expect(budget.tryDraw(9_000)).toBe(false);
    expect(budget.tryDraw(10_002)).toBe(true);
  });

  it.each([4, 17, 35, 60])(
    'keeps %i entries, half of them unknown, under the extra together',
    entries => {
      const known = () => Math.ceil(entries / 2);
      let drawn = 0;
      for (let entry = 0; entry < entries; entry += 1) {
        const budget = new RetryBudget(
          () => ({...SETTINGS, extra: 194}),
          known,
        );
        while (budget.tryDraw(1)) {
          drawn += 1;
        }
      }
      expect(drawn).toBeLessThanOrEqual(194);
    },
  );
});
