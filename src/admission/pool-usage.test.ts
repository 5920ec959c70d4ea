import {PoolUsage} from './pool-usage';

describe('the demand of a pool', () => {
  // Guards against shares that treat routes of equal effective priority alike.
  it('is reported by rank, or by priority without one', () => {
    const usage = new PoolUsage();
    const urgent = {priority: 1, rank: 3, account: 'a'};
    const other = {priority: 1, rank: 4, account: 'a'};
    const unranked = {priority: 1, account: 'a'};
    usage.add('p', urgent, 1);
    usage.add('p', other, 1);
    usage.add('p', urgent, 1);
    usage.add('p', other, -1);
    expect(usage.demandOf('p', [other, other, unranked])).toEqual([
      {priority: 3, account: 'a', inFlight: 2, waiting: 0},
      {priority: 4, account: 'a', inFlight: 0, waiting: 2},
      {priority: 1, account: 'a', inFlight: 0, waiting: 1},
    ]);
    expect(usage.inFlight('p')).toBe(2);
  });
});
