import * as fc from 'fast-check';
import type {StoredObject} from '../platform/types';
import {KindReplica} from './kind-replica';

function object(name: string, version: number): StoredObject {
  return {key: `k/${name}`, version, value: {name, version}};
}

function listed(revision: number, items: StoredObject[]) {
  return {kind: 'listed' as const, listing: {revision, items, removed: []}};
}

function contact(since: number) {
  return {kind: 'contact' as const, since};
}

describe('replica of one kind of store objects', () => {
  it('gives no update before any contact with the store', () => {
    const replica = new KindReplica('k');
    expect(replica.updateFor(undefined, false, 0)).toBeUndefined();
  });

  it('leaves out items that the asking process already holds', () => {
    const [first, second] = [new KindReplica('k'), new KindReplica('k')];
    first.applyWatchEvent(listed(5, [object('a', 3), object('b', 5)]));
    first.applyWatchEvent(contact(100));
    const update = first.updateFor(second.currentDigest, false, 150)!;
    expect(update).toMatchObject({revision: 5, ageMs: 50});
    expect(update.items).toHaveLength(2);
    expect(second.applyPeerUpdate(update, 1_000)).toEqual([
      listed(5, [object('a', 3), object('b', 5)]),
      contact(950),
    ]);
    const again = first.updateFor(second.currentDigest, false, 160)!;
    expect(again.items).toBeUndefined();
    expect(second.applyPeerUpdate(again, 2_000)).toEqual([contact(1_940)]);
  });

  it('counts the age of an update from the request', () => {
    const replica = new KindReplica('k');
    const update = {kind: 'k', revision: 1, ageMs: 200, isSettling: false};
    const [, last] = replica.applyPeerUpdate(
      {...update, items: [object('a', 1)]},
      5_000,
    );
    expect(last).toEqual(contact(4_800));
  });

  it('detects a removal by the digest', () => {
    const [first, second] = [new KindReplica('k'), new KindReplica('k')];
    for (const replica of [first, second]) {
      replica.applyWatchEvent(listed(5, [object('a', 3), object('b', 5)]));
      replica.applyWatchEvent(contact(0));
    }
    const listing = {revision: 6, items: [], removed: ['k/b']};
    first.applyWatchEvent({kind: 'changed', listing});
    const update = first.updateFor(second.currentDigest, false, 0)!;
    expect(update.items).toEqual([object('a', 3)]);
  });

  it('never applies an older revision, in any order of updates', () => {
    const step = fc.record({
      isPeer: fc.boolean(),
      revision: fc.integer({min: 1, max: 20}),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 30}), steps => {
        const replica = new KindReplica('k');
        let highest = 0;
        for (const {isPeer, revision} of steps) {
          const items = [object('a', revision)];
          const update = {kind: 'k', revision, ageMs: 0, isSettling: false};
          const events = isPeer
            ? replica.applyPeerUpdate({...update, items}, 0)
            : [listed(revision, items)].filter(one =>
                replica.applyWatchEvent(one),
              );
          const isTaken = events.some(event => event.kind === 'listed');
          expect(isTaken).toBe(revision >= highest);
          highest = Math.max(highest, revision);
        }
        replica.applyWatchEvent(contact(0));
        const last = replica.updateFor(undefined, false, 0);
        expect(last?.items ?? []).toEqual(
          highest === 0 ? [] : [object('a', highest)],
        );
      }),
    );
  });
});
