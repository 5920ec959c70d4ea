import * as random from '../random';
import * as comeBack from './retry-delays';

/** Of a stream that has just come. */
const LEFT_MS = 8_000;
/** What callers heed, as a part of what they have left. */
const HEEDED_SHARE = 1 / 3;

function closed(changes: Partial<comeBack.ClosedGroup>): comeBack.ClosedGroup {
  return {closedMs: 10, formMs: 600, hasBeenOpen: true, ...changes};
}

describe('when a refused caller should come back', () => {
  beforeEach(() => random.seed(3));

  it('is when a group that has lost a rank has formed', () => {
    expect(comeBack.afterGroupClosed(closed({}), LEFT_MS)).toBe(840);
    expect(comeBack.afterGroupClosed(closed({closedMs: 500}), LEFT_MS)).toBe(
      350,
    );
  });

  it('is as late as is heeded where nobody knows, and not all at once', () => {
    const unknown = [closed({closedMs: 2_000}), closed({hasBeenOpen: false})];
    for (const group of unknown) {
      const times = Array.from({length: 200}, () =>
        comeBack.afterGroupClosed(group, LEFT_MS),
      );
      // A site that has lost power has its groups open after 1.7 s.
      expect(Math.min(...times)).toBeGreaterThan(1_700);
      expect(Math.max(...times)).toBeLessThan(LEFT_MS * HEEDED_SHARE);
      expect(Math.max(...times) - Math.min(...times)).toBeGreaterThan(400);
    }
  });

  it('is never beyond what is heeded, nor before now', () => {
    for (const leftMs of [-50, 0, 10, 300, 1_200, LEFT_MS]) {
      const times = [
        comeBack.afterFull(leftMs),
        comeBack.afterOverload(leftMs),
        comeBack.afterGroupClosed(closed({}), leftMs),
        comeBack.afterGroupClosed(closed({hasBeenOpen: false}), leftMs),
      ];
      expect(Math.min(...times)).toBeGreaterThanOrEqual(0);
      expect(Math.max(...times)).toBeLessThanOrEqual(
        Math.max(leftMs, 0) * HEEDED_SHARE,
      );
    }
  });

  it('is after the rest that all targets asked for, and not all at once', () => {
    const times = Array.from({length: 200}, () =>
      comeBack.afterCooldown(1_000, LEFT_MS),
    );
    expect(Math.min(...times)).toBeGreaterThanOrEqual(1_000);
    expect(Math.max(...times) - Math.min(...times)).toBeGreaterThan(300);
  });

  it('is as late as is heeded where the rest is longer', () => {
    const times = Array.from({length: 200}, () =>
      comeBack.afterCooldown(60_000, LEFT_MS),
    );
    expect(Math.max(...times)).toBeLessThan(LEFT_MS * HEEDED_SHARE);
    expect(Math.min(...times)).toBeGreaterThan(1_700);
    expect(Math.max(...times) - Math.min(...times)).toBeGreaterThan(400);
    expect(comeBack.afterCooldown(60_000, -5)).toBe(0);
  });
});
