import {FairDeadlineOrder} from './fair-deadline-order';
import {waitingRequest} from './request-kit';
import type {WaitingRequest} from './types';

const PACE_MS = 50;

describe('the order of requests with an objective', () => {
  let order: FairDeadlineOrder<WaitingRequest>;

  beforeEach(() => {
    order = new FairDeadlineOrder(0.1);
  });

  function push(count: number, changes: Partial<WaitingRequest>): void {
    for (let at = 0; at < count; at += 1) {
      order.push(waitingRequest(changes));
    }
  }

  /** Starts so many requests; the waiting ones are replaced by equal ones. */
  function starts(count: number, now = 0): WaitingRequest[] {
    return Array.from({length: count}, () => {
      const item = order.next(now, PACE_MS, new Set())!;
      order.push({...item});
      order.start(item);
      return item;
    });
  }

  const shareOf = (
    items: readonly WaitingRequest[],
    matches: (item: WaitingRequest) => boolean,
  ) => items.filter(matches).length / items.length;

  // Guards against lower priorities that get nothing.
  it('is by priority, with a tenth for each lower one', () => {
    [0, 1, 2].forEach(priority => push(3, {priority}));
    const counts = [0, 0, 0];
    starts(200).forEach(one => (counts[one.priority]! += 1));
    expect(Math.min(...counts)).toBeGreaterThanOrEqual(19);
    expect(counts[0]).toBeGreaterThanOrEqual(160);
  });

  // Guards against accounts' priorities that make all kinds of request equal.
  it('is by rank among requests of one priority, with the same floors', () => {
    [1_000, 1_001, 1_002].forEach(rank => push(3, {priority: 1, rank}));
    const items = starts(200);
    expect(items[0]!.rank).toBe(1_000);
    const least = shareOf(items, one => one.rank === 1_002);
    expect(least).toBeCloseTo(0.1, 1);
    expect(shareOf(items, one => one.rank === 1_000)).toBeCloseTo(0.8, 1);
    const newcomer = waitingRequest({priority: 1, rank: 1_001});
    expect(order.countAhead(newcomer).higher).toBe(3);
  });

  // Guards against an account at ten times its share that crowds out the others,
  // and against an idle account that saves up its share.
  it('is by weighted fair share of the accounts within a priority', () => {
    push(50, {account: 'large'});
    push(5, {account: 'heavy', weight: 2});
    starts(100);
    push(5, {account: 'new'});
    const items = starts(100);
    expect(shareOf(items, one => one.account === 'heavy')).toBeCloseTo(0.5, 1);
    expect(shareOf(items, one => one.account === 'new')).toBeCloseTo(0.25, 1);
  });

  // Guards against large requests that are starved by small ones.
  it('starts large requests at the rate of their account', () => {
    push(20, {account: 'small', cost: 100});
    push(20, {account: 'large', cost: 1_000});
    const items = starts(110);
    expect(items.filter(one => one.account === 'large').length).toBe(10);
  });

  it('is by objective within an account', () => {
    push(1, {objectiveAt: 400, cost: 9});
    push(1, {objectiveAt: 300, cost: 1});
    expect(order.next(0, PACE_MS, new Set())!.objectiveAt).toBe(300);
  });

  // Guards against overload that sustains itself: late requests that take the
  // capacity from those that could be in time.
  it('starts requests that can be in time before late ones', () => {
    push(5, {priority: 0, objectiveAt: 100, isRetry: true});
    push(1, {priority: 2, objectiveAt: 400});
    expect(order.next(120, PACE_MS, new Set())!.priority).toBe(2);
    expect(order.next(60, PACE_MS, new Set())!.priority).toBe(2);
    expect(order.next(40, PACE_MS, new Set())!.priority).toBe(0);
    expect(order.last(120, PACE_MS)!.priority).toBe(0);
  });

  it('starts retries before first attempts for half of the starts', () => {
    push(5, {});
    push(5, {isRetry: true, account: 'b'});
    const items = starts(20);
    expect(items[0]!.isRetry).toBe(true);
    expect(shareOf(items, one => one.isRetry)).toBeCloseTo(0.5, 1);
  });

  it('starts resumed streams first, however late', () => {
    push(3, {priority: 0});
    push(1, {priority: 9, isStarted: true, objectiveAt: 0});
    expect(order.next(200, PACE_MS, new Set())!.isStarted).toBe(true);
  });

  // Guards against predictions that ignore what overtakes a request.
  it('counts the requests ahead', () => {
    push(4, {priority: 0});
    push(10, {account: 'large'});
    push(2, {account: 'small'});
    const ahead = (changes: Partial<WaitingRequest>) =>
      order.countAhead(waitingRequest(changes));
    expect(ahead({account: 'large'})).toEqual({higher: 4, same: 12});
    expect(ahead({account: 'new', objectiveAt: 249}).same).toBe(0);
    expect(ahead({account: 'small'}).same).toBe(5);
    expect(ahead({priority: 0}).higher).toBe(0);
  });

  // Guards against predictions that count a backlog of late requests ahead of one
  // that can be in time.
  it('counts late requests ahead of late ones only', () => {
    push(4, {priority: 0, objectiveAt: 100});
    push(2, {priority: 0, objectiveAt: 400});
    push(1, {priority: 2, objectiveAt: 100, account: 'b'});
    order.classify(120, PACE_MS);
    const urgent = waitingRequest({priority: 0, objectiveAt: 500});
    expect(order.countAhead(urgent)).toEqual({higher: 0, same: 2});
    expect(order.countLateAhead(urgent)).toEqual({higher: 0, same: 4});
    const late = order.last(120, PACE_MS)!;
    expect(late.priority).toBe(2);
    expect(order.countAhead(late)).toEqual({higher: 6, same: 0});
    // A shorter pace may show that they can be in time after all.
    order.classify(40, PACE_MS);
    expect(order.countAhead(urgent).same).toBe(6);
  });

  // Guards against late requests that are served in the order of their arrival.
  it('orders late requests by the same rules', () => {
    const late = {objectiveAt: 100};
    push(20, {...late, priority: 2});
    push(20, {...late, priority: 1, account: 'large'});
    push(5, {...late, priority: 1, account: 'small'});
    push(5, {...late, priority: 1, account: 'c', isRetry: true});
    const items = starts(200, 120);
    expect(shareOf(items, one => one.priority === 2)).toBeCloseTo(0.1, 1);
    expect(shareOf(items, one => one.isRetry)).toBeCloseTo(0.45, 1);
    const firsts = items.filter(one => one.priority === 1 && !one.isRetry);
    expect(shareOf(firsts, one => one.account === 'small')).toBeCloseTo(0.5, 1);
  });

  // Guards against routes of equal effective priority that are not told apart.
  it('is by rank where requests have one', () => {
    push(1, {priority: 1, rank: 5});
    push(1, {priority: 1, rank: 4});
    expect(order.next(0, PACE_MS, new Set())!.rank).toBe(4);
    expect(order.last(0, PACE_MS)!.rank).toBe(5);
    const ranked = waitingRequest({priority: 0, rank: 5});
    expect(order.countAhead(ranked)).toEqual({higher: 1, same: 1});
  });
});
