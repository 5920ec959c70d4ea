import * as fc from 'fast-check';
import * as random from '../random';
import {MAX_COOLDOWNS, CooldownTracker} from './cooldown-tracker';
import {HALF_OPEN_MS, TRIAL_INTERVAL_MS} from './cooldown';

/** Upper bound of a cooldown with its jitter. */
function maxCooldownMs(ms: number): number {
  return ms * 1.1 + 1;
}

describe('cooldowns of targets', () => {
  beforeEach(() => random.seed(7));

  it('last at least the requested time, fractions included', () => {
    const tracker = new CooldownTracker();
    expect(tracker.start('a', 0.4, 100)).toBe(true);
    expect(tracker.waitMs('a', 100.39)).toBeGreaterThan(0);
    expect(tracker.waitMs('a', 100 + maxCooldownMs(0.4))).toBe(0);
    expect(tracker.waitMs('b', 100)).toBe(0);
  });

  it('end at the latest of all requested ends', () => {
    const tracker = new CooldownTracker();
    tracker.start('a', 3_000, 0);
    expect(tracker.start('a', 100, 50)).toBe(false);
    expect(tracker.waitMs('a', 2_999)).toBeGreaterThan(0);
    tracker.start('a', 3_000, 2_000);
    expect(tracker.waitMs('a', 4_999)).toBeGreaterThan(0);
  });

  it('do not end by a request accepted before their end', () => {
    const tracker = new CooldownTracker();
    tracker.start('a', 3_000, 100);
    expect(tracker.noteAccepted('a', 50, 200)).toBe(false);
    expect(tracker.noteAccepted('a', 150, 300)).toBe(false);
    expect(tracker.isActive('a', 3_099)).toBe(true);
    // Nor by a late answer to a request that was sent during the cooldown.
    expect(tracker.noteAccepted('a', 150, 3_500)).toBe(false);
    tracker.noteSent('a', 3_500);
    expect(tracker.waitMs('a', 3_501)).toBeGreaterThan(0);
  });

  it('allow one request at a time in the half-open state, until one is accepted', () => {
    const tracker = new CooldownTracker();
    tracker.start('a', 1_000, 0);
    const endsAt = maxCooldownMs(1_000);
    expect(tracker.waitMs('a', endsAt)).toBe(0);
    tracker.noteSent('a', endsAt);
    expect(tracker.waitMs('a', endsAt)).toBe(TRIAL_INTERVAL_MS);
    expect(tracker.waitMs('a', endsAt + TRIAL_INTERVAL_MS)).toBe(0);
    tracker.noteSent('a', endsAt + TRIAL_INTERVAL_MS);
    expect(tracker.waitMs('a', endsAt + TRIAL_INTERVAL_MS)).toBe(
      TRIAL_INTERVAL_MS,
    );
    expect(
      tracker.noteAccepted('a', endsAt, endsAt + TRIAL_INTERVAL_MS + 9),
    ).toBe(true);
    expect(tracker.waitMs('a', endsAt + TRIAL_INTERVAL_MS + 9)).toBe(0);
    expect(tracker.size).toBe(0);
  });

  it('leave the half-open state after its maximum time', () => {
    const tracker = new CooldownTracker();
    tracker.start('a', 1_000, 0);
    const endsAt = maxCooldownMs(1_000) + HALF_OPEN_MS;
    tracker.noteSent('a', endsAt);
    expect(tracker.waitMs('a', endsAt)).toBe(0);
  });

  it('restart if the target asks again in the half-open state', () => {
    const tracker = new CooldownTracker();
    tracker.start('a', 1_000, 0);
    tracker.noteSent('a', 1_200);
    expect(tracker.start('a', 500, 1_210)).toBe(true);
    expect(tracker.isActive('a', 1_709)).toBe(true);
  });

  it('do not end for all entries at the same time', () => {
    const ends = Array.from({length: 20}, () => {
      const tracker = new CooldownTracker();
      tracker.start('a', 3_000, 0);
      return tracker.waitMs('a', 0);
    });
    expect(Math.min(...ends)).toBeGreaterThanOrEqual(3_000);
    expect(Math.max(...ends) - Math.min(...ends)).toBeGreaterThan(100);
  });

  it('do not apply to the next lifetime', () => {
    const tracker = new CooldownTracker();
    tracker.start('a@1', 3_000, 0);
    expect(tracker.waitMs('a@2', 1)).toBe(0);
    tracker.forget('a@1');
    expect(tracker.waitMs('a@1', 1)).toBe(0);
  });

  it('are bounded in number, keeping the newest', () => {
    const tracker = new CooldownTracker();
    for (let at = 0; at < MAX_COOLDOWNS + 50; at += 1) {
      tracker.start(`t${at}`, 60_000, at);
    }
    expect(tracker.size).toBe(MAX_COOLDOWNS);
    expect(tracker.isActive(`t${MAX_COOLDOWNS + 49}`, 5_000)).toBe(true);
    // Cooldowns that have ended are removed first.
    tracker.start('late', 60_000, 200_000);
    expect(tracker.size).toBe(1);
  });

  it('hold back all requests until their end, in any order of events', () => {
    const step = fc.record({
      target: fc.constantFrom('a', 'b', 'c'),
      kind: fc.constantFrom('ask', 'send', 'take', 'wait'),
      ms: fc.double({min: 0.1, max: 5_000, noNaN: true}),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 60}), steps => {
        const tracker = new CooldownTracker();
        const until = new Map<string, number>();
        let now = 0;
        for (const {target, kind, ms} of steps) {
          if (kind === 'ask') {
            tracker.start(target, ms, now);
            until.set(target, Math.max(until.get(target) ?? 0, now + ms));
          } else if (kind === 'send') {
            const available = tracker.filterAvailable(
              ['a', 'b', 'c'],
              one => one,
              now,
            );
            available.forEach(one => {
              expect(now).toBeGreaterThanOrEqual(until.get(one) ?? 0);
              tracker.noteSent(one, now);
            });
          } else if (kind === 'take') {
            tracker.noteAccepted(target, Math.max(now - ms, 0), now);
          } else {
            now += ms;
          }
        }
      }),
    );
  });
});
