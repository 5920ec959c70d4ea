import * as heldBytes from './held-bytes';

const KIB = 1024;
const BOUND = 1024 * KIB;
const CHUNK = 64 * KIB;

class FakeHolder extends heldBytes.Holder {
  isCut = false;
  hadRoom = false;

  constructor(
    public size: number,
    public rank?: heldBytes.CutRank,
  ) {
    super();
  }

  bytes = () => this.size;
  rankAt = () => this.rank;

  cut(): void {
    this.isCut = true;
    this.size = 0;
  }

  override onRoom(): void {
    this.hadRoom = true;
  }
}

describe('the pace of a caller', () => {
  const LIMIT = heldBytes.SLOW_BYTES;
  let pace: heldBytes.ReaderPace;

  beforeEach(() => {
    pace = new heldBytes.ReaderPace();
  });

  it('is slow only above the limit, after a time without progress', () => {
    expect(pace.note(0, LIMIT, 0, LIMIT)).toBe('normal');
    expect(pace.note(10, LIMIT + 1, 0, LIMIT)).toBe('behind');
    expect(pace.note(259, 2 * LIMIT, 0, LIMIT)).toBe('behind');
    expect(pace.note(260, 2 * LIMIT, 250 * 512 - 1, LIMIT)).toBe('slow');
    expect(pace.note(300, LIMIT, LIMIT, LIMIT)).toBe('slow');
    expect(pace.behindMs(520)).toBe(510);
    expect(pace.note(530, LIMIT / 2, LIMIT, LIMIT)).toBe('normal');
  });

  it('is never slow while the caller goes on reading, however much is unread', () => {
    for (let at = 0; at < 10_000; at += 100) {
      expect(pace.note(at, 20 * LIMIT, at * 600, LIMIT)).toBe('behind');
    }
  });
});

describe('the bytes that a process holds', () => {
  const held = new heldBytes.HeldBytes(BOUND);

  beforeEach(() => jest.useFakeTimers());

  afterEach(() => {
    held.close();
    jest.useRealTimers();
  });

  it('cuts off the slow answer with the most bytes, then the slowest large body', () => {
    const body = (bytes: number, weight: number) =>
      new FakeHolder(bytes, {class: 'large-body', weight});
    const answer = (bytes: number) =>
      new FakeHolder(bytes, {class: 'answer', weight: bytes});
    const holders = [
      new FakeHolder(900 * KIB),
      body(400 * KIB, 2),
      answer(10 * KIB),
      answer(20 * KIB),
      body(300 * KIB, 3),
      new FakeHolder(9, {class: 'small-body', weight: 9}),
    ];
    const order: FakeHolder[] = [];
    for (;;) {
      const rest = holders.filter(holder => !order.includes(holder));
      const next = heldBytes.chooseCut(rest, 0);
      if (next === undefined) {
        break;
      }
      order.push(next);
    }
    const places = order.map(holder => holders.indexOf(holder));
    expect(places).toEqual([3, 2, 4, 1, 5]);
  });

  it('keeps the bound to a chunk per holder and cuts no more than needed', () => {
    const slow = (bytes: number) =>
      new FakeHolder(bytes, {class: 'answer', weight: bytes});
    const large = slow(BOUND / 2);
    const small = slow(BOUND / 2);
    held.update(large);
    held.update(small);
    expect([large.isCut, held.isOver]).toEqual([false, false]);
    large.size += CHUNK;
    large.rank = {class: 'answer', weight: large.size};
    held.update(large);
    expect([large.isCut, small.isCut]).toEqual([true, false]);
    expect(held.bytes()).toBe(BOUND / 2);
    held.remove(small);
  });

  it('does not cut for bytes that were taken meanwhile', () => {
    const stale = new FakeHolder(BOUND, {class: 'answer', weight: 1});
    held.update(stale);
    stale.size = 10;
    const other = new FakeHolder(CHUNK, {class: 'answer', weight: 2});
    held.update(other);
    expect([stale.isCut, other.isCut]).toEqual([false, false]);
    [stale, other].forEach(holder => held.remove(holder));
  });

  it('cuts what has become slow without an event, and tells those that wait', () => {
    const first = new FakeHolder(BOUND);
    const second = new FakeHolder(CHUNK);
    [first, second].forEach(holder => held.update(holder));
    jest.advanceTimersByTime(1_000);
    expect([held.isOver, second.hadRoom]).toEqual([true, false]);
    first.rank = {class: 'small-body', weight: 1};
    jest.advanceTimersByTime(100);
    expect([first.isCut, second.hadRoom]).toEqual([true, true]);
    expect(jest.getTimerCount()).toBe(0);
  });
});
