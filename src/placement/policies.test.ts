import * as fc from 'fast-check';
import * as load from './load';
import {GreedyImprovement, Rebuild} from './policies';
import type {PolicyInput, PlacementWeights} from './types';

const WEIGHTS: PlacementWeights = {
  skew: 1,
  move: 25,
  horizonSteps: 4_000,
  msPerDemand: 0.001,
};

const inputs = fc
  .record({
    ranks: fc.integer({min: 2, max: 8}),
    perRank: fc.integer({min: 1, max: 6}),
    layers: fc.integer({min: 1, max: 3}),
    spare: fc.integer({min: 0, max: 2}),
    demands: fc.array(fc.double({min: 0, max: 900, noNaN: true}), {
      minLength: 16,
      maxLength: 64,
    }),
    slowFactor: fc.double({min: 1, max: 2, noNaN: true}),
  })
  .map(({ranks, perRank, layers, spare, demands, slowFactor}): PolicyInput => {
    const experts = ranks * perRank;
    const slowness = new Array<number>(ranks).fill(1);
    slowness[0] = slowFactor;
    return {
      map: {
        version: 1,
        layers: load.roundRobinLayers(layers, experts, ranks),
      },
      demand: Array.from({length: layers}, (_, layer) =>
        Float64Array.from(
          {length: experts},
          (__, expert) => demands[(layer * 7 + expert) % demands.length]!,
        ),
      ),
      slowness,
      slotsPerLayer: perRank + spare,
    };
  });

describe('placing experts', () => {
  it('gives every expert a copy and no rank more than its slots', () => {
    fc.assert(
      fc.property(inputs, input => {
        for (const policy of [new GreedyImprovement(), new Rebuild()]) {
          const plan = policy.plan(input, WEIGHTS);
          expect(
            plan === null || load.isValidPlacement(plan.layers, input),
          ).toBe(true);
        }
      }),
      {numRuns: 200, seed: 11},
    );
  });

  it('lists as moves only experts that the rank did not hold before', () => {
    fc.assert(
      fc.property(inputs, input => {
        const plan = new GreedyImprovement().plan(input, WEIGHTS);
        const moves = plan?.moves ?? [];
        for (const {layer, expert, to} of moves) {
          expect(input.map.layers[layer]![expert]).not.toContain(to);
          expect(plan!.layers[layer]![expert]).toContain(to);
        }
      }),
      {numRuns: 100, seed: 12},
    );
  });

  it('moves nothing if moves cost too much; free moves never add skew', () => {
    fc.assert(
      fc.property(inputs, input => {
        const free = new GreedyImprovement().plan(input, {...WEIGHTS, move: 0});
        const costly = new GreedyImprovement().plan(input, {
          ...WEIGHTS,
          move: 1e9,
        });
        expect(costly).toBeNull();
        expect(free?.skewAfterMs ?? 0).toBeLessThanOrEqual(
          (free?.skewBeforeMs ?? 0) + 1e-9,
        );
      }),
      {numRuns: 100, seed: 13},
    );
  });

  it('finds the same plan when planning in slices', async () => {
    const [input] = fc.sample(inputs, {numRuns: 1, seed: 14});
    const policy = new GreedyImprovement();
    const whole = policy.plan(input!, WEIGHTS);
    expect(await policy.planInSlices(input!, WEIGHTS)).toEqual(whole);
  });
});
