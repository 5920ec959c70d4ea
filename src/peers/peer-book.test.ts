import {PeerBook} from './peer-book';

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

  it('remembers no more than it has room for', () => {
    const book = new PeerBook('a:1', []);
    book.learn(Array.from({length: 1_000}, (_, at) => `x:${at}`));
    expect(book.toAsk(1_000).length).toBeLessThan(100);
    expect(book.toTell().length).toBeLessThan(10);
  });
});
