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

  it('are released by a success after many crashes at once', () => {
    const tracker = new SuspectTracker();
    for (let at = 0; at < 20; at += 1) {
      tracker.noteCrash('popular', `life-${at}`, at);
    }
    expect(tracker.shouldQuarantine('popular', 20)).toBe(true);
    tracker.noteServed('popular', 21);
    expect(tracker.shouldQuarantine('popular', 21)).toBe(false);
  });

  it('are quarantined despite many successes before the crashes', () => {
    const tracker = new SuspectTracker();
    tracker.noteCrash('changed', 'a', 0);
    for (let at = 1; at < 100; at += 1) {
      tracker.noteServed('changed', at);
    }
    for (const lifetime of ['b', 'c', 'd']) {
      tracker.noteCrash('changed', lifetime, 100);
    }
    expect(tracker.shouldQuarantine('changed', 100)).toBe(true);
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
