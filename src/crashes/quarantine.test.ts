import {QUARANTINE_MS, Quarantine} from './quarantine';

describe('quarantine of requests that crash targets', () => {
  it('refuses a request until it has not been sent for the quarantine time', () => {
    const quarantine = new Quarantine();
    expect(quarantine.add('a', QUARANTINE_MS, 0)).toBe(true);
    expect(quarantine.add('a', QUARANTINE_MS, 1)).toBe(false);
    expect(quarantine.checkAndRenew('b', 2)).toBe(false);
    expect(quarantine.checkAndRenew('a', QUARANTINE_MS - 1)).toBe(true);
    expect(quarantine.checkAndRenew('a', 2 * QUARANTINE_MS - 2)).toBe(true);
    expect(quarantine.isEmpty(3 * QUARANTINE_MS)).toBe(true);
    expect(quarantine.checkAndRenew('a', 3 * QUARANTINE_MS)).toBe(false);
  });

  it('renews notifications at intervals and lists active entries', () => {
    const quarantine = new Quarantine();
    quarantine.add('a', QUARANTINE_MS, 0);
    expect(quarantine.takeNotification('a', 10_000)).toBe(false);
    expect(quarantine.takeNotification('a', 31_000)).toBe(true);
    expect(quarantine.takeNotification('a', 32_000)).toBe(false);
    expect(quarantine.notices(20_000)).toEqual([
      {digest: 'a', leftMs: QUARANTINE_MS - 20_000},
    ]);
    expect(quarantine.notices(QUARANTINE_MS)).toEqual([]);
  });

  it('bounds the number of entries and their time', () => {
    const quarantine = new Quarantine();
    for (let at = 0; at < 2_000; at += 1) {
      quarantine.add(`d-${at}`, 10 * QUARANTINE_MS, 0);
    }
    expect(quarantine.size).toBe(1_024);
    expect(quarantine.isEmpty(QUARANTINE_MS)).toBe(true);
  });
});
