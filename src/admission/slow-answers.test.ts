import * as kit from './load-kit';

/** Within which the urgent requests must be in time after a slow phase. */
const RECOVERY_MS = 2_000;
const LOADS = [
  {perSecond: 60, changes: {priority: 0}},
  {perSecond: 250, changes: {priority: 2}},
];

// The targets serve 160 requests per second at 50 ms, and are offered 310.
describe('admission while answers are slow', () => {
  let simulation: kit.LoadSimulation;

  beforeEach(() => {
    jest.useFakeTimers();
    simulation = new kit.LoadSimulation();
  });

  afterEach(() => {
    simulation.controller.close();
    jest.useRealTimers();
  });

  /** Share of the urgent requests in time that arrive in this time. */
  async function urgentShare(durationMs: number): Promise<number> {
    const since = performance.now();
    await simulation.run(LOADS, durationMs);
    const until = performance.now();
    await simulation.run(LOADS, 1_500);
    const urgent = simulation
      .responsesSince(since, ({priority}) => priority === 0)
      .filter(({request}) => request.arrivedAt < until);
    return kit.shareOf(urgent, kit.isTimely);
  }

  // Guards against places that go to whichever request arrives next, because the
  // durations make all of them late on arrival. The targets could serve 70 and 71
  // requests per second in 173 and 170 ms.
  it.each([
    ['on the slots', 115, 1],
    ['because a busy process reads them late', 50, 170],
  ])(
    'serves the urgent requests if they are slow %s',
    async (_, ms, readMs) => {
      await simulation.run(LOADS, 2_000);
      simulation.serviceMs = ms;
      simulation.readMs = readMs;
      await simulation.run(LOADS, 500);
      expect(await urgentShare(3_000)).toBeGreaterThanOrEqual(0.9);
    },
  );

  // Guards against a prediction that sustains itself after a cold start.
  it.each([
    [400, 1.5],
    [1_600, 1.5],
    [400, 4.5],
  ])(
    'serves them in time after answers of %p ms with %p places per slot',
    async (ms, places) => {
      simulation.targets.placesPerSlot = places;
      simulation.serviceMs = ms;
      await simulation.run(LOADS, 3_000);
      simulation.serviceMs = 50;
      await simulation.run(LOADS, RECOVERY_MS);
      expect(await urgentShare(2_000)).toBeGreaterThanOrEqual(0.9);
    },
  );
});
