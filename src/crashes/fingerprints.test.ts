import * as fingerprints from './fingerprints';

describe('fingerprints of a request', () => {
  it('are its shared parts in order, then the whole request, by service', () => {
    const all = [
      ...fingerprints.ofParts('svc', ['a', 'b', 'a']),
      fingerprints.ofRequest('svc', 'digest'),
    ];
    expect(all).toEqual(['svc part a', 'svc part b', 'svc request digest']);
    expect(all.map(fingerprints.serviceOf)).toEqual(['svc', 'svc', 'svc']);
  });

  it('are bounded in number and length', () => {
    const ids = Array.from({length: 2_000}, (_, at) => `${at}`.repeat(500));
    const all = fingerprints.ofParts('svc', ids);
    expect(all.length).toBe(32);
    expect(Math.max(...all.map(one => one.length))).toBeLessThan(64);
    expect(new Set(all).size).toBe(32);
  });
});
