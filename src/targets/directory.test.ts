import type {Instance} from '../platform/types';
import {TargetDirectory} from './directory';
import type {Load} from './types';

const SIDECARS = 12;
const SUBSET = 3;

const instances: readonly Instance[] = Array.from(
  {length: SIDECARS},
  (_, at) => ({
    id: `rank-${at}`,
    role: 'sidecar',
    address: `10.0.0.${at}:1`,
    hall: 'h',
    state: 'live',
    serves: 'model/m',
    group: 'g',
    rank: at,
  }),
);

/**
 * Guards against a caller losing its stream when it resumes through another entry,
 * to which the target has not reported or whose subset doesn't include it.
 */
describe('target directory of an entry', () => {
  function directory(): TargetDirectory {
    const targets = new TargetDirectory('entry-1', () => SUBSET);
    targets.applyInstances(instances);
    return targets;
  }

  it('finds targets by id in and outside the subset', () => {
    const targets = directory();
    expect(targets.subset.length).toBe(SUBSET);
    const found = instances.map(({id}) => targets.find(id)?.address);
    expect(found).toEqual(instances.map(({address}) => address));
    expect(targets.find('rank-99')).toBeUndefined();
  });

  // The platform's list may arrive after the entry has become ready.
  it('waits for a target that is not listed yet', async () => {
    jest.useFakeTimers();
    const targets = new TargetDirectory('entry-1', () => SUBSET);
    const {signal} = new AbortController();
    const found = targets.waitFor('rank-7', 4_000, signal);
    const missed = targets.waitFor('rank-99', 4_000, signal);
    await jest.advanceTimersByTimeAsync(1_000);
    targets.applyInstances(instances);
    await jest.advanceTimersByTimeAsync(200);
    expect(await found).toMatchObject({address: '10.0.0.7:1'});
    await jest.advanceTimersByTimeAsync(3_000);
    expect(await missed).toBeUndefined();
    jest.useRealTimers();
  });

  it('offers no target before its first report', () => {
    expect(directory().forModel('m')).toEqual([]);
  });

  describe('whose list lacks targets that have reported', () => {
    function reportedDirectory(): TargetDirectory {
      const targets = directory();
      for (const {id, address, hall} of targets.subset) {
        const serves = {kind: 'model', name: 'm', group: 'g', rank: 0} as const;
        const load = {} as Load;
        const report = {
          id,
          address,
          hall,
          serves,
          state: 'live',
          load,
        } as const;
        targets.applyReport(report, Date.now());
      }
      return targets;
    }

    beforeEach(() => jest.useFakeTimers());
    afterEach(() => jest.useRealTimers());

    // Guards against refusals of all requests because a replica of the list that
    // lags shows a time before the targets were listed.
    it('offers them until the list has caught up', () => {
      const targets = reportedDirectory();
      targets.applyInstances([]);
      jest.advanceTimersByTime(2_500);
      expect(targets.forModel('m').length).toBe(SUBSET);
      expect(targets.subset.length).toBe(SUBSET);
      targets.applyInstances(instances);
      jest.advanceTimersByTime(60_000);
      expect(targets.forModel('m').length).toBe(SUBSET);
    });

    it('offers them no longer than that, though the list stays', () => {
      const targets = reportedDirectory();
      targets.applyInstances([]);
      jest.advanceTimersByTime(1_000);
      targets.applyInstances(instances.slice(0, 0));
      jest.advanceTimersByTime(2_001);
      expect(targets.forModel('m')).toEqual([]);
      expect(targets.subset).toEqual([]);
      targets.applyInstances([]);
      expect(targets.all()).toEqual([]);
    });

    it('does not offer those that are leaving', () => {
      const targets = reportedDirectory();
      const [first] = targets.subset;
      targets.markLeaving(first!.id);
      targets.applyInstances([]);
      expect(targets.forModel('m').length).toBe(SUBSET - 1);
      const listed = instances.map(one => ({
        ...one,
        state: 'leaving' as const,
      }));
      targets.applyInstances(listed);
      expect(targets.forModel('m')).toEqual([]);
    });
  });
});
