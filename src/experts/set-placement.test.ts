import * as fc from 'fast-check';
import * as packing from './packing';
import * as setPacking from './set-placement';

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
const room = fc.array(fc.nat(3), {minLength: RANKS, maxLength: RANKS});

function firstHeld(): number[][] {
  const shape = {sets: 1, ranks: RANKS, experts: EXPERTS};
  return packing.initialMap(shape)[0]!;
}

/** Most loaded rank over the mean. */
function imbalanceOf(held: readonly number[][], asked: Float64Array): number {
  const holders = (expert: number) =>
    held.filter(experts => experts.includes(expert)).length;
  const loads = held.map(experts =>
    experts.reduce((sum, one) => sum + asked[one]! / holders(one), 0),
  );
  const total = asked.reduce((sum, one) => sum + one, 0);
  return (Math.max(...loads) * held.length) / total;
}

describe('packing the experts of a set', () => {
  it('holds every expert, none twice at a rank, within places and room', () => {
    fc.assert(
      fc.property(demand, demand, room, (first, second, rooms) => {
        let held = firstHeld();
        for (const asked of [first, second]) {
          const task = {held, demand: asked, slowness: EVEN, places: PLACES};
          const packed = setPacking.placeExperts({...task, maxNew: rooms});
          if (packed === undefined) {
            continue;
          }
          expect(new Set(packed.flat()).size).toBe(EXPERTS);
          packed.forEach((experts, rank) => {
            const before = held[rank]!;
            const brought = experts.filter(one => !before.includes(one));
            expect(new Set(experts).size).toBe(experts.length);
            expect(experts.length).toBeLessThanOrEqual(PLACES);
            expect(brought.length).toBeLessThanOrEqual(rooms[rank]!);
          });
          held = packed;
        }
      }),
      {numRuns: 400, seed: 41},
    );
  });

  it('leaves ranks that are even enough as they are', () => {
    const asked = Float64Array.from({length: EXPERTS}, () => 5);
    const held = firstHeld();
    const task = {held, demand: asked, slowness: EVEN, places: PLACES};
    const packed = setPacking.placeExperts({
      ...task,
      maxNew: EVEN.map(() => 3),
    })!;
    packed.forEach((experts, rank) =>
      expect(experts.filter(one => !held[rank]!.includes(one))).toHaveLength(0),
    );
  });

  it('gives an expert with half of all demand half of the ranks', () => {
    const asked = Float64Array.from({length: EXPERTS}, () => 1);
    asked[3] = EXPERTS - 1;
    const held = firstHeld();
    const task = {held, demand: asked, slowness: EVEN, places: PLACES};
    const packed = setPacking.placeExperts({
      ...task,
      maxNew: EVEN.map(() => 3),
    })!;
    const holders = packed.filter(experts => experts.includes(3)).length;
    expect(holders).toBeGreaterThanOrEqual(5);
    expect(imbalanceOf(held, asked)).toBeGreaterThan(4);
    expect(imbalanceOf(packed, asked)).toBeLessThan(1.35);
  });

  it('gives a slow rank less', () => {
    const asked = Float64Array.from({length: EXPERTS}, () => 5);
    const slowness = EVEN.map((_, rank) => (rank === 2 ? 4 : 1));
    const held = firstHeld();
    const task = {held, demand: asked, slowness, places: PLACES};
    const packed = setPacking.placeExperts({
      ...task,
      maxNew: EVEN.map(() => 3),
    })!;
    expect(held[2]!.length).toBe(2);
    expect(packed[2]!.length).toBeLessThanOrEqual(1);
  });
});
