import * as fc from 'fast-check';
import * as load from './load';
import {GreedyImprovement, Rebuild} from './policies';
import type {PlacementInput, PlacementWeights} from './types';

const WEIGHTS: PlacementWeights = {
  skew: 1,
  move: 25,
  horizonSteps: 4_000,
  msPerDemand: 0.001,
};

const situation = fc
  .record({
    ranks: fc.integer({min: 2, max: 8}),
    perRank: fc.integer({min: 1, max: 6}),
    layers: fc.integer({min: 1, max: 3}),
    spare: fc.integer({min: 0, max: 2}),
    heats: fc.array(fc.double({min: 0, max: 900, noNaN: true}), {
      minLength: 16,
      maxLength: 64,
    }),
    slow: fc.double({min: 1, max: 2, noNaN: true}),
  })
  .map(({ranks, perRank, layers, spare, heats, slow}): PlacementInput => {
    const experts = ranks * perRank;
    const slowness = new Array<number>(ranks).fill(1);
    slowness[0] = slow;
    return {
      map: {version: 1, layers: load.roundRobinLayers(layers, experts, ranks)},
      demand: Array.from({length: layers}, (_, layer) =>
        Float64Array.from(
          {length: experts},
          (__, expert) => heats[(layer * 7 + expert) % heats.length]!,
        ),
      ),
      slowness,
      slotsPerLayer: perRank + spare,
    };
  });

describe('placing experts', () => {
  it('keeps every expert held and no rank over its slots', () => {
    fc.assert(
      fc.property(situation, one => {
        for (const policy of [new GreedyImprovement(), new Rebuild()]) {
          const plan = policy.plan(one, WEIGHTS);
          expect(plan === null || load.isValidPlacement(plan.layers, one)).toBe(
            true,
          );
        }
      }),
      {numRuns: 200, seed: 11},
    );
  });

  it('lists as moves just what a rank did not hold before', () => {
    fc.assert(
      fc.property(situation, one => {
        const plan = new GreedyImprovement().plan(one, WEIGHTS);
        const moves = plan?.moves ?? [];
        for (const {layer, expert, to} of moves) {
          expect(one.map.layers[layer]![expert]).not.toContain(to);
          expect(plan!.layers[layer]![expert]).toContain(to);
        }
      }),
      {numRuns: 100, seed: 12},
    );
  });

  it('moves less, the dearer a move is', () => {
    fc.assert(
      fc.property(situation, one => {
        const free = new GreedyImprovement().plan(one, {...WEIGHTS, move: 0});
        const dear = new GreedyImprovement().plan(one, {...WEIGHTS, move: 1e9});
        expect(dear).toBeNull();
        expect(free?.skewAfterMs ?? 0).toBeLessThanOrEqual(
          (free?.skewBeforeMs ?? 0) + 1e-9,
        );
      }),
      {numRuns: 100, seed: 13},
    );
  });

  it('finds the same plan in slices', async () => {
    const [one] = fc.sample(situation, {numRuns: 1, seed: 14});
    const policy = new GreedyImprovement();
    const whole = policy.plan(one!, WEIGHTS);
    expect(await policy.planInSlices(one!, WEIGHTS)).toEqual(whole);
  });
});
