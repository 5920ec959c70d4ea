import * as fc from 'fast-check';
import * as random from '../random';
import {MAX_COOLDOWNS, CooldownTracker} from './cooldown-tracker';
import {HALF_OPEN_MS, TRIAL_INTERVAL_MS} from './cooldown';

/** Longest that a rest of so many milliseconds lasts. */
function maxCooldownMs(ms: number): number {
  return ms * 1.1 + 1;
}

describe('what targets have asked for', () => {
  beforeEach(() => random.seed(7));

  it('holds for the time asked for, fractions included, and not shorter', () => {
    const book = new CooldownTracker();
    expect(book.start('a', 0.4, 100)).toBe(true);
    expect(book.waitMs('a', 100.39)).toBeGreaterThan(0);
    expect(book.waitMs('a', 100 + maxCooldownMs(0.4))).toBe(0);
    expect(book.waitMs('b', 100)).toBe(0);
  });

  it('is the latest end of all that were asked for', () => {
    const book = new CooldownTracker();
    book.start('a', 3_000, 0);
    expect(book.start('a', 100, 50)).toBe(false);
    expect(book.waitMs('a', 2_999)).toBeGreaterThan(0);
    book.start('a', 3_000, 2_000);
    expect(book.waitMs('a', 4_999)).toBeGreaterThan(0);
  });

  it('is not over for a request that was taken on the way', () => {
    const book = new CooldownTracker();
    book.start('a', 3_000, 100);
    expect(book.noteAccepted('a', 50, 200)).toBe(false);
    expect(book.noteAccepted('a', 150, 300)).toBe(false);
    expect(book.isActive('a', 3_099)).toBe(true);
    // Nor does an answer that was long under way tell how it is after it.
    expect(book.noteAccepted('a', 150, 3_500)).toBe(false);
    book.noteSent('a', 3_500);
    expect(book.waitMs('a', 3_501)).toBeGreaterThan(0);
  });

  it('lets one request through at a time until one is taken', () => {
    const book = new CooldownTracker();
    book.start('a', 1_000, 0);
    const back = maxCooldownMs(1_000);
    expect(book.waitMs('a', back)).toBe(0);
    book.noteSent('a', back);
    expect(book.waitMs('a', back)).toBe(TRIAL_INTERVAL_MS);
    expect(book.waitMs('a', back + TRIAL_INTERVAL_MS)).toBe(0);
    book.noteSent('a', back + TRIAL_INTERVAL_MS);
    expect(book.waitMs('a', back + TRIAL_INTERVAL_MS)).toBe(TRIAL_INTERVAL_MS);
    expect(book.noteAccepted('a', back, back + TRIAL_INTERVAL_MS + 9)).toBe(
      true,
    );
    expect(book.waitMs('a', back + TRIAL_INTERVAL_MS + 9)).toBe(0);
    expect(book.size).toBe(0);
  });

  it('uses a target as before once it has been tried for long enough', () => {
    const book = new CooldownTracker();
    book.start('a', 1_000, 0);
    const back = maxCooldownMs(1_000) + HALF_OPEN_MS;
    book.noteSent('a', back);
    expect(book.waitMs('a', back)).toBe(0);
  });

  it('begins anew where a target asks again as it is tried', () => {
    const book = new CooldownTracker();
    book.start('a', 1_000, 0);
    book.noteSent('a', 1_200);
    expect(book.start('a', 500, 1_210)).toBe(true);
    expect(book.isActive('a', 1_709)).toBe(true);
  });

  it('does not end for all entries at one moment', () => {
    const ends = Array.from({length: 20}, () => {
      const book = new CooldownTracker();
      book.start('a', 3_000, 0);
      return book.waitMs('a', 0);
    });
    expect(Math.min(...ends)).toBeGreaterThanOrEqual(3_000);
    expect(Math.max(...ends) - Math.min(...ends)).toBeGreaterThan(100);
  });

  it('says nothing of the next lifetime', () => {
    const book = new CooldownTracker();
    book.start('a@1', 3_000, 0);
    expect(book.waitMs('a@2', 1)).toBe(0);
    book.forget('a@1');
    expect(book.waitMs('a@1', 1)).toBe(0);
  });

  it('keeps a bounded number, the newest', () => {
    const book = new CooldownTracker();
    for (let at = 0; at < MAX_COOLDOWNS + 50; at += 1) {
      book.start(`t${at}`, 60_000, at);
    }
    expect(book.size).toBe(MAX_COOLDOWNS);
    expect(book.isActive(`t${MAX_COOLDOWNS + 49}`, 5_000)).toBe(true);
    // Those that are over go first.
    book.start('late', 60_000, 200_000);
    expect(book.size).toBe(1);
  });

  it('lets nothing through in a rest, whatever comes in which order', () => {
    const step = fc.record({
      target: fc.constantFrom('a', 'b', 'c'),
      kind: fc.constantFrom('ask', 'send', 'take', 'wait'),
      ms: fc.double({min: 0.1, max: 5_000, noNaN: true}),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 60}), steps => {
        const book = new CooldownTracker();
        const until = new Map<string, number>();
        let now = 0;
        for (const {target, kind, ms} of steps) {
          if (kind === 'ask') {
            book.start(target, ms, now);
            until.set(target, Math.max(until.get(target) ?? 0, now + ms));
          } else if (kind === 'send') {
            const awake = book.filterAvailable(
              ['a', 'b', 'c'],
              one => one,
              now,
            );
            awake.forEach(one => {
              expect(now).toBeGreaterThanOrEqual(until.get(one) ?? 0);
              book.noteSent(one, now);
            });
          } else if (kind === 'take') {
            book.noteAccepted(target, Math.max(now - ms, 0), now);
          } else {
            now += ms;
          }
        }
      }),
    );
  });
});
