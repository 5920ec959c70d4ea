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
  it('gives a leaving target no more work, whatever comes later', () => {
    const list = new TargetList();
    list.add(target('a'));
    list.add(target('a', true));
    expect(ids(list, 0)).toEqual([]);
    list.add(target('a'));
    list.replaceAll([target('a')], 0, true);
    expect(ids(list, 0)).toEqual([]);
  });

  it('drops a target that vanishes', () => {
    const list = new TargetList();
    list.replaceAll([target('a'), target('b')], 0, false);
    list.remove('a', 10, false);
    list.replaceAll([], 20, false);
    expect(ids(list, 20)).toEqual([]);
  });

  it('keeps a target for a while whose entry lapsed in an outage', () => {
    const list = new TargetList();
    list.replaceAll([target('a'), target('b')], 0, false);
    list.replaceAll([target('b')], 100, true);
    expect(ids(list, 100 + LAPSE_GRACE_MS - 1)).toEqual(['a', 'b']);
    expect(ids(list, 100 + LAPSE_GRACE_MS)).toEqual(['b']);
  });

  it('uses the newest life at an address, whatever its service', () => {
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

  it('forgets the grace of a target that is back', () => {
    const list = new TargetList();
    list.replaceAll([target('a')], 0, false);
    list.remove('a', 100, true);
    list.add(target('a'));
    expect(ids(list, 100 + 2 * LAPSE_GRACE_MS)).toEqual(['a']);
  });

  it('tells a target that started again from the one that left', () => {
    const list = new TargetList();
    const again = {...target('a'), lifetime: 'a@2', revision: 3};
    list.add(target('a'));
    list.add({...target('a', true), revision: 2});
    list.add(again);
    expect(list.ofService('s', 0)).toEqual([again]);
    // Late, twice, and from who knows where.
    list.add({...target('a'), revision: 9});
    list.add({...target('a', true), revision: 9});
    list.replaceAll([{...target('a'), revision: 9}, again], 0, false);
    expect(list.ofService('s', 0)).toEqual([again]);
  });

  it('never goes back to an earlier lifetime', () => {
    const list = new TargetList();
    const again = {...target('a'), lifetime: 'a@2', revision: 3};
    list.add(target('a'));
    list.add(again);
    list.drop(target('a'));
    list.add(target('a'));
    list.add({...target('a', true), revision: 9});
    expect(list.ofService('s', 0)).toEqual([again]);
    // Starts are told in the time of day, which may jump back.
    const third = {...target('a'), lifetime: 'a@0', revision: 5};
    list.add(third);
    list.add(again);
    expect(list.ofService('s', 0)).toEqual([third]);
  });

  it('takes nothing that is older than what it holds', () => {
    const list = new TargetList();
    const newer = {...target('a'), slots: 8, revision: 7};
    list.add(newer);
    list.add({...target('a', true), revision: 6});
    expect(list.ofService('s', 0)).toEqual([newer]);
  });

  it('keeps what is held under an entry that tells nothing', () => {
    const list = new TargetList();
    list.replaceAll([target('a'), target('b')], 0, false);
    list.replaceAll([target('b')], 10, false, ['a', 'x']);
    expect(ids(list, 10)).toEqual(['a', 'b']);
    list.remove('a', 20, false);
    expect(ids(list, 20)).toEqual(['b']);
  });

  it('lets no service that is not named take an address', () => {
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

  it('remembers a bounded number of lifetimes that have ended', () => {
    const list = new TargetList();
    const ended = 10_000;
    for (let life = 1; life <= ended; life += 1) {
      const lifetime = `a@${life}`;
      list.add({...target('a'), lifetime, revision: life});
    }
    const kept = (list as unknown as {ended: Set<string>}).ended.size;
    expect(kept).toBeLessThan(ended / 2);
    list.add({...target('a'), lifetime: `a@${ended - 1}`, revision: ended + 1});
    expect(list.get('a')?.lifetime).toBe(`a@${ended}`);
  });

  it('takes a target at its word that it leaves, also one that is off the list', () => {
    const list = new TargetList();
    list.replaceAll([target('a'), target('b')], 0, false);
    list.leave(target('a'));
    list.remove('b', 1, false);
    list.leave(target('b'));
    list.replaceAll([target('a'), target('b')], 2, false);
    expect(ids(list, 2)).toEqual([]);
  });

  it('takes a late word of a lifetime that has ended for that one alone', () => {
    const list = new TargetList();
    const next = {...target('a'), lifetime: 'a@2', revision: 2};
    list.add(target('a'));
    list.add(next);
    list.leave(target('a'));
    list.startCooldown(target('a'), 60_000, 0);
    expect(ids(list, 1)).toEqual(['a']);
    expect(list.unavailabilityOf('s', 1)).toBeUndefined();
  });

  it('holds a target back that is off the list and back in its rest', () => {
    const list = new TargetList();
    list.add(target('a'));
    list.startCooldown(target('a'), 3_000, 0);
    list.remove('a', 100, false);
    list.add(target('a'));
    expect(ids(list, 2_999)).toEqual([]);
    expect(list.unavailabilityOf('s', 2_999)).toMatchObject({reason: 'resting'});
    expect(ids(list, 3_301)).toEqual(['a']);
  });
});
