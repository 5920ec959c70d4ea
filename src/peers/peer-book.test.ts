import * as random from '../random';
import {PeerBook} from './peer-book';
import {watchersOf} from './watch-duty';

describe('the peers that a process may ask', () => {
  it('asks neither itself nor anybody twice', () => {
    const book = new PeerBook('a:1', ['a:1', 'b:1', 'b:1']);
    book.learn(['a:1', 'b:1', 'c:1', 'c:1']);
    expect(book.toAsk(9).sort()).toEqual(['b:1', 'c:1']);
  });

  it('keeps to the one that helped last, and drops the silent', () => {
    const book = new PeerBook('a:1', ['b:1']);
    book.learn(['c:1', 'd:1']);
    book.note('c:1', true, true);
    expect(book.toAsk(1)).toEqual(['c:1']);
    book.note('c:1', false, false);
    book.note('b:1', false, false);
    expect(book.toAsk(9).sort()).toEqual(['b:1', 'd:1']);
  });

  it('always tells of those that should watch the store', () => {
    const all = Array.from({length: 35}, (_, at) => `x:${at}`);
    const book = new PeerBook('a:1', []);
    book.learn(all);
    const told = book.toTell();
    const [first] = watchersOf([...all, 'a:1']);
    expect(told).toContain(first);
    expect(told.length).toBeLessThan(10);
  });

  it('agrees on who watches, wherever the first greetings went', () => {
    random.seed(3);
    const all = Array.from({length: 35}, (_, at) => `x:${at}`);
    const books = new Map(
      all.map(own => [own, new PeerBook(own, all.slice(0, 3))]),
    );
    for (let round = 0; round < 8; round += 1) {
      for (const [own, book] of books) {
        for (const peer of book.toGreet()) {
          const other = books.get(peer)!;
          other.learn([own]);
          book.learn(other.toTell());
        }
      }
    }
    const isWatcher = ([own, book]: [string, PeerBook]) =>
      watchersOf([own, ...book.known]).includes(own);
    expect([...books].filter(isWatcher)).toHaveLength(3);
  });

  it('remembers no more than it has room for', () => {
    const book = new PeerBook('a:1', []);
    book.learn(Array.from({length: 1_000}, (_, at) => `x:${at}`));
    expect(book.toAsk(1_000).length).toBeLessThan(100);
    expect(book.toTell().length).toBeLessThan(10);
  });
});
