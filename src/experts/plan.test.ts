import * as fc from 'fast-check';
import * as packing from './packing';
import * as plans from './plan';

const LIMITS = {places: 8, spare: 3, copiesPerRank: 2, minRelief: 0.03};
const FIGURES = {
  sets: 2,
  experts: 24,
  places: 8,
  spare: 3,
  share: 1,
  copyMs: 1,
  formMs: 1,
};
const RANKS = 6;
const EVEN = Array<number>(RANKS).fill(1);

const demand = fc.array(
  fc
    .array(fc.double({min: 0, max: 900, noNaN: true}), {
      minLength: FIGURES.experts,
      maxLength: FIGURES.experts,
    })
    .map(values => Float64Array.from(values)),
  {minLength: FIGURES.sets, maxLength: FIGURES.sets},
);

/** Plans a change for each demand, starting from the map of the one before. */
function planInSequence(demands: readonly (readonly Float64Array[])[]) {
  const first = packing.initialMap({...FIGURES, ranks: RANKS});
  const steps: {from: plans.MapPlan['map']; plan: plans.MapPlan}[] = [];
  let map: plans.MapPlan['map'] = first;
  for (const one of demands) {
    const plan = plans.planMap(map, one, EVEN, LIMITS);
    if (plan !== undefined) {
      steps.push({from: map, plan});
      map = plan.map;
    }
  }
  return steps;
}

describe('planning an expert map', () => {
  it('gives every expert a holder, and no rank an expert twice', () => {
    fc.assert(
      fc.property(fc.array(demand, {minLength: 1, maxLength: 5}), demands => {
        for (const {plan} of planInSequence(demands)) {
          for (const held of plan.map) {
            expect(new Set(held.flat()).size).toBe(FIGURES.experts);
            for (const experts of held) {
              expect(new Set(experts).size).toBe(experts.length);
              expect(experts.length).toBeLessThanOrEqual(LIMITS.places);
            }
          }
        }
      }),
      {numRuns: 150, seed: 21},
    );
  });

  it('keeps to the limits of new experts per rank', () => {
    fc.assert(
      fc.property(fc.array(demand, {minLength: 1, maxLength: 5}), demands => {
        for (const {from, plan} of planInSequence(demands)) {
          const total = new Array<number>(RANKS).fill(0);
          plan.map.forEach((held, set) =>
            held.forEach((experts, rank) => {
              const before = from[set]![rank]!;
              const added = experts.filter(e => !before.includes(e)).length;
              expect(added).toBeLessThanOrEqual(LIMITS.spare);
              total[rank]! += added;
            }),
          );
          expect(Math.max(...total)).toBeLessThanOrEqual(LIMITS.copiesPerRank);
        }
      }),
      {numRuns: 150, seed: 22},
    );
  });

  it('reports the imbalance of the old and the new map', () => {
    fc.assert(
      fc.property(demand, one => {
        for (const {from, plan} of planInSequence([one])) {
          expect(plan.imbalanceBefore).toBeCloseTo(
            plans.imbalance(from, one, EVEN),
            9,
          );
          expect(plan.imbalanceAfter).toBeCloseTo(
            plans.imbalance(plan.map, one, EVEN),
            9,
          );
        }
      }),
      {numRuns: 150, seed: 23},
    );
  });

  it('replicates one expert with most of the demand', () => {
    const hot = Float64Array.from({length: FIGURES.experts}, () => 1);
    hot[7] = 200;
    const [first, second] = planInSequence([
      [hot, hot],
      [hot, hot],
    ]);
    expect(first!.plan.imbalanceBefore).toBeGreaterThan(5);
    const last = second ?? first!;
    expect(last.plan.imbalanceAfter).toBeLessThan(1.3);
  });

  it('moves load off a slow rank', () => {
    const even = Float64Array.from({length: FIGURES.experts}, () => 5);
    const slowness = [1, 1, 5, 1, 1, 1];
    const limits = {...LIMITS, copiesPerRank: 3};
    let map: plans.MapPlan['map'] = packing.initialMap({
      ...FIGURES,
      ranks: RANKS,
    });
    const before = plans.imbalance(map, [even, even], slowness);
    for (let change = 0; change < 4; change += 1) {
      map = plans.planMap(map, [even, even], slowness, limits)?.map ?? map;
    }
    expect(before).toBe(5);
    expect(plans.imbalance(map, [even, even], slowness)).toBeLessThan(1.6);
  });

  it('plans nothing for even demand', () => {
    const even = Float64Array.from({length: FIGURES.experts}, () => 5);
    const map = packing.initialMap({...FIGURES, ranks: RANKS});
    expect(plans.planMap(map, [even, even], EVEN, LIMITS)).toBeUndefined();
  });
});
