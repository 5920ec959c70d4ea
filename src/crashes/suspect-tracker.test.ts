import {SuspectTracker} from './suspect-tracker';

describe('requests in flight when targets crashed', () => {
  it('are quarantined after crashes of three lifetimes, not three reports of one', () => {
    const tracker = new SuspectTracker();
    for (let at = 0; at < 5; at += 1) {
      tracker.noteCrash('deadly', 'a', at);
    }
    tracker.noteCrash('deadly', 'b', 10);
    expect(tracker.shouldQuarantine('deadly', 10)).toBe(false);
    tracker.noteCrash('deadly', 'c', 20);
    expect(tracker.shouldQuarantine('deadly', 20)).toBe(true);
  });

  it('are not quarantined if they are also served', () => {
    const tracker = new SuspectTracker();
    for (let at = 0; at < 6; at += 1) {
      tracker.noteCrash('popular', `life-${at}`, at);
      tracker.noteServed('popular', at);
    }
    expect(tracker.shouldQuarantine('popular', 10)).toBe(false);
    // A success of a request without crashes makes it no suspect.
    tracker.noteServed('other', 10);
    expect(tracker.isSuspect('other', 10)).toBe(false);
  });

  it('expire and are bounded in number', () => {
    const tracker = new SuspectTracker();
    for (let at = 0; at < 3_000; at += 1) {
      tracker.noteCrash(`d-${at}`, 'a', 0);
    }
    expect(tracker.size).toBe(2_048);
    expect(tracker.isEmpty(1)).toBe(false);
    expect(tracker.isEmpty(60_001)).toBe(true);
    expect(tracker.isSuspect('d-2999', 60_001)).toBe(false);
  });
});
