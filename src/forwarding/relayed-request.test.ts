import {RelayedRequest, enginePriorityOf, rankOf} from './relayed-request';

/** Undefined: an account without a priority of its own. */
function request(account: number | undefined, route: number): RelayedRequest {
  return {
    route: {priority: route},
    account: {name: 'a', keys: [], priority: account},
  } as unknown as RelayedRequest;
}

// Guards against accounts' priorities that make all routes equal: then a stream
// of the least urgent kind takes the place of one of the most urgent kind.
describe('the rank of a request', () => {
  it('is by the effective priority, then by that of the route', () => {
    const inOrder = [
      request(0, 0),
      request(0, 2),
      request(0, 5_000),
      request(1, 0),
      request(1, 1),
      request(undefined, 2),
    ];
    const ranks = inOrder.map(rankOf);
    expect([...ranks].sort((a, b) => a - b)).toEqual(ranks);
    expect(new Set(ranks).size).toBe(ranks.length);
    expect(rankOf(request(2, 2))).toBe(rankOf(request(undefined, 2)));
  });

  it('is whole, as the lines of reported demand must be', () => {
    expect(Number.isInteger(rankOf(request(0.5, 1.5)))).toBe(true);
  });

  it('gives the priority for engines, of 0 to 9', () => {
    const stated = [0, 1, 2, 3, 12].map(account =>
      [0, 1, 2, 7].map(route => enginePriorityOf(request(account, route))),
    );
    expect(stated).toEqual([
      [0, 1, 2, 2],
      [3, 4, 5, 5],
      [6, 7, 8, 8],
      [9, 9, 9, 9],
      [9, 9, 9, 9],
    ]);
    expect(enginePriorityOf(request(undefined, 1))).toBe(4);
  });
});
