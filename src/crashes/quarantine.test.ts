import {QUARANTINE_MS, Quarantine} from './quarantine';

describe('requests that are refused because they crash targets', () => {
  it('are so for a time that their return renews', () => {
    const convictions = new Quarantine();
    expect(convictions.add('a', QUARANTINE_MS, 0)).toBe(true);
    expect(convictions.add('a', QUARANTINE_MS, 1)).toBe(false);
    expect(convictions.checkAndRenew('b', 2)).toBe(false);
    expect(convictions.checkAndRenew('a', QUARANTINE_MS - 1)).toBe(true);
    expect(convictions.checkAndRenew('a', 2 * QUARANTINE_MS - 2)).toBe(true);
    expect(convictions.isEmpty(3 * QUARANTINE_MS)).toBe(true);
    expect(convictions.checkAndRenew('a', 3 * QUARANTINE_MS)).toBe(false);
  });

  it('are told again now and then, and to who starts', () => {
    const convictions = new Quarantine();
    convictions.add('a', QUARANTINE_MS, 0);
    expect(convictions.takeNotification('a', 10_000)).toBe(false);
    expect(convictions.takeNotification('a', 31_000)).toBe(true);
    expect(convictions.takeNotification('a', 32_000)).toBe(false);
    expect(convictions.notices(20_000)).toEqual([
      {digest: 'a', leftMs: QUARANTINE_MS - 20_000},
    ]);
    expect(convictions.notices(QUARANTINE_MS)).toEqual([]);
  });

  it('are kept in a bounded number, for no longer than is allowed', () => {
    const convictions = new Quarantine();
    for (let at = 0; at < 2_000; at += 1) {
      convictions.add(`d-${at}`, 10 * QUARANTINE_MS, 0);
    }
    expect(convictions.size).toBe(1_024);
    expect(convictions.isEmpty(QUARANTINE_MS)).toBe(true);
  });
});
