import * as fc from 'fast-check';
import * as packing from './packing';
import * as setPlacement from './set-placement';

const RANKS = 9;
const EXPERTS = 20;
const PLACES = 4;
const EVEN = Array<number>(RANKS).fill(1);

const demand = fc
  .array(fc.double({min: 0, max: 900, noNaN: true}), {
    minLength: EXPERTS,
    maxLength: EXPERTS,
  })
  .map(values => Float64Array.from(values));
const maxNew = fc.array(fc.nat(3), {minLength: RANKS, maxLength: RANKS});

function initialHeld(): number[][] {
  const shape = {sets: 1, ranks: RANKS, experts: EXPERTS};
  return packing.initialMap(shape)[0]!;
}

/** Load of the most loaded rank divided by the mean load. */
function imbalanceOf(
  held: readonly number[][],
  expertDemand: Float64Array,
): number {
  const holders = (expert: number) =>
    held.filter(experts => experts.includes(expert)).length;
  const loads = held.map(experts =>
    experts.reduce((sum, one) => sum + expertDemand[one]! / holders(one), 0),
  );
  const total = expertDemand.reduce((sum, one) => sum + one, 0);
  return (Math.max(...loads) * held.length) / total;
}

describe('placing the experts of a set', () => {
  it('gives every expert a holder, no rank one twice, within the limits', () => {
    fc.assert(
      fc.property(demand, demand, maxNew, (first, second, limits) => {
        let held = initialHeld();
        for (const expertDemand of [first, second]) {
          const input = {
            held,
            demand: expertDemand,
            slowness: EVEN,
            places: PLACES,
          };
          const placed = setPlacement.placeExperts({...input, maxNew: limits});
          if (placed === undefined) {
            continue;
          }
          expect(new Set(placed.flat()).size).toBe(EXPERTS);
          placed.forEach((experts, rank) => {
            const before = held[rank]!;
            const added = experts.filter(one => !before.includes(one));
            expect(new Set(experts).size).toBe(experts.length);
            expect(experts.length).toBeLessThanOrEqual(PLACES);
            expect(added.length).toBeLessThanOrEqual(limits[rank]!);
          });
          held = placed;
        }
      }),
      {numRuns: 400, seed: 41},
    );
  });

  it('copies nothing between balanced ranks', () => {
    const expertDemand = Float64Array.from({length: EXPERTS}, () => 5);
    const held = initialHeld();
    const input = {held, demand: expertDemand, slowness: EVEN, places: PLACES};
    const placed = setPlacement.placeExperts({
      ...input,
      maxNew: EVEN.map(() => 3),
    })!;
    placed.forEach((experts, rank) =>
      expect(experts.filter(one => !held[rank]!.includes(one))).toHaveLength(0),
    );
  });

  it('gives an expert with half of the demand at least half of the ranks', () => {
    const expertDemand = Float64Array.from({length: EXPERTS}, () => 1);
    expertDemand[3] = EXPERTS - 1;
    const held = initialHeld();
    const input = {held, demand: expertDemand, slowness: EVEN, places: PLACES};
    const placed = setPlacement.placeExperts({
      ...input,
      maxNew: EVEN.map(() => 3),
    })!;
    const holders = placed.filter(experts => experts.includes(3)).length;
    expect(holders).toBeGreaterThanOrEqual(5);
    expect(imbalanceOf(held, expertDemand)).toBeGreaterThan(4);
    expect(imbalanceOf(placed, expertDemand)).toBeLessThan(1.35);
  });

  it('gives a slow rank fewer experts', () => {
    const expertDemand = Float64Array.from({length: EXPERTS}, () => 5);
    const slowness = EVEN.map((_, rank) => (rank === 2 ? 4 : 1));
    const held = initialHeld();
    const input = {held, demand: expertDemand, slowness, places: PLACES};
    const placed = setPlacement.placeExperts({
      ...input,
      maxNew: EVEN.map(() => 3),
    })!;
    expect(held[2]!.length).toBe(2);
    expect(placed[2]!.length).toBeLessThanOrEqual(1);
  });
});
