import {CONVICTED_MS, Convictions} from './convictions';

describe('requests that are refused because they crash targets', () => {
  it('are so for a time that their return renews', () => {
    const convictions = new Convictions();
    expect(convictions.convict('a', CONVICTED_MS, 0)).toBe(true);
    expect(convictions.convict('a', CONVICTED_MS, 1)).toBe(false);
    expect(convictions.takeRefusal('b', 2)).toBe(false);
    expect(convictions.takeRefusal('a', CONVICTED_MS - 1)).toBe(true);
    expect(convictions.takeRefusal('a', 2 * CONVICTED_MS - 2)).toBe(true);
    expect(convictions.isEmpty(3 * CONVICTED_MS)).toBe(true);
    expect(convictions.takeRefusal('a', 3 * CONVICTED_MS)).toBe(false);
  });

  it('are told again now and then, and to who starts', () => {
    const convictions = new Convictions();
    convictions.convict('a', CONVICTED_MS, 0);
    expect(convictions.takeTelling('a', 10_000)).toBe(false);
    expect(convictions.takeTelling('a', 31_000)).toBe(true);
    expect(convictions.takeTelling('a', 32_000)).toBe(false);
    expect(convictions.toTell(20_000)).toEqual([
      {digest: 'a', leftMs: CONVICTED_MS - 20_000},
    ]);
    expect(convictions.toTell(CONVICTED_MS)).toEqual([]);
  });

  it('are kept in a bounded number, for no longer than is allowed', () => {
    const convictions = new Convictions();
    for (let at = 0; at < 2_000; at += 1) {
      convictions.convict(`d-${at}`, 10 * CONVICTED_MS, 0);
    }
    expect(convictions.size).toBe(1_024);
    expect(convictions.isEmpty(CONVICTED_MS)).toBe(true);
  });
});
