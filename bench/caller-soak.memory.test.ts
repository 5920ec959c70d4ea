import * as random from '../src/random';
import {CallerSoak} from './caller-soak';

const SEED = 61;

describe("soak test of callers that don't behave", () => {
  it('finds no violation in a short run', async () => {
    random.seed(SEED);
    const soak = new CallerSoak({entries: 2, durationMs: 15_000});
    try {
      await soak.open();
      const {violations, figures} = await soak.run();
      expect(violations).toEqual([]);
      expect(figures['crowds']).toBeGreaterThan(3);
    } finally {
      await soak.close();
    }
  }, 120_000);
});
