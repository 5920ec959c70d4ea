import {SuspectTracker} from './suspect-tracker';

describe('requests that were under way as targets crashed', () => {
  it('are guilty after three lifetimes, not after three words of one', () => {
    const book = new SuspectTracker();
    for (let at = 0; at < 5; at += 1) {
      book.noteCrash('deadly', 'a', at);
    }
    book.noteCrash('deadly', 'b', 10);
    expect(book.shouldQuarantine('deadly', 10)).toBe(false);
    book.noteCrash('deadly', 'c', 20);
    expect(book.shouldQuarantine('deadly', 20)).toBe(true);
  });

  it('are not where they are served as well', () => {
    const book = new SuspectTracker();
    for (let at = 0; at < 6; at += 1) {
      book.noteCrash('popular', `life-${at}`, at);
      book.noteServed('popular', at);
    }
    expect(book.shouldQuarantine('popular', 10)).toBe(false);
    // Nobody's word counts for one that was never suspected.
    book.noteServed('other', 10);
    expect(book.isSuspect('other', 10)).toBe(false);
  });

  it('are forgotten, and kept in a bounded number', () => {
    const book = new SuspectTracker();
    for (let at = 0; at < 3_000; at += 1) {
      book.noteCrash(`d-${at}`, 'a', 0);
    }
    expect(book.size).toBe(2_048);
    expect(book.isEmpty(1)).toBe(false);
    expect(book.isEmpty(60_001)).toBe(true);
    expect(book.isSuspect('d-2999', 60_001)).toBe(false);
  });
});
