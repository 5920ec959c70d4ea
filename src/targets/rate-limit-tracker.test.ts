import {RateLimitTracker, MAX_LIMITS} from './rate-limit-tracker';
import {PERMIT_TTL_MS} from './permit-issuer';

const named = (perSecond: number) => ({kind: 'limit', perSecond}) as const;
const none = {kind: 'none'} as const;

describe('what targets name as their limits', () => {
  let book: RateLimitTracker;
  let calls: number;

  beforeEach(() => {
    book = new RateLimitTracker();
    calls = 0;
    book.onDemand = () => (calls += 1);
  });

  it('holds from the first answer on, and leaves others alone', () => {
    expect(book.waitMs('a', 0)).toBe(0);
    expect(book.applyAdvertised('a', named(2), 0, 10)).toBe('named');
    expect(book.applyAdvertised('a', named(2), 5, 20)).toBeUndefined();
    expect(book.applyAdvertised('a', named(1), 15, 30)).toBe('changed');
    expect(book.waitMs('a', 40)).toBeGreaterThan(0);
    const both = book.filterAvailable(['a', 'b'], one => one, 40);
    expect(both).toEqual(['b']);
  });

  it('ends by an answer to a later request, not by one that was overtaken', () => {
    book.applyAdvertised('a', named(2), 0, 10);
    expect(book.applyAdvertised('a', none, 5, 20)).toBeUndefined();
    expect(book.waitMs('a', 20)).toBeGreaterThan(0);
    expect(book.applyAdvertised('a', none, 15, 30)).toBe('ended');
    expect(book.waitMs('a', 30)).toBe(0);
    // It is told to the lender once, and is then forgotten.
    const [wish] = book.takePermitRequests(30);
    expect(wish).toMatchObject({lifetime: 'a', wanted: 0});
    book.applyGrant('a', {permits: 0, waitMs: 0}, 30, 31);
    expect(book.size).toBe(0);
  });

  it('is unchanged by what can not be read', () => {
    expect(
      book.applyAdvertised('a', {kind: 'unread', text: 'x'}, 0, 1),
    ).toBeUndefined();
    expect(book.waitMs('a', 1)).toBe(0);
    book.applyAdvertised('a', named(2), 0, 10);
    book.applyAdvertised('a', {kind: 'unread', text: '-1'}, 20, 30);
    expect(book.perSecond('a')).toBe(2);
  });

  it('gives one request for a permit, while the permit holds', () => {
    book.applyAdvertised('a', named(20), 0, 10);
    for (let at = 0; at < 3; at += 1) {
      book.requestPermits(['a', 'b'], 20);
    }
    expect(calls).toBe(3);
    expect(book.takePermitRequests(20)).toMatchObject([
      {lifetime: 'a', wanted: 3},
    ]);
    expect(book.takePermitRequests(21)).toEqual([]);
    book.applyGrant('a', {permits: 2, waitMs: 200}, 20, 60);
    expect(book.hasPermit('a', 60)).toBe(true);
    book.noteSent('a', 60);
    expect(book.waitMs('a', 61)).toBe(0);
    book.noteSent('a', 61);
    expect(book.waitMs('a', 62)).toBeGreaterThan(0);
    // One was not lent, and is asked for when the lender said.
    expect(book.nextRequestAt(62)).toBe(260);
    book.applyGrant('a', {permits: 1, waitMs: 200}, 260, 300);
    expect(book.waitMs('a', 260 + PERMIT_TTL_MS - 1)).toBe(0);
    expect(book.waitMs('a', 260 + PERMIT_TTL_MS)).toBeGreaterThan(0);
  });

  it('wants no more than the target takes in a while, nor for long', () => {
    book.applyAdvertised('a', named(8), 0, 10);
    for (let at = 0; at < 50; at += 1) {
      book.requestPermits(['a'], 20);
    }
    expect(book.takePermitRequests(20)).toMatchObject([{wanted: 2}]);
    book.noteRequestFailed('a', 30);
    expect(book.nextRequestAt(40)).toBe(130);
    expect(book.nextRequestAt(2_000)).toBeUndefined();
  });

  it('is kept for a bounded number of lifetimes', () => {
    for (let at = 0; at < MAX_LIMITS + 10; at += 1) {
      book.applyAdvertised(`t-${at}`, named(1), 0, at);
    }
    expect(book.size).toBe(MAX_LIMITS);
    book.forget(`t-${MAX_LIMITS}`);
    expect(book.size).toBe(MAX_LIMITS - 1);
  });
});
