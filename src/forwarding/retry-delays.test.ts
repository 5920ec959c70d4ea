import * as random from '../random';
import * as retryDelays from './retry-delays';

const LEFT_MS = 8_000;
/** Maximum share of their time left that callers honour as a delay. */
const HONOURED_SHARE = 1 / 3;

function closed(
  changes: Partial<retryDelays.ClosedGroup>,
): retryDelays.ClosedGroup {
  return {closedMs: 10, formMs: 600, hasBeenOpen: true, ...changes};
}

describe('the retry delay of a refused caller', () => {
  beforeEach(() => random.seed(3));

  it('ends when a group that has lost a rank has formed again', () => {
    expect(retryDelays.afterGroupClosed(closed({}), LEFT_MS)).toBe(840);
    expect(retryDelays.afterGroupClosed(closed({closedMs: 500}), LEFT_MS)).toBe(
      350,
    );
  });

  it('is near the honoured maximum, with jitter, if the group may open any time', () => {
    const groups = [closed({closedMs: 2_000}), closed({hasBeenOpen: false})];
    for (const group of groups) {
      const delays = Array.from({length: 200}, () =>
        retryDelays.afterGroupClosed(group, LEFT_MS),
      );
      // After a power loss, a site's groups are open after 1.7 s.
      expect(Math.min(...delays)).toBeGreaterThan(1_700);
      expect(Math.max(...delays)).toBeLessThan(LEFT_MS * HONOURED_SHARE);
      expect(Math.max(...delays) - Math.min(...delays)).toBeGreaterThan(400);
    }
  });

  it('is never negative nor above the honoured maximum', () => {
    for (const leftMs of [-50, 0, 10, 300, 1_200, LEFT_MS]) {
      const delays = [
        retryDelays.afterFull(leftMs),
        retryDelays.afterOverload(leftMs),
        retryDelays.afterGroupClosed(closed({}), leftMs),
        retryDelays.afterGroupClosed(closed({hasBeenOpen: false}), leftMs),
      ];
      expect(Math.min(...delays)).toBeGreaterThanOrEqual(0);
      expect(Math.max(...delays)).toBeLessThanOrEqual(
        Math.max(leftMs, 0) * HONOURED_SHARE,
      );
    }
  });

  it('ends after the cooldown of all targets, with jitter', () => {
    const delays = Array.from({length: 200}, () =>
      retryDelays.afterCooldown(1_000, LEFT_MS),
    );
    expect(Math.min(...delays)).toBeGreaterThanOrEqual(1_000);
    expect(Math.max(...delays) - Math.min(...delays)).toBeGreaterThan(300);
  });

  it('is near the honoured maximum, with jitter, if the cooldown is longer', () => {
    const delays = Array.from({length: 200}, () =>
      retryDelays.afterCooldown(60_000, LEFT_MS),
    );
    expect(Math.max(...delays)).toBeLessThan(LEFT_MS * HONOURED_SHARE);
    expect(Math.min(...delays)).toBeGreaterThan(1_700);
    expect(Math.max(...delays) - Math.min(...delays)).toBeGreaterThan(400);
    expect(retryDelays.afterCooldown(60_000, -5)).toBe(0);
  });
});
