import * as election from './watcher-election';

const entries = Array.from({length: 35}, (_, at) => `10.0.${at}.1:7340`);
const FRESH_MS = 400;

function watching(known: (own: string) => readonly string[], ageMs: number) {
  return entries.filter(own => {
    const peers = known(own).filter(address => address !== own);
    return new election.WatcherElection(own).shouldWatch(peers, ageMs, 50_000);
  });
}

describe('election of the processes that watch the store', () => {
  it('elects a few of many, the same in every process', () => {
    const watchers = watching(() => entries, FRESH_MS);
    expect(watchers).toHaveLength(election.WATCHER_COUNT);
    expect([...watchers].sort()).toEqual(
      [...election.electWatchers(entries)].sort(),
    );
  });

  it('elects everyone in a small site', () => {
    const three = entries.slice(0, election.WATCHER_COUNT);
    three.forEach(own => {
      const peers = three.filter(address => address !== own);
      const candidate = new election.WatcherElection(own);
      expect(candidate.shouldWatch(peers, FRESH_MS, 50_000)).toBe(true);
    });
  });

  it('elects at least one process even if each knows few others', () => {
    const part = (own: string) =>
      entries.filter((_, at) => (at + entries.indexOf(own)) % 5 === 0);
    expect(watching(part, FRESH_MS).length).toBeGreaterThanOrEqual(1);
    expect(watching(() => [], FRESH_MS)).toEqual(entries);
  });

  it('adds a process whose updates are late, for some seconds', () => {
    const [own] = entries.filter(
      one => !election.electWatchers(entries).includes(one),
    ) as [string];
    const peers = entries.filter(one => one !== own);
    const candidate = new election.WatcherElection(own);
    expect(candidate.shouldWatch(peers, FRESH_MS, 50_000)).toBe(false);
    expect(candidate.shouldWatch(peers, 2_000, 50_300)).toBe(true);
    expect(candidate.shouldWatch(peers, FRESH_MS, 51_000)).toBe(true);
    expect(candidate.shouldWatch(peers, FRESH_MS, 58_400)).toBe(false);
  });
});
