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

  afterEach(() => jest.useRealTimers());

  /** Connections arrive during so many windows. */
  function passWindows(count: number): void {
    for (let at = 0; at < count; at += 1) {
      jest.advanceTimersByTime(WINDOW_MS);
      shedder.shouldClose(performance.now());
    }
  }

  function closedShare(): number {
    const TRIES = 2_000;
    const tries = Array.from({length: TRIES}, () =>
      shedder.shouldClose(performance.now()),
    );
    return tries.filter(Boolean).length / TRIES;
  }

  it('begins after a second without idle time and ends with it', () => {
    utilization = 1;
    passWindows(4);
    expect(closedShare()).toBe(0);
    passWindows(1);
    expect(closedShare()).toBeGreaterThan(0.4);
    utilization = 0.95;
    passWindows(20);
    expect(closedShare()).toBeGreaterThan(0.4);
    utilization = 0.5;
    passWindows(20);
    expect(closedShare()).toBe(0);
    expect(changes).toEqual([true, false]);
  });

  it('never applies to all, nor after short peaks', () => {
    utilization = 1;
    passWindows(100);
    const share = closedShare();
    expect(share).toBeGreaterThan(0.85);
    expect(share).toBeLessThan(0.95);
    shedder = new LoadShedder(
      () => utilization,
      () => isUneven,
      () => undefined,
    );
    for (let at = 0; at < 20; at += 1) {
      utilization = at % 4 === 0 ? 0.5 : 1;
      passWindows(1);
    }
    expect(closedShare()).toBe(0);
  });

  // Guards against callers that are turned away where no other entry has room.
  it('does not begin, and ends, where other processes get as many', () => {
    isUneven = false;
    utilization = 1;
    passWindows(20);
    expect(closedShare()).toBe(0);
    isUneven = true;
    passWindows(1);
    expect(closedShare()).toBeGreaterThan(0.4);
    isUneven = false;
    passWindows(20);
    expect(closedShare()).toBe(0);
  });
});
