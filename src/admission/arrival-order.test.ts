import {ArrivalOrder} from './arrival-order';
import {waitingRequest} from './request-kit';
import {totalOf} from './types';

describe('the order of requests without an objective', () => {
  const waits = (priority: number) =>
    waitingRequest({priority, needsPermit: true});

  // Guards against permits that go to whichever request tries first.
  it('is by priority, then by arrival', () => {
    const order = new ArrivalOrder();
    const [late, early, urgent] = [waits(2), waits(2), waits(0)];
    const ahead = () =>
      [early, late, urgent].map(one => totalOf(order.countAhead(one)));
    order.push(early);
    order.push(late);
    expect(ahead()).toEqual([0, 1, 0]);
    order.push(urgent);
    expect(ahead()).toEqual([1, 2, 0]);
    expect(order.next(0, 0, new Set())).toBe(urgent);
    order.remove(urgent);
    order.start(early);
    expect(totalOf(order.countAhead(late))).toBe(0);
  });

  // Guards against another order than before at services without admission.
  it('is the same for all routes of an account with a priority', () => {
    const order = new ArrivalOrder();
    const first = waitingRequest({rank: 1_002, needsPermit: true});
    const second = waitingRequest({rank: 1_000, needsPermit: true});
    order.push(first);
    order.push(second);
    expect(order.items()).toEqual([first, second]);
    expect(totalOf(order.countAhead(second))).toBe(1);
  });

  // Guards against requests that are held up by those that wait for a group.
  it('counts requests that wait for permits, also before joining', () => {
    const order = new ArrivalOrder();
    order.push(waitingRequest({priority: 0}));
    order.push(waits(1));
    expect(totalOf(order.countAhead(waits(1)))).toBe(1);
    expect(totalOf(order.countAhead(waits(0)))).toBe(0);
    const resumed = waitingRequest({priority: 9, isStarted: true});
    order.push(resumed);
    expect(order.items()[0]).toBe(resumed);
  });
});
