import * as random from '../random';
import {PeerDirectory} from './peer-directory';
import {electWatchers} from './watcher-election';

describe('peer directory', () => {
  it('lists neither the process itself nor duplicates', () => {
    const directory = new PeerDirectory('a:1', ['a:1', 'b:1', 'b:1']);
    directory.add(['a:1', 'b:1', 'c:1', 'c:1']);
    expect(directory.chooseToPoll(9).sort()).toEqual(['b:1', 'c:1']);
  });

  it('prefers the last helpful peer and removes unresponsive ones', () => {
    const directory = new PeerDirectory('a:1', ['b:1']);
    directory.add(['c:1', 'd:1']);
    directory.recordCall('c:1', true, true);
    expect(directory.chooseToPoll(1)).toEqual(['c:1']);
    directory.recordCall('c:1', false, false);
    directory.recordCall('b:1', false, false);
    expect(directory.chooseToPoll(9).sort()).toEqual(['b:1', 'd:1']);
  });

  it('always names the watchers of the store', () => {
    const all = Array.from({length: 35}, (_, at) => `x:${at}`);
    const directory = new PeerDirectory('a:1', []);
    directory.add(all);
    const shared = directory.chooseToShare();
    const [watcher] = electWatchers([...all, 'a:1']);
    expect(shared).toContain(watcher);
    expect(shared.length).toBeLessThan(10);
  });

  it('agrees on the watchers after a few rounds of random discovery', () => {
    random.seed(3);
    const all = Array.from({length: 35}, (_, at) => `x:${at}`);
    const directories = new Map(
      all.map(own => [own, new PeerDirectory(own, all.slice(0, 3))]),
    );
    for (let round = 0; round < 8; round += 1) {
      for (const [own, directory] of directories) {
        for (const peer of directory.chooseRandom()) {
          const other = directories.get(peer)!;
          other.add([own]);
          directory.add(other.chooseToShare());
        }
      }
    }
    const isWatcher = ([own, directory]: [string, PeerDirectory]) =>
      electWatchers([own, ...directory.known]).includes(own);
    expect([...directories].filter(isWatcher)).toHaveLength(3);
  });

  it('keeps a bounded number of peers', () => {
    const directory = new PeerDirectory('a:1', []);
    directory.add(Array.from({length: 1_000}, (_, at) => `x:${at}`));
    expect(directory.chooseToPoll(1_000).length).toBeLessThan(100);
    expect(directory.chooseToShare().length).toBeLessThan(10);
  });
});
