import {UNSAMPLED_LINES_PER_SECOND, LogRateLimiter} from './log-rate-limiter';

function infoLine(request: string) {
  return {isInfo: true, request};
}

describe('LogRateLimiter', () => {
  it('admits every line up to the unsampled rate', () => {
    const limiter = new LogRateLimiter();
    for (let at = 0; at < UNSAMPLED_LINES_PER_SECOND; at += 1) {
      expect(limiter.admit(infoLine(`r${at}`), 0)).toBe(true);
    }
    expect(limiter.takeDropped()).toBe(0);
  });

  it('samples the same requests in every process', () => {
    const admittedIds = () => {
      const limiter = new LogRateLimiter();
      for (let at = 0; at < UNSAMPLED_LINES_PER_SECOND; at += 1) {
        limiter.admit(infoLine('filler'), 0);
      }
      return Array.from({length: 200}, (_, at) => `r${at}`).filter(id =>
        limiter.admit(infoLine(id), 0),
      );
    };
    const admitted = admittedIds();
    expect(admitted).toEqual(admittedIds());
    expect(admitted.length).toBeGreaterThan(5);
    expect(admitted.length).toBeLessThan(80);
  });

  it('admits warnings up to twice the unsampled rate', () => {
    const limiter = new LogRateLimiter();
    const warning = {isInfo: false, request: undefined};
    let admitted = 0;
    for (let at = 0; at < 5 * UNSAMPLED_LINES_PER_SECOND; at += 1) {
      admitted += limiter.admit(warning, 0) ? 1 : 0;
    }
    expect(admitted).toBe(2 * UNSAMPLED_LINES_PER_SECOND);
    expect(limiter.takeDropped()).toBe(3 * UNSAMPLED_LINES_PER_SECOND);
  });

  it('starts a new count each second', () => {
    const limiter = new LogRateLimiter();
    for (let at = 0; at < 3 * UNSAMPLED_LINES_PER_SECOND; at += 1) {
      limiter.admit(infoLine('r'), 0);
    }
    expect(limiter.admit(infoLine('other'), 1_000)).toBe(true);
  });
});
