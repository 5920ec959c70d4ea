import {SILENT_LOG} from '../observability/log';
import {ok} from '../result';
import {RankAgent} from './rank-agent';
import * as types from './types';

const STATE: types.RankState = {
  group: 'g',
  epoch: 1,
  rank: 0,
  size: 1,
  isOpen: true,
  step: 4,
  running: 0,
  waiting: 0,
  mapVersion: 0,
  prepared: null,
  armed: null,
  held: null,
  slowness: 1,
};

class CountingEngine extends types.Engine {
  counters: types.ExpertCounts = {born: 1_000, values: [10, 20]};

  async state() {
    return ok(STATE);
  }

  async counts() {
    return ok(this.counters);
  }

  async heldExperts() {
    return ok({version: 0, experts: [[0, 1]]});
  }

  async order() {
    return 'done' as const;
  }

  close(): void {}
}

const OPTIONS: types.ReadOptions = {growth: true, planning: false, held: false};

describe('the growth of a rank’s counters', () => {
  const engine = new CountingEngine();
  const agent = new RankAgent(engine, () => engine, SILENT_LOG);

  async function growth(counters: types.ExpertCounts): Promise<number[]> {
    engine.counters = counters;
    const reading = await agent.read(1, 50, OPTIONS);
    return Array.from(reading.growth ?? []);
  }

  beforeAll(() => agent.primeCounters());

  it('is the difference from the previous reading', async () => {
    expect(await growth({born: 1_000, values: [15, 20]})).toEqual([5, 0]);
  });

  // A restarted rank that was out of reach for long may have counted beyond its
  // counters of before the restart.
  it('is none across a restart even if the counters are higher', async () => {
    expect(await growth({born: 9_000, values: [40, 60]})).toEqual([]);
    expect(await growth({born: 9_000, values: [41, 60]})).toEqual([1, 0]);
  });

  it('is none if a counter fell and no start is reported', async () => {
    expect(await growth({born: undefined, values: [50, 60]})).toEqual([]);
    expect(await growth({born: undefined, values: [2, 70]})).toEqual([]);
    expect(await growth({born: undefined, values: [3, 70]})).toEqual([1, 0]);
  });
});
