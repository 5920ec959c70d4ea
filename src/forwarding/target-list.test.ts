import {LAPSE_GRACE_MS, TargetList} from './target-list';
import type {Target} from './types';

function target(id: string, isLeaving = false): Target {
  return {
    id,
    service: 's',
    address: `127.0.0.1:${id.charCodeAt(0)}`,
    hall: 'h',
    slots: 1,
    isLeaving,
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
    list.drop('other');
    expect(ids(list, 0)).toEqual(['new']);
  });

  it('forgets the grace of a target that is back', () => {
    const list = new TargetList();
    list.replaceAll([target('a')], 0, false);
    list.remove('a', 100, true);
    list.add(target('a'));
    expect(ids(list, 100 + 2 * LAPSE_GRACE_MS)).toEqual(['a']);
  });
});
