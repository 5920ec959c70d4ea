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

  // Guards against a shared first part that is blamed for the crashes of another.
  it('are blamed where the fewest requests have them, of all that explain the crashes', () => {
    const tracker = new SuspectTracker();
    crash(tracker, 'a', 'first', 'bad', 'session-1', 'request-1');
    crash(tracker, 'b', 'first', 'bad', 'session-2', 'request-2');
    crash(tracker, 'c', 'first', 'bad', 'session-3', 'request-3');
    tracker.addExposure('svc first', 20, 0);
    tracker.addExposure('svc bad', 2, 0);
    expect(tracker.takeGuilty('svc', 0)).toEqual(['svc bad']);
    crash(tracker, 'd', 'first', 'session-4', 'request-4');
    tracker.noteServed('svc first', 0);
    expect(tracker.takeGuilty('svc', 0)).not.toContain('svc first');
  });

  it('are blamed beside each other if their crashes differ', () => {
    const tracker = new SuspectTracker();
    ['a', 'b', 'c'].forEach(life => {
      crash(tracker, life, 'first', 'bad-1', `request-${life}`);
    });
    ['d', 'e', 'f'].forEach(life => {
      crash(tracker, life, 'first', 'bad-2', `request-${life}`);
    });
    tracker.addExposure('svc first', 20, 0);
    expect(tracker.takeGuilty('svc', 0).sort()).toEqual([
      'svc bad-1',
      'svc bad-2',
    ]);
  });

  // Guards against sessions that are refused for one request of theirs.
  it('are no parts if only one request crashes targets', () => {
    const tracker = new SuspectTracker();
    ['a', 'b', 'c', 'd'].forEach(life => {
      crash(tracker, life, 'first', 'session', 'request');
    });
    expect(tracker.takeGuilty('svc', 0)).toEqual(['svc request']);
  });

  // Guards against a part that a whole service shares being blamed for a loss of power.
  it('count crashes at the same time once if they were served before', () => {
    const tracker = new SuspectTracker();
    const at = (now: number, life: string) => {
      const involvement = {request: `r-${life}`, answeredMs: 0, specificity: 0};
      tracker.noteCrash('svc first', life, now, involvement);
      tracker.noteSpaced('svc first', now);
    };
    ['a', 'b', 'c', 'd', 'e'].forEach((life, index) => at(index * 100, life));
    expect(tracker.takeGuilty('svc', 500)).toEqual([]);
    at(1_500, 'f');
    expect(tracker.takeGuilty('svc', 1_500)).toEqual([]);
    at(3_000, 'g');
    expect(tracker.takeGuilty('svc', 3_000)).toEqual(['svc first']);
  });

  it('are passed on with their evidence', () => {
    const [tracker, other] = [new SuspectTracker(), new SuspectTracker()];
    crash(tracker, 'a', 'bad', 'request-1');
    crash(tracker, 'b', 'bad', 'request-2');
    tracker.states('svc', 10, 0).forEach(state => other.adopt(state, 0));
    crash(other, 'b', 'bad', 'request-2');
    expect(other.takeGuilty('svc', 0)).toEqual([]);
    crash(other, 'c', 'bad', 'request-3');
    expect(other.takeGuilty('svc', 0)).toEqual(['svc bad']);
  });

  it('have survived once they are answered for longer than those that crashed', () => {
    const tracker = new SuspectTracker();
    const involvement = {request: 'r', answeredMs: 100, specificity: 0};
    tracker.noteCrash('svc part', 'a', 0, involvement);
    expect(tracker.hasSurvived('svc part', 450, 0)).toBe(false);
    expect(tracker.hasSurvived('svc part', 451, 0)).toBe(true);
    expect(tracker.hasSurvived('svc other', 9_999, 0)).toBe(false);
  });

  // Guards against unique requests that push out a part which all of them share.
  it('keep a part of all crashes among requests of which no two are alike', () => {
    const tracker = new SuspectTracker();
    for (let at = 0; at < 2_500; at += 1) {
      crash(tracker, `life-${at}`, 'bad', `request-${at}`);
    }
    expect(tracker.size).toBe(2_048);
    expect(tracker.shouldQuarantine('svc bad', 0)).toBe(true);
  });
});

/** Records a crash with one request; its last fingerprint is the whole one. */
function crash(
  tracker: SuspectTracker,
  lifetime: string,
  ...names: string[]
): void {
  const all = names.map(name => `svc ${name}`);
  const request = all[all.length - 1]!;
  all.forEach((one, specificity) =>
    tracker.noteCrash(one, lifetime, 0, {request, answeredMs: 0, specificity}),
  );
}
