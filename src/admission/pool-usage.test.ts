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
