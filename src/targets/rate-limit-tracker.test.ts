import {RateLimitTracker, MAX_LIMITS} from './rate-limit-tracker';
import {PERMIT_TTL_MS} from './permit-issuer';

const limitOf = (perSecond: number) => ({kind: 'limit', perSecond}) as const;
const none = {kind: 'none'} as const;

describe('rate limits advertised by targets', () => {
  let tracker: RateLimitTracker;
  let calls: number;

  beforeEach(() => {
    tracker = new RateLimitTracker();
    calls = 0;
    tracker.onDemand = () => (calls += 1);
  });

  it('apply from the first answer on, and only to their target', () => {
    expect(tracker.waitMs('a', 0)).toBe(0);
    expect(tracker.applyAdvertised('a', limitOf(2), 0, 10)).toBe('named');
    expect(tracker.applyAdvertised('a', limitOf(2), 5, 20)).toBeUndefined();
    expect(tracker.applyAdvertised('a', limitOf(1), 15, 30)).toBe('changed');
    expect(tracker.waitMs('a', 40)).toBeGreaterThan(0);
    const available = tracker.filterAvailable(['a', 'b'], one => one, 40);
    expect(available).toEqual(['b']);
  });

  it('end by an answer to a later request, not by a delayed one', () => {
    tracker.applyAdvertised('a', limitOf(2), 0, 10);
    expect(tracker.applyAdvertised('a', none, 5, 20)).toBeUndefined();
    expect(tracker.waitMs('a', 20)).toBeGreaterThan(0);
    expect(tracker.applyAdvertised('a', none, 15, 30)).toBe('ended');
    expect(tracker.waitMs('a', 30)).toBe(0);
    // The end is reported to the issuer once, then the state is removed.
    const [request] = tracker.takePermitRequests(30);
    expect(request).toMatchObject({lifetime: 'a', wanted: 0});
    tracker.applyGrant('a', {permits: 0, waitMs: 0}, 30, 31);
    expect(tracker.size).toBe(0);
  });

  it('are not changed by an unreadable header', () => {
    expect(
      tracker.applyAdvertised('a', {kind: 'unread', text: 'x'}, 0, 1),
    ).toBeUndefined();
    expect(tracker.waitMs('a', 1)).toBe(0);
    tracker.applyAdvertised('a', limitOf(2), 0, 10);
    tracker.applyAdvertised('a', {kind: 'unread', text: '-1'}, 20, 30);
    expect(tracker.perSecond('a')).toBe(2);
  });

  it('allow one request per permit until the permit expires', () => {
    tracker.applyAdvertised('a', limitOf(20), 0, 10);
    for (let at = 0; at < 3; at += 1) {
      tracker.requestPermits(['a', 'b'], 20);
    }
    expect(calls).toBe(3);
    expect(tracker.takePermitRequests(20)).toMatchObject([
      {lifetime: 'a', wanted: 3},
    ]);
    expect(tracker.takePermitRequests(21)).toEqual([]);
    tracker.applyGrant('a', {permits: 2, waitMs: 200}, 20, 60);
    expect(tracker.hasPermit('a', 60)).toBe(true);
    tracker.noteSent('a', 60);
    expect(tracker.waitMs('a', 61)).toBe(0);
    tracker.noteSent('a', 61);
    expect(tracker.waitMs('a', 62)).toBeGreaterThan(0);
    // The permit that was not granted is requested after the issuer's waitMs.
    expect(tracker.nextRequestAt(62)).toBe(260);
    tracker.applyGrant('a', {permits: 1, waitMs: 200}, 260, 300);
    expect(tracker.waitMs('a', 260 + PERMIT_TTL_MS - 1)).toBe(0);
    expect(tracker.waitMs('a', 260 + PERMIT_TTL_MS)).toBeGreaterThan(0);
  });

  it('bound the permits requested and the time of the demand', () => {
    tracker.applyAdvertised('a', limitOf(8), 0, 10);
    for (let at = 0; at < 50; at += 1) {
      tracker.requestPermits(['a'], 20);
    }
    expect(tracker.takePermitRequests(20)).toMatchObject([{wanted: 2}]);
    tracker.noteRequestFailed('a', 30);
    expect(tracker.nextRequestAt(40)).toBe(130);
    expect(tracker.nextRequestAt(2_000)).toBeUndefined();
  });

  it('are kept for a bounded number of lifetimes', () => {
    for (let at = 0; at < MAX_LIMITS + 10; at += 1) {
      tracker.applyAdvertised(`t-${at}`, limitOf(1), 0, at);
    }
    expect(tracker.size).toBe(MAX_LIMITS);
    tracker.forget(`t-${MAX_LIMITS}`);
    expect(tracker.size).toBe(MAX_LIMITS - 1);
  });
});
