import * as random from '../random';
import {PeerDirectory} from './peer-directory';
import {electWatchers} from './watcher-election';

describe('the peers that a process may ask', () => {
  it('asks neither itself nor anybody twice', () => {
    const book = new PeerDirectory('a:1', ['a:1', 'b:1', 'b:1']);
    book.add(['a:1', 'b:1', 'c:1', 'c:1']);
    expect(book.chooseToPoll(9).sort()).toEqual(['b:1', 'c:1']);
  });

  it('keeps to the one that helped last, and drops the silent', () => {
    const book = new PeerDirectory('a:1', ['b:1']);
    book.add(['c:1', 'd:1']);
    book.recordCall('c:1', true, true);
    expect(book.chooseToPoll(1)).toEqual(['c:1']);
    book.recordCall('c:1', false, false);
    book.recordCall('b:1', false, false);
    expect(book.chooseToPoll(9).sort()).toEqual(['b:1', 'd:1']);
  });

  it('always tells of those that should watch the store', () => {
    const all = Array.from({length: 35}, (_, at) => `x:${at}`);
    const book = new PeerDirectory('a:1', []);
    book.add(all);
    const told = book.chooseToShare();
    const [first] = electWatchers([...all, 'a:1']);
    expect(told).toContain(first);
    expect(told.length).toBeLessThan(10);
  });

  it('agrees on who watches, wherever the first greetings went', () => {
    random.seed(3);
    const all = Array.from({length: 35}, (_, at) => `x:${at}`);
    const books = new Map(
      all.map(own => [own, new PeerDirectory(own, all.slice(0, 3))]),
    );
    for (let round = 0; round < 8; round += 1) {
      for (const [own, book] of books) {
        for (const peer of book.chooseRandom()) {
          const other = books.get(peer)!;
          other.add([own]);
          book.add(other.chooseToShare());
        }
      }
    }
    const isWatcher = ([own, book]: [string, PeerDirectory]) =>
      electWatchers([own, ...book.known]).includes(own);
    expect([...books].filter(isWatcher)).toHaveLength(3);
  });

  it('remembers no more than it has room for', () => {
    const book = new PeerDirectory('a:1', []);
    book.add(Array.from({length: 1_000}, (_, at) => `x:${at}`));
    expect(book.chooseToPoll(1_000).length).toBeLessThan(100);
    expect(book.chooseToShare().length).toBeLessThan(10);
  });
});
