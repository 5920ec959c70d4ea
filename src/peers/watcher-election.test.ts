import * as duties from './watcher-election';

const entries = Array.from({length: 35}, (_, at) => `10.0.${at}.1:7340`);
const FRESH_MS = 400;

function watching(known: (own: string) => readonly string[], ageMs: number) {
  return entries.filter(own => {
    const peers = known(own).filter(address => address !== own);
    return new duties.WatcherElection(own).shouldWatch(peers, ageMs, 50_000);
  });
}

describe('who watches the store', () => {
  it('is a few of many, the same ones in every view', () => {
    const few = watching(() => entries, FRESH_MS);
    expect(few).toHaveLength(duties.WATCHER_COUNT);
    expect([...few].sort()).toEqual([...duties.electWatchers(entries)].sort());
  });

  it('is everybody where there are few', () => {
    const three = entries.slice(0, duties.WATCHER_COUNT);
    three.forEach(own => {
      const peers = three.filter(address => address !== own);
      const duty = new duties.WatcherElection(own);
      expect(duty.shouldWatch(peers, FRESH_MS, 50_000)).toBe(true);
    });
  });

  it('is somebody, however little each knows of the others', () => {
    const part = (own: string) =>
      entries.filter((_, at) => (at + entries.indexOf(own)) % 5 === 0);
    expect(watching(part, FRESH_MS).length).toBeGreaterThanOrEqual(1);
    expect(watching(() => [], FRESH_MS)).toEqual(entries);
  });

  it('is whoever hears late, for some seconds', () => {
    const [own] = entries.filter(
      one => !duties.electWatchers(entries).includes(one),
    ) as [string];
    const peers = entries.filter(one => one !== own);
    const duty = new duties.WatcherElection(own);
    expect(duty.shouldWatch(peers, FRESH_MS, 50_000)).toBe(false);
    expect(duty.shouldWatch(peers, 2_000, 50_300)).toBe(true);
    expect(duty.shouldWatch(peers, FRESH_MS, 51_000)).toBe(true);
    expect(duty.shouldWatch(peers, FRESH_MS, 58_400)).toBe(false);
  });
});
