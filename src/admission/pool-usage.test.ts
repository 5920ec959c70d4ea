import {PoolUsage} from './pool-usage';
import {waitingRequest} from './request-kit';

// Guards against shares of capacity that ignore what kind of request waits where
// accounts have priorities of their own.
it('demand is reported by rank and account', () => {
  const usage = new PoolUsage();
  const urgent = waitingRequest({priority: 1, rank: 1_000});
  const batch = waitingRequest({priority: 1, rank: 1_002});
  usage.add('p', urgent, 1);
  usage.add('p', batch, 1);
  expect(usage.demandOf('p', [urgent, urgent])).toEqual([
    {priority: 1_000, account: 'a', inFlight: 1, waiting: 2},
    {priority: 1_002, account: 'a', inFlight: 1, waiting: 0},
  ]);
  usage.add('p', batch, -1);
  expect(usage.demandOf('p', [])).toHaveLength(1);
});

describe('the demand of a pool', () => {
  // Guards against shares that treat routes of equal effective priority alike.
  it('is reported by rank', () => {
    const usage = new PoolUsage();
    const urgent = {priority: 1, rank: 3, account: 'a'};
    const other = {priority: 1, rank: 4, account: 'a'};
    const third = {priority: 1, rank: 1, account: 'a'};
    usage.add('p', urgent, 1);
    usage.add('p', other, 1);
    usage.add('p', urgent, 1);
    usage.add('p', other, -1);
    expect(usage.demandOf('p', [other, other, third])).toEqual([
      {priority: 3, account: 'a', inFlight: 2, waiting: 0},
      {priority: 4, account: 'a', inFlight: 0, waiting: 2},
      {priority: 1, account: 'a', inFlight: 0, waiting: 1},
    ]);
    expect(usage.inFlight('p')).toBe(2);
  });
});
