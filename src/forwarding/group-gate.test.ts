import {RetryDetector} from './retry-detector';
import {GroupGate} from './group-gate';

describe('the gate of a group of ranks', () => {
  function closedAt(now: number): GroupGate {
    const gate = new GroupGate();
    gate.noteRefused('g', 'a', now - 10);
    gate.noteRefused('g', 'b', now);
    return gate;
  }

  it('stays open if only one rank refuses', () => {
    const gate = new GroupGate();
    expect(gate.noteRefused('g', 'a', 0)).toBe(false);
    expect(gate.noteRefused('g', 'a', 10)).toBe(false);
    expect(gate.tryEnter('g', 20)).toBe(true);
  });

  it('stays open if another rank accepts requests', () => {
    const gate = new GroupGate();
    gate.noteRefused('g', 'a', 0);
    gate.noteAccepted('g', 12);
    expect(gate.noteRefused('g', 'b', 10)).toBe(false);
    expect(gate.closedMs('g', 20)).toBe(0);
  });

  it('closes if two ranks refuse in succession', () => {
    const gate = closedAt(100);
    expect(gate.closedMs('g', 130)).toBe(30);
    expect(gate.closedMs('other', 130)).toBe(0);
    expect(gate.closedMs(undefined, 130)).toBe(0);
  });

  it('admits one probe per interval while closed', () => {
    const gate = closedAt(100);
    expect(gate.tryEnter('g', 160)).toBe(true);
    expect(gate.tryEnter('g', 161)).toBe(false);
    expect(gate.tryEnter('g', 219)).toBe(false);
    expect(gate.tryEnter('g', 220)).toBe(true);
    gate.noteAccepted('g', 12);
    expect(gate.tryEnter('g', 221)).toBe(true);
    expect(gate.tryEnter('g', 221)).toBe(true);
  });

  // Guards against requests that wait for a tick although their group is open.
  it('reports each opening, by a request or by the passing of time', () => {
    const gate = closedAt(100);
    const opened: string[] = [];
    gate.openings.subscribe(group => opened.push(group));
    gate.noteAccepted('g', 120);
    gate.noteAccepted('g', 130);
    expect(opened).toEqual(['g']);
    gate.noteReport('g', false, 140);
    gate.closedMs('g', 2_000);
    expect(opened).toEqual(['g', 'g']);
  });

  it('admits no probe while a sidecar reports it closed', () => {
    const gate = new GroupGate();
    expect(gate.noteReport('g', false, 100)).toBe('closed');
    expect(gate.noteReport('g', false, 500)).toBe('known');
    expect(gate.closedMs('g', 600)).toBe(500);
    expect(gate.tryEnter('g', 600)).toBe(false);
    expect(gate.hasBeenOpen('g')).toBe(false);
    expect(gate.noteReport('g', true, 700)).toBe('opened');
    expect(gate.tryEnter('g', 701)).toBe(true);
    expect(gate.hasBeenOpen('g')).toBe(true);
  });

  it('admits probes again once reports have ceased', () => {
    const gate = new GroupGate();
    gate.noteReport('g', false, 100);
    expect(gate.tryEnter('g', 900)).toBe(true);
    expect(gate.tryEnter('g', 901)).toBe(false);
  });

  it('ignores reports older than the outcome of a request', () => {
    const gate = closedAt(100);
    gate.noteReport('g', true, 90);
    expect(gate.closedMs('g', 130)).toBe(30);
    gate.noteAccepted('g', 140);
    expect(gate.noteReport('g', false, 135)).toBe('known');
    expect(gate.closedMs('g', 150)).toBe(0);
    expect(gate.noteReport('g', false, 160)).toBe('closed');
  });

  // Guards against sends to the ranks of a group that is still forming.
  it('admits nothing to a group whose state is unknown, then probes', () => {
    const gate = new GroupGate();
    gate.noteKnown('g', 100);
    expect(gate.isUnknown('g', 110)).toBe(true);
    expect(gate.tryEnter('g', 739)).toBe(false);
    expect(gate.tryEnter('g', 740)).toBe(true);
    expect(gate.tryEnter('g', 741)).toBe(false);
    expect(gate.isUnknown('g', 741)).toBe(true);
    expect(gate.noteRefused('g', 'a', 750)).toBe(false);
    expect(gate.isUnknown('g', 750)).toBe(true);
    expect(gate.noteRefused('g', 'b', 810)).toBe(true);
    expect(gate.isUnknown('g', 810)).toBe(false);
    expect(gate.closedMs('g', 820)).toBe(10);
  });

  // Guards against requests that wait although the state has been reported.
  it('takes the first report or acceptance for the state', () => {
    const gate = new GroupGate();
    const opened: string[] = [];
    gate.openings.subscribe(group => opened.push(group));
    ['a', 'b', 'c'].forEach(group => gate.noteKnown(group, 100));
    // The sidecar read its rank before this process knew of the group.
    expect(gate.noteReport('a', true, 90)).toBe('known');
    expect(gate.noteReport('b', false, 90)).toBe('closed');
    gate.noteAccepted('c', 120);
    expect(opened).toEqual(['a', 'c']);
    expect(gate.isUnknown('b', 120)).toBe(false);
    expect(['a', 'b', 'c'].map(one => gate.closedMs(one, 120) > 0)).toEqual([
      false,
      true,
      false,
    ]);
  });

  // Guards against a second hold of a group that has been open or probed.
  it('holds a group only once, and not if its state is known', () => {
    const gate = new GroupGate();
    gate.noteReport('a', true, 90);
    gate.noteKnown('a', 100);
    expect(gate.closedMs('a', 110)).toBe(0);
    gate.noteKnown('b', 100);
    expect(gate.closedMs('b', 1_200)).toBe(0);
    gate.noteKnown('b', 1_300);
    expect(gate.closedMs('b', 1_310)).toBe(0);
  });

  it('opens after a time without probes', () => {
    const gate = closedAt(100);
    expect(gate.closedMs('g', 2_000)).toBe(0);
  });
});

describe('detecting retries', () => {
  it('compares the time left with that of other callers', () => {
    const detector = new RetryDetector();
    expect(detector.isLikelyRetry('r', 8_017, 8_000)).toBe(false);
    expect(detector.isLikelyRetry('r', 8_010, 8_000)).toBe(false);
    expect(detector.isLikelyRetry('r', 6_400, 8_000)).toBe(true);
    // Above the route's timeout, callers are compared with each other.
    expect(detector.isLikelyRetry('q', 1_500, 800)).toBe(false);
    expect(detector.isLikelyRetry('q', 1_100, 800)).toBe(true);
  });
});
