import {LAPSE_GRACE_MS, TargetList} from './target-list';
import type {Target} from './types';

function target(id: string, isLeaving = false): Target {
  return {
    id,
    lifetime: `${id}@1`,
    service: 's',
    address: `127.0.0.1:${id.charCodeAt(0)}`,
    hall: 'h',
    slots: 1,
    isLeaving,
    coldRemainingMs: 0,
    sequence: 1,
    revision: 1,
    group: undefined,
    rank: undefined,
  };
}

function ids(list: TargetList, now: number): string[] {
  return list.ofService('s', now).map(one => one.id);
}

describe('the list of targets', () => {
  it('removes a leaving target for good, whatever entries follow', () => {
    const list = new TargetList();
    list.add(target('a'));
    list.add(target('a', true));
    expect(ids(list, 0)).toEqual([]);
    list.add(target('a'));
    list.replaceAll([target('a')], 0, true);
    expect(ids(list, 0)).toEqual([]);
  });

  it('removes a target whose entry is gone', () => {
    const list = new TargetList();
    list.replaceAll([target('a'), target('b')], 0, false);
    list.remove('a', 10, false);
    list.replaceAll([], 20, false);
    expect(ids(list, 20)).toEqual([]);
  });

  it('keeps a target whose entry lapsed in an outage for the grace period', () => {
    const list = new TargetList();
    list.replaceAll([target('a'), target('b')], 0, false);
    list.replaceAll([target('b')], 100, true);
    expect(ids(list, 100 + LAPSE_GRACE_MS - 1)).toEqual(['a', 'b']);
    expect(ids(list, 100 + LAPSE_GRACE_MS)).toEqual(['b']);
  });

  it('uses the newest lifetime at an address, whatever its service', () => {
    const list = new TargetList();
    list.add({...target('old'), address: 'x:1'});
    list.add({...target('new'), address: 'x:1', revision: 9});
    expect(ids(list, 0)).toEqual(['new']);
    list.add({
      ...target('other'),
      address: 'x:1',
      revision: 12,
      service: 't',
    });
    expect(ids(list, 0)).toEqual([]);
    list.drop(list.get('other')!);
    expect(ids(list, 0)).toEqual(['new']);
  });

  // Guards against a group counted twice after all processes were killed.
  it('counts a rank once, with its newest lifetime', () => {
    const list = new TargetList();
    const rank = (
      id: string,
      number: number | undefined,
      revision: number,
    ) => ({
      ...target(id),
      address: `x:${number ?? id}`,
      group: 'g',
      rank: number,
      revision,
    });
    const moved = {...rank('d', 2, 9), address: 'y:2'};
    list.add(rank('a', 1, 1));
    list.add(rank('b', 1, 5));
    list.add(moved);
    list.add(rank('c', 2, 2));
    list.add(rank('e', undefined, 1));
    list.add(rank('f', undefined, 1));
    expect(list.ranks().map(one => one.id)).toEqual(['b', 'd', 'e', 'f']);
  });

  // Guards against limits of a group that fall while ranks only pause, and against
  // slots of ranks that receive nothing.
  it('has as usable ranks those that are not drained or shutting down', () => {
    const list = new TargetList();
    const usable = () => list.usableRanks().map(one => one.id);
    const rank = (id: string, number: number, hall = 'h') => ({
      ...target(id),
      ...{group: 'g', rank: number, hall, coldRemainingMs: 500},
    });
    const [a, b] = [rank('a', 1), rank('b', 2)];
    [a, b, rank('c', 3, 'other'), target('d')].forEach(one => list.add(one));
    list.startCooldown(a, 1_000, 0);
    list.noteRateLimit(b, {kind: 'limit', perSecond: 0}, 0, 0);
    expect(usable()).toEqual(['a', 'b', 'c']);
    expect(list.usableRanks()).toBe(list.usableRanks());
    list.setDrainedHalls(['other']);
    expect(usable()).toEqual(['a', 'b']);
    expect(list.ranks()).toHaveLength(3);
    list.add({...b, ...{id: 'e', lifetime: 'e@1', address: 'x', revision: 2}});
    expect(usable()).toEqual(['a', 'e']);
    list.leave(a);
    expect(usable()).toEqual(['e']);
    list.setDrainedHalls([]);
    expect(usable()).toEqual(['e', 'c']);
  });

  it('ends the grace period of a target whose entry is back', () => {
    const list = new TargetList();
    list.replaceAll([target('a')], 0, false);
    list.remove('a', 100, true);
    list.add(target('a'));
    expect(ids(list, 100 + 2 * LAPSE_GRACE_MS)).toEqual(['a']);
  });

  it('distinguishes a restarted target from its ended lifetime', () => {
    const list = new TargetList();
    const restarted = {...target('a'), lifetime: 'a@2', revision: 3};
    list.add(target('a'));
    list.add({...target('a', true), revision: 2});
    list.add(restarted);
    expect(list.ofService('s', 0)).toEqual([restarted]);
    list.add({...target('a'), revision: 9});
    list.add({...target('a', true), revision: 9});
    list.replaceAll([{...target('a'), revision: 9}, restarted], 0, false);
    expect(list.ofService('s', 0)).toEqual([restarted]);
  });

  it('never returns to an earlier lifetime', () => {
    const list = new TargetList();
    const restarted = {...target('a'), lifetime: 'a@2', revision: 3};
    list.add(target('a'));
    list.add(restarted);
    list.drop(target('a'));
    list.add(target('a'));
    list.add({...target('a', true), revision: 9});
    expect(list.ofService('s', 0)).toEqual([restarted]);
    // A lifetime's start is wall-clock time, which may jump back.
    const third = {...target('a'), lifetime: 'a@0', revision: 5};
    list.add(third);
    list.add(restarted);
    expect(list.ofService('s', 0)).toEqual([third]);
  });

  it('ignores an entry with a lower revision', () => {
    const list = new TargetList();
    const newer = {...target('a'), slots: 8, revision: 7};
    list.add(newer);
    list.add({...target('a', true), revision: 6});
    expect(list.ofService('s', 0)).toEqual([newer]);
  });

  it('keeps targets whose entries could not be read', () => {
    const list = new TargetList();
    list.replaceAll([target('a'), target('b')], 0, false);
    list.replaceAll([target('b')], 10, false, ['a', 'x']);
    expect(ids(list, 10)).toEqual(['a', 'b']);
    list.remove('a', 20, false);
    expect(ids(list, 20)).toEqual(['b']);
  });

  it('ignores targets of unknown services at an address', () => {
    const list = new TargetList();
    const other = {...target('x'), service: 't', revision: 9};
    list.add({...target('a'), address: 'x:1'});
    list.add({...other, address: 'x:1'});
    expect(ids(list, 0)).toEqual([]);
    list.setKnownServices(['s']);
    expect(ids(list, 0)).toEqual(['a']);
    list.setKnownServices(['s', 't']);
    expect(ids(list, 0)).toEqual([]);
  });

  it('remembers a bounded number of ended lifetimes', () => {
    const list = new TargetList();
    const ended = 10_000;
    for (let number = 1; number <= ended; number += 1) {
      const lifetime = `a@${number}`;
      list.add({...target('a'), lifetime, revision: number});
    }
    const kept = (list as unknown as {ended: Set<string>}).ended.size;
    expect(kept).toBeLessThan(ended / 2);
    list.add({...target('a'), lifetime: `a@${ended - 1}`, revision: ended + 1});
    expect(list.get('a')?.lifetime).toBe(`a@${ended}`);
  });

  it('ends the lifetime of a target that says it leaves, listed or not', () => {
    const list = new TargetList();
    list.replaceAll([target('a'), target('b')], 0, false);
    list.leave(target('a'));
    list.remove('b', 1, false);
    list.leave(target('b'));
    list.replaceAll([target('a'), target('b')], 2, false);
    expect(ids(list, 2)).toEqual([]);
  });

  it('applies late responses of an ended lifetime to that lifetime only', () => {
    const list = new TargetList();
    const next = {...target('a'), lifetime: 'a@2', revision: 2};
    list.add(target('a'));
    list.add(next);
    list.leave(target('a'));
    list.startCooldown(target('a'), 60_000, 0);
    expect(ids(list, 1)).toEqual(['a']);
    expect(list.unavailabilityOf('s', 1)).toBeUndefined();
  });

  it('keeps the cooldown of a target that is removed and added again', () => {
    const list = new TargetList();
    list.add(target('a'));
    list.startCooldown(target('a'), 3_000, 0);
    list.remove('a', 100, false);
    list.add(target('a'));
    expect(ids(list, 2_999)).toEqual([]);
    expect(list.unavailabilityOf('s', 2_999)).toMatchObject({
      reason: 'resting',
    });
    expect(ids(list, 3_301)).toEqual(['a']);
  });

  // All senders ask here, so every send to a cold target is counted.
  it('leaves out a cold target between the sends that it accepts', () => {
    const context = {
      warmUpBounds: {overshoot: 1.5, slack: 5},
      knownEntryCount: () => 16,
    };
    const list = new TargetList(undefined, context);
    const service = {name: 's', coldStartMs: 0, coldPerSecond: 32};
    // A process that has just started holds back more.
    const start = performance.now() + 60_000;
    list.warmUp.setServices([service], start);
    list.replaceAll([{...target('a'), coldRemainingMs: 9_000}], start, false);
    expect(ids(list, start + 10)).toEqual(['a']);
    list.noteSent(target('a'), start + 10);
    expect(list.unavailabilityOf('s', start + 10)).toEqual({
      waitMs: 500,
      reason: 'limited',
      limitPerSecond: 32,
    });
    list.add({...target('b'), coldRemainingMs: 0}, start + 20);
    expect(ids(list, start + 20)).toEqual(['b']);
    expect(ids(list, start + 511)).toEqual(['a', 'b']);
    list.noteSent(target('a'), start + 511);
    list.add({...target('a'), lifetime: 'a@2', revision: 2}, start + 520);
    expect(ids(list, start + 520)).toEqual(['b', 'a']);
  });
});
