/**
 * Merges old listings, deltas from peers and pushed changes in random order, and
 * checks that replicas of the configuration never revert and do converge.
 */
import * as fc from 'fast-check';
import type {StoredObject} from '../platform/types';
import {Replica, isBehind} from './replica';
import * as site from '../../features/support/site';
import {accountKey, templateKey} from './types';

const VERSIONS = 12;
const COPIES = 3;

/** The store's history: the template, then versions of two accounts. */
const HISTORY: StoredObject[] = [
  {key: templateKey('site'), version: 1, value: change(site.makeTemplate())},
  ...Array.from({length: VERSIONS - 1}, (_, at) => {
    const id = at % 2 === 0 ? ('alpha' as const) : ('beta' as const);
    const document = site.makeAccount(id, {burst: at + 1});
    return {key: accountKey(id), version: at + 2, value: change(document)};
  }),
];

function change(document: unknown) {
  return {changeId: 'c', author: 'a', at: 't', document, former: []};
}

/** The store's listing as of a version. */
function listing(version: number) {
  const items = new Map<string, StoredObject>();
  HISTORY.filter(o => o.version <= version).forEach(o => items.set(o.key, o));
  return {revision: version, items: [...items.values()], removed: []};
}

type Event =
  | {kind: 'list'; copy: number; version: number}
  | {kind: 'push'; copy: number; version: number}
  | {kind: 'fetch'; copy: number; from: number};

const event: fc.Arbitrary<Event> = fc.oneof(
  fc.record({
    kind: fc.constantFrom('list' as const, 'push' as const),
    copy: fc.nat(COPIES - 1),
    version: fc.integer({min: 1, max: VERSIONS}),
  }),
  fc.record({
    kind: fc.constant('fetch' as const),
    copy: fc.nat(COPIES - 1),
    from: fc.nat(COPIES - 1),
  }),
);

function play(copies: readonly Replica[], one: Event): void {
  const copy = copies[one.copy]!;
  switch (one.kind) {
    case 'list':
      copy.mergeListing(listing(one.version));
      return;
    case 'push':
      copy.mergePushed(HISTORY[one.version - 1]!);
      return;
    case 'fetch': {
      const from = copies[one.from]!;
      if (isBehind(copy.stamp, from.stamp)) {
        copy.mergeDelta(from.since(copy.stamp.complete));
      }
    }
  }
}

function versionsIn(copy: Replica): Map<string, number> {
  return new Map(copy.since(0).items.map(item => [item.key, item.version]));
}

describe('replicas of the configuration', () => {
  it('never revert, in any order of merges', () => {
    fc.assert(
      fc.property(fc.array(event, {maxLength: 30}), events => {
        const copies = Array.from({length: COPIES}, () => new Replica());
        for (const one of events) {
          const before = versionsIn(copies[one.copy]!);
          const stamp = copies[one.copy]!.stamp;
          play(copies, one);
          const after = versionsIn(copies[one.copy]!);
          for (const [key, version] of before) {
            expect(after.get(key)).toBeGreaterThanOrEqual(version);
          }
          const {complete, highest} = copies[one.copy]!.stamp;
          expect(complete).toBeGreaterThanOrEqual(stamp.complete);
          expect(highest).toBeGreaterThanOrEqual(stamp.highest);
        }
      }),
      {numRuns: 400, seed: 21},
    );
  });

  it('are complete up to the version in their stamp', () => {
    fc.assert(
      fc.property(fc.array(event, {maxLength: 30}), events => {
        const copies = Array.from({length: COPIES}, () => new Replica());
        events.forEach(one => play(copies, one));
        for (const copy of copies) {
          const held = versionsIn(copy);
          for (const item of listing(copy.stamp.complete).items) {
            expect(held.get(item.key)).toBeGreaterThanOrEqual(item.version);
          }
        }
      }),
      {numRuns: 400, seed: 22},
    );
  });

  it('converge once each has fetched from the others', () => {
    fc.assert(
      fc.property(fc.array(event, {maxLength: 30}), events => {
        const copies = Array.from({length: COPIES}, () => new Replica());
        events.forEach(one => play(copies, one));
        for (let round = 0; round < COPIES; round += 1) {
          for (let copy = 0; copy < COPIES; copy += 1) {
            for (let from = 0; from < COPIES; from += 1) {
              play(copies, {kind: 'fetch', copy, from});
            }
          }
        }
        const newest = HISTORY.filter(o =>
          copies.some(c => (versionsIn(c).get(o.key) ?? 0) >= o.version),
        );
        for (const item of newest) {
          for (const copy of copies) {
            expect(versionsIn(copy).get(item.key) ?? 0).toBeGreaterThanOrEqual(
              item.version,
            );
          }
        }
      }),
      {numRuns: 400, seed: 23},
    );
  });

  it('detect a difference between equally many pushed changes', () => {
    const [a, b] = [new Replica(), new Replica()];
    [a, b].forEach(copy => copy.mergeListing(listing(2)));
    [3, 6, 7].forEach(version => a.mergePushed(HISTORY[version - 1]!));
    [4, 5, 7].forEach(version => b.mergePushed(HISTORY[version - 1]!));
    expect(isBehind(a.stamp, b.stamp)).toBe(true);
  });
});
