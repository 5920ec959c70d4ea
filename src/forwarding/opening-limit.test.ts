import type {EngineParameters} from '../routes/types';
import * as openingLimit from './opening-limit';

const ENGINE = {
  slots: 7,
  stepMs: 4.55,
  perSequenceMs: 1.557,
  perContextKMs: 0.0314,
  promptTokensPerSecond: 61_400,
  stride: 5,
  meanPromptTokens: 868,
  meanAnswerTokens: 97,
  experts: {share: 0.85},
} as EngineParameters;
const SLOTS = 72 * ENGINE.slots;
/** By a view of an even group. */
const MOST = 400;

function group(
  changes: Partial<openingLimit.GroupKnowledge>,
): openingLimit.LimitedGroup {
  const knowledge = {
    size: 72,
    usableRanks: 72,
    openMs: 60_000,
    viewAgeMs: 50,
    knownEntries: 17,
    uptimeMs: 60_000,
    ...changes,
  };
  const allowed = {pauseMs: 150, timeoutMs: 8_000};
  return {engine: ENGINE, allowed, knowledge, most: MOST};
}

/** A share that was granted on a report of this age. */
function granted(share: number, ageMs: number) {
  return (maxAgeMs: number) => (ageMs <= maxAgeMs ? share : undefined);
}

const none = () => undefined;

describe('the part of a group that an entry may use', () => {
  it('is an equal one after the group has opened', () => {
    const open = group({openMs: 100, viewAgeMs: 110});
    expect(openingLimit.partOf('first-try', open, none)).toBe(18);
    const settled = group({openMs: 2_100});
    expect(openingLimit.partOf('first-try', settled, none)).toBeUndefined();
  });

  // Guards against shares of a capacity that the group had before it closed, and
  // against grants of what other entries use that have not reported yet.
  it('is the granted share once all entries can have reported', () => {
    const open = group({openMs: 500, viewAgeMs: 400});
    const part = (ageMs: number) =>
      openingLimit.partOf('first-try', open, granted(40, ageMs));
    expect([part(100), part(300), part(400), part(600)]).toEqual([
      40, 40, 18, 18,
    ]);
    const tight = granted(5, 400);
    expect(openingLimit.partOf('first-try', open, tight)).toBe(5);
    const unseen = group({openMs: Infinity, viewAgeMs: Infinity});
    const share = granted(40, 5_000);
    expect(openingLimit.partOf('first-try', unseen, share)).toBe(40);
  });

  // Guards against a working group that is held to the limit of a new one while its
  // planner is suspended, by all entries and by those that have just started.
  it('is not limited in a group that is not new, also without a view', () => {
    for (const uptimeMs of [500, 60_000]) {
      const blind = group({openMs: Infinity, viewAgeMs: Infinity, uptimeMs});
      expect(openingLimit.partOf('first-try', blind, none)).toBeUndefined();
      expect(openingLimit.partOf('last-try', blind, none)).toBeUndefined();
    }
  });

  it('is at least one', () => {
    const many = group({openMs: 100, viewAgeMs: 110, knownEntries: 900});
    expect(openingLimit.partOf('first-try', many, none)).toBe(1);
  });

  // Guards against last tries of all entries that fill the group beyond its slots.
  it('has room for last tries within the slots, whatever the share', () => {
    const open = group({openMs: 100, viewAgeMs: 110});
    const last = openingLimit.partOf('last-try', open, none)!;
    expect(last).toBeGreaterThan(25);
    expect(17 * last).toBeLessThanOrEqual(SLOTS);
  });

  // Guards against retries that are refused for good beside free slots, because
  // the share of their entry is used up while others leave theirs.
  it('is what a view shows, beyond the share, for last tries', () => {
    const share = granted(5, 0);
    for (const shown of [group({}), group({openMs: 500, viewAgeMs: 100})]) {
      expect(openingLimit.partOf('last-try', shown, share)).toBeUndefined();
      expect(openingLimit.partOf('first-try', shown, share)).toBe(5);
    }
  });

  it('does so also while up to 20 entries are not known yet', () => {
    const start = group({
      openMs: 100,
      viewAgeMs: Infinity,
      knownEntries: 1,
      uptimeMs: 500,
    });
    const part = openingLimit.partOf('last-try', start, none)!;
    expect(20 * part).toBeLessThanOrEqual(SLOTS);
  });

  it('does not limit resumed streams, except in a group that opens', () => {
    const share = granted(5, 0);
    expect(openingLimit.partOf('resumed', group({}), share)).toBeUndefined();
    const open = group({openMs: 100, viewAgeMs: 110});
    expect(openingLimit.partOf('resumed', open, none)).toBeGreaterThan(18);
  });
});
