import {LoadShedder} from './load-shedder';

const WINDOW_MS = 200;

describe('closing of new connections', () => {
  let utilization: number;
  let isUneven: boolean;
  let changes: boolean[];
  let shedder: LoadShedder;

  beforeEach(() => {
    jest.useFakeTimers();
    utilization = 0;
    isUneven = true;
    changes = [];
    shedder = new LoadShedder(
      () => utilization,
      () => isUneven,
      isShedding => changes.push(isShedding),
    );
  });

  afterEach(() => {
    shedder.close();
    jest.useRealTimers();
  });

  function closedShare(): number {
    const TRIES = 2_000;
    const tries = Array.from({length: TRIES}, () => shedder.shouldClose());
    return tries.filter(Boolean).length / TRIES;
  }

  it('begins after a second without idle time and ends with it', () => {
    utilization = 1;
    jest.advanceTimersByTime(4 * WINDOW_MS);
    expect(closedShare()).toBe(0);
    jest.advanceTimersByTime(WINDOW_MS);
    expect(closedShare()).toBeGreaterThan(0.4);
    utilization = 0.95;
    jest.advanceTimersByTime(20 * WINDOW_MS);
    expect(closedShare()).toBeGreaterThan(0.4);
    utilization = 0.5;
    jest.advanceTimersByTime(20 * WINDOW_MS);
    expect(closedShare()).toBe(0);
    expect(changes).toEqual([true, false]);
  });

  it('never applies to all, nor after short peaks', () => {
    utilization = 1;
    jest.advanceTimersByTime(100 * WINDOW_MS);
    const share = closedShare();
    expect(share).toBeGreaterThan(0.85);
    expect(share).toBeLessThan(0.95);
    shedder.close();
    shedder = new LoadShedder(
      () => utilization,
      () => isUneven,
      () => undefined,
    );
    for (let at = 0; at < 20; at += 1) {
      utilization = at % 4 === 0 ? 0.5 : 1;
      jest.advanceTimersByTime(WINDOW_MS);
    }
    expect(closedShare()).toBe(0);
  });

  // Guards against callers that are turned away where no other entry has room.
  it('does not begin, and ends, where other processes get as many', () => {
    isUneven = false;
    utilization = 1;
    jest.advanceTimersByTime(20 * WINDOW_MS);
    expect(closedShare()).toBe(0);
    isUneven = true;
    jest.advanceTimersByTime(WINDOW_MS);
    expect(closedShare()).toBeGreaterThan(0.4);
    isUneven = false;
    jest.advanceTimersByTime(20 * WINDOW_MS);
    expect(closedShare()).toBe(0);
  });
});
