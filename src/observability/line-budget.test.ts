import {LINES_PER_SECOND, LineBudget} from './line-budget';

function ordinary(request: string) {
  return {isOrdinary: true, request};
}

describe('the budget of log lines', () => {
  it('keeps everything under it', () => {
    const budget = new LineBudget();
    for (let at = 0; at < LINES_PER_SECOND; at += 1) {
      expect(budget.admit(ordinary(`r${at}`), 0)).toBe(true);
    }
    expect(budget.takeLeftOut()).toBe(0);
  });

  it('keeps the same requests in every process over it', () => {
    const keptBy = () => {
      const budget = new LineBudget();
      for (let at = 0; at < LINES_PER_SECOND; at += 1) {
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
    const budget = new LineBudget();
    const warning = {isOrdinary: false, request: undefined};
    let kept = 0;
    for (let at = 0; at < 5 * LINES_PER_SECOND; at += 1) {
      kept += budget.admit(warning, 0) ? 1 : 0;
    }
    expect(kept).toBe(2 * LINES_PER_SECOND);
    expect(budget.takeLeftOut()).toBe(3 * LINES_PER_SECOND);
  });

  it('begins anew each second', () => {
    const budget = new LineBudget();
    for (let at = 0; at < 3 * LINES_PER_SECOND; at += 1) {
      budget.admit(ordinary('r'), 0);
    }
    expect(budget.admit(ordinary('other'), 1_000)).toBe(true);
  });
});
