import {RetryDetector} from './retry-detector';
import {GroupGate} from './group-gate';

describe('the gate of a group of ranks', () => {
  const never = new AbortController().signal;

  function closedAt(now: number): GroupGate {
    const gate = new GroupGate();
    gate.noteRefused('g', 'a', now - 10);
    gate.noteRefused('g', 'b', now);
    return gate;
  }

  it('stays open where one rank is full', () => {
    const gate = new GroupGate();
    expect(gate.noteRefused('g', 'a', 0)).toBe(false);
    expect(gate.noteRefused('g', 'a', 10)).toBe(false);
    expect(gate.tryEnter('g', 20)).toBe(true);
  });

  it('stays open where another rank takes requests', () => {
    const gate = new GroupGate();
    gate.noteRefused('g', 'a', 0);
    gate.noteAccepted('g', 12);
    expect(gate.noteRefused('g', 'b', 10)).toBe(false);
    expect(gate.closedMs('g', 20)).toBe(0);
  });

  it('closes where two ranks refuse one after the other', () => {
    const gate = closedAt(100);
    expect(gate.closedMs('g', 130)).toBe(30);
    expect(gate.closedMs('other', 130)).toBe(0);
    expect(gate.closedMs(undefined, 130)).toBe(0);
  });

  it('lets one request in at a time to find out', () => {
    const gate = closedAt(100);
    expect(gate.tryEnter('g', 160)).toBe(true);
    expect(gate.tryEnter('g', 161)).toBe(false);
    expect(gate.tryEnter('g', 219)).toBe(false);
    expect(gate.tryEnter('g', 220)).toBe(true);
    gate.noteAccepted('g', 12);
    expect(gate.tryEnter('g', 221)).toBe(true);
    expect(gate.tryEnter('g', 221)).toBe(true);
  });

  it('wakes those that wait when it opens', async () => {
    const gate = closedAt(performance.now());
    const woken = gate.waitForOpenOrProbe('g', never);
    gate.noteAccepted('g', 12);
    await woken;
    const left = new AbortController();
    const gone = closedAt(performance.now()).waitForOpenOrProbe(
      'g',
      left.signal,
    );
    left.abort();
    await gone;
  });

  it('sends nobody to find out while a sidecar tells that it is closed', () => {
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

  it('finds out again once sidecars have fallen silent', () => {
    const gate = new GroupGate();
    gate.noteReport('g', false, 100);
    expect(gate.tryEnter('g', 900)).toBe(true);
    expect(gate.tryEnter('g', 901)).toBe(false);
  });

  it('passes over word that is older than what a request found out', () => {
    const gate = closedAt(100);
    gate.noteReport('g', true, 90);
    expect(gate.closedMs('g', 130)).toBe(30);
    gate.noteAccepted('g', 140);
    expect(gate.noteReport('g', false, 135)).toBe('known');
    expect(gate.closedMs('g', 150)).toBe(0);
    expect(gate.noteReport('g', false, 160)).toBe('closed');
  });

  it('forgets a closing that nobody has tried for long', () => {
    const gate = closedAt(100);
    expect(gate.closedMs('g', 2_000)).toBe(0);
  });
});

describe('telling later tries from first ones', () => {
  it('goes by the time that is left', () => {
    const ages = new RetryDetector();
    expect(ages.isLikelyRetry('r', 8_017, 8_000)).toBe(false);
    expect(ages.isLikelyRetry('r', 8_010, 8_000)).toBe(false);
    expect(ages.isLikelyRetry('r', 6_400, 8_000)).toBe(true);
    // Callers that wait longer than the route allows are known by others.
    expect(ages.isLikelyRetry('q', 1_500, 800)).toBe(false);
    expect(ages.isLikelyRetry('q', 1_100, 800)).toBe(true);
  });
});
