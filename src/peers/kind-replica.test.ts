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

describe('a copy of what the store told', () => {
  it('tells nothing before it has heard anything', () => {
    const copy = new KindReplica('k');
    expect(copy.updateFor(undefined, false, 0)).toBeUndefined();
  });

  it('leaves out what the asking process holds', () => {
    const [first, second] = [new KindReplica('k'), new KindReplica('k')];
    first.applyWatchEvent(listed(5, [object('a', 3), object('b', 5)]));
    first.applyWatchEvent(contact(100));
    const news = first.updateFor(second.currentDigest, false, 150)!;
    expect(news).toMatchObject({revision: 5, ageMs: 50});
    expect(news.items).toHaveLength(2);
    expect(second.applyPeerUpdate(news, 1_000)).toEqual([
      listed(5, [object('a', 3), object('b', 5)]),
      contact(950),
    ]);
    const again = first.updateFor(second.currentDigest, false, 160)!;
    expect(again.items).toBeUndefined();
    expect(second.applyPeerUpdate(again, 2_000)).toEqual([contact(1_940)]);
  });

  it('counts age from the question, however long the answer took', () => {
    const copy = new KindReplica('k');
    const news = {kind: 'k', revision: 1, ageMs: 200, isSettling: false};
    const [, last] = copy.applyPeerUpdate(
      {...news, items: [object('a', 1)]},
      5_000,
    );
    expect(last).toEqual(contact(4_800));
  });

  it('notices a removal by the digest', () => {
    const [first, second] = [new KindReplica('k'), new KindReplica('k')];
    for (const copy of [first, second]) {
      copy.applyWatchEvent(listed(5, [object('a', 3), object('b', 5)]));
      copy.applyWatchEvent(contact(0));
    }
    const listing = {revision: 6, items: [], removed: ['k/b']};
    first.applyWatchEvent({kind: 'changed', listing});
    const news = first.updateFor(second.currentDigest, false, 0)!;
    expect(news.items).toEqual([object('a', 3)]);
  });

  it('never goes back, in whatever order watch and peers tell', () => {
    const step = fc.record({
      isPeer: fc.boolean(),
      revision: fc.integer({min: 1, max: 20}),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 30}), steps => {
        const copy = new KindReplica('k');
        let highest = 0;
        for (const {isPeer, revision} of steps) {
          const items = [object('a', revision)];
          const news = {kind: 'k', revision, ageMs: 0, isSettling: false};
          const events = isPeer
            ? copy.applyPeerUpdate({...news, items}, 0)
            : [listed(revision, items)].filter(one =>
                copy.applyWatchEvent(one),
              );
          const isTaken = events.some(event => event.kind === 'listed');
          expect(isTaken).toBe(revision >= highest);
          highest = Math.max(highest, revision);
        }
        copy.applyWatchEvent(contact(0));
        const told = copy.updateFor(undefined, false, 0);
        expect(told?.items ?? []).toEqual(
          highest === 0 ? [] : [object('a', highest)],
        );
      }),
    );
  });
});
