import {RetryBudget} from './retry-budget';

const SETTINGS = {share: 0.2, windowMs: 10_000, extra: 90};

describe("an entry's part of the retries", () => {
  it('stays under the share of its requests, and a little', () => {
    const budget = new RetryBudget(() => SETTINGS);
    let drawn = 0;
    for (let at = 0; at < 100; at += 1) {
      budget.noteRequest(at);
      drawn += budget.tryDraw(at) ? 1 : 0;
    }
    expect(drawn).toBe(21);
  });

  it('counts a window that slides', () => {
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
});
