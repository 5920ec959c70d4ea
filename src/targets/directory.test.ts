import type {Instance} from '../platform/types';
import {TargetDirectory} from './directory';

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
 * A caller whose entry died went on through another one and was told "the
 * stream is no longer kept, its target is unknown", though the target ran on
 * and kept the stream. Cause: an entry knew the targets alone that are of its
 * subset and have told of themselves. So a caller who came before a target's
 * first report lost its stream for good, and so did most callers where there
 * are more targets than a subset holds. Evidence: the refusal in the scenario
 * "the caller reconnects through another", in 4 of 65 runs beside load.
 */
describe('the targets that an entry knows', () => {
  function directory(): TargetDirectory {
    const targets = new TargetDirectory('entry-1', () => SUBSET);
    targets.applyInstances(instances);
    return targets;
  }

  it('are found by their id whether or not the entry uses them', () => {
    const targets = directory();
    expect(targets.subset.length).toBe(SUBSET);
    const found = instances.map(({id}) => targets.find(id)?.address);
    expect(found).toEqual(instances.map(({address}) => address));
    expect(targets.find('rank-99')).toBeUndefined();
  });

  // An entry is ready once it has a configuration; the list that names the
  // targets comes on its own, and may come later.
  it('are waited for by whoever knows that they are there', async () => {
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

  it('get no work before they have told of themselves', () => {
    expect(directory().forModel('m')).toEqual([]);
  });
});
