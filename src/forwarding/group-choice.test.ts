import * as random from '../random';
import {
  GroupOption,
  chooseGroup,
  groupsOf,
  leastLoaded,
  limitToShare,
  limitToSlots,
} from './group-choice';
import type {Target} from './types';

function rank(group: string | undefined, at: number): Target {
  return {
    id: `${group}-${at}`,
    lifetime: `${group}-${at}@1`,
    service: 's',
    address: `10.0.0.${at}:1`,
    hall: 'h',
    slots: 7,
    isLeaving: false,
    coldRemainingMs: 0,
    sequence: 1,
    revision: 1,
    group,
    rank: at,
  };
}

function option(name: string, most: number, requests: number): GroupOption {
  const capacity = {
    most,
    limitedBy: 'in-time' as const,
    correction: 1,
    requests,
    usableRequests: requests,
    imbalance: 1,
    slowness: 1,
    ageMs: 0,
    passMs: 0,
  };
  return {name, targets: [rank(name, 0)], capacity};
}

/** How often each group is chosen. */
function counts(options: readonly GroupOption[]): Record<string, number> {
  const chosen: Record<string, number> = {};
  for (let at = 0; at < 1_000; at += 1) {
    const name = chooseGroup(options)?.name ?? 'none';
    chosen[name] = (chosen[name] ?? 0) + 1;
  }
  return chosen;
}

describe('choosing a group', () => {
  beforeEach(() => random.seed(5));

  it('groups targets by their group', () => {
    const targets = [rank('a', 0), rank('b', 0), rank('a', 1)];
    expect(groupsOf(targets)).toEqual([
      {name: 'a', targets: [targets[0], targets[2]]},
      {name: 'b', targets: [targets[1]]},
    ]);
  });

  it('sends nothing to a full group, and most to the emptiest one', () => {
    const chosen = counts([
      option('full', 160, 420),
      option('nearly', 160, 150),
      option('empty', 160, 30),
    ]);
    expect(chosen.full).toBeUndefined();
    expect(chosen.empty).toBeGreaterThan(880);
    expect(chosen.nearly).toBeGreaterThan(30);
  });

  it('chooses none if all are full', () => {
    const options = [option('a', 100, 100), option('b', 100, 130)];
    expect(counts(options)).toEqual({none: 1_000});
    expect(leastLoaded(options)?.requests).toBe(100);
  });

  // Guards against shares that stay unused because the others' use of a group is
  // overestimated.
  it('goes by the share of this entry where it has one', () => {
    const full = option('a', 100, 130);
    expect(limitToShare(full, undefined, 9)).toBe(full);
    expect(limitToShare(full, 10, 10)).toBeUndefined();
    expect(chooseGroup([limitToShare(full, 10, 9)!])?.name).toBe('a');
  });

  // Guards against resumed streams that wait for slots of ranks that are not usable.
  it('counts only requests at usable ranks against the slots', () => {
    const draining = option('a', 100, 130);
    const capacity = {...draining.capacity!, usableRequests: 70};
    const limited = limitToSlots({...draining, capacity}, 140);
    expect(limited.capacity).toMatchObject({most: 140, requests: 70});
  });

  it('treats targets without a group as one without a limit', () => {
    const [plain] = groupsOf([rank(undefined, 0), rank(undefined, 1)]);
    expect(chooseGroup([{...plain!, capacity: undefined}])).toMatchObject(
      plain!,
    );
    expect(chooseGroup([])).toBeUndefined();
  });
});
