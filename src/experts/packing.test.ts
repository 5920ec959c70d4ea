import * as fc from 'fast-check';
import * as packing from './packing';

const SHAPE = {sets: 16, ranks: 129, experts: 258};

describe('packing a map', () => {
  const map = fc
    .record({
      sets: fc.integer({min: 1, max: 3}),
      ranks: fc.integer({min: 1, max: 5}),
      experts: fc.integer({min: 1, max: 400}),
    })
    .chain(shape =>
      fc.tuple(
        fc.constant(packing.initialMap(shape)),
        fc.array(
          fc.tuple(
            fc.nat(shape.sets - 1),
            fc.nat(shape.ranks - 1),
            fc.array(fc.nat(shape.experts - 1), {maxLength: 4}),
          ),
          {maxLength: 6},
        ),
      ),
    );

  it('round-trips a map against any base of its shape', () => {
    fc.assert(
      fc.property(map, ([base, cells]) => {
        const changed = base.map(held => [...held]);
        cells.forEach(([set, rank, experts]) => {
          changed[set]![rank] = experts;
        });
        const text = packing.packMap(changed, base);
        expect(packing.unpackMap(text, base)).toEqual(changed);
      }),
      {numRuns: 300, seed: 31},
    );
  });

  it('takes less than 3 KB for a change of few cells in a large map', () => {
    const base = packing.initialMap(SHAPE);
    const moved = base.map((held, set) =>
      held.map((experts, rank) =>
        rank % 7 === set % 7 ? [...experts, (rank * 31) % 258] : experts,
      ),
    );
    const cells = moved.flat().filter(experts => experts.length > 2).length;
    expect(cells).toBeGreaterThan(280);
    expect(packing.packMap(moved, base).length).toBeLessThan(3_000);
  });

  it('rejects truncated text and a base of another shape', () => {
    const base = [[[1, 2, 3, 4], [5]]];
    const text = packing.packMap(
      [
        [
          [1, 2, 3],
          [5, 4],
        ],
      ],
      base,
    );
    expect(packing.unpackMap(text.slice(0, 8), base)).toBeUndefined();
    expect(packing.unpackMap('', base)).toBeUndefined();
    expect(packing.unpackMap(text, [[[1]]])).toBeUndefined();
    expect(packing.unpackMap(text, [...base, ...base])).toBeUndefined();
  });

  it('reads the shape, from which the initial map is built', () => {
    const map = packing.initialMap(SHAPE);
    expect(packing.readShape(packing.packMap(map, map))).toEqual(SHAPE);
    expect(packing.readShape('?')).toBeUndefined();
    expect(map[3]![5]).toEqual([5, 134]);
  });
});

describe('packing growth', () => {
  it('is accurate to a 255th of the largest value', () => {
    const growth = [0, 3, 1_000, 12_345];
    const kept = packing.unpackGrowth(packing.packGrowth(growth))!;
    growth.forEach((value, at) =>
      expect(Math.abs(kept[at]! - value)).toBeLessThanOrEqual(12_345 / 255),
    );
  });

  it('keeps a small value beside a large one: to a 5,000th of the largest', () => {
    const kept = packing.unpackGrowth(packing.packGrowth([10, 10_000]))!;
    expect(Math.abs(kept[0]! - 10)).toBeLessThan(2);
  });

  it('misplaces less than 6 % of the demand for many experts', () => {
    const growth = Array.from(
      {length: SHAPE.sets * SHAPE.experts},
      (_, at) => 1_000 / (1 + ((at * 97) % SHAPE.experts)) ** 0.45,
    );
    const kept = packing.unpackGrowth(packing.packGrowth(growth))!;
    const total = growth.reduce((sum, value) => sum + value, 0);
    const error = growth.reduce(
      (sum, value, at) => sum + Math.abs(value - kept[at]!),
      0,
    );
    expect(error / total).toBeLessThan(0.06);
  });

  it('takes less than 2.5 KB for the sum over many ranks', () => {
    const growth = Array.from(
      {length: SHAPE.sets * SHAPE.experts},
      (_, at) => 40_000 / (1 + ((at * 97) % SHAPE.experts)) ** 1.1,
    );
    const {bytes} = packing.packGrowth(growth);
    expect(bytes.length).toBeLessThan(2_500);
  });

  it('rejects bytes that were not deflated', () => {
    const invalid = {largest: 1, steps: 9, bytes: '####'};
    expect(packing.unpackGrowth(invalid)).toBeUndefined();
  });
});
