import * as app from './app';
import {MapCache} from './map-cache';
import * as packing from './packing';
import type {Order} from './types';

const SHAPE = {sets: 2, ranks: 3, experts: 6};
const INITIAL = packing.dealtMap(SHAPE);

function prepare(
  version: number,
  map: number[][][],
  base: {version: number; map: number[][][]},
): Order {
  const times = {expectedMs: 0, patienceMs: 0};
  return {kind: 'prepare', epoch: 4, version, map, base, ...times};
}

function withExpert(map: number[][][], expert: number): number[][][] {
  return map.map(held => [...held.slice(0, 2), [...held[2]!, expert]]);
}

describe('maps that are told as differences', () => {
  it('are worked out one after the other', () => {
    const maps = new MapCache();
    const second = withExpert(INITIAL, 0);
    const third = withExpert(second, 1);
    const one = prepare(7, second, {version: 0, map: INITIAL});
    const two = prepare(8, third, {version: 7, map: second});
    for (const order of [one, two]) {
      const read = app.orderFromWire(app.orderToWire(order), maps);
      expect(read).toMatchObject({
        version: (order as {version: number}).version,
      });
      expect((read as {map: unknown}).map).toEqual(
        (order as {map: unknown}).map,
      );
    }
  });

  it('are refused where the one before is not known, and then told whole', () => {
    const maps = new MapCache();
    const order = prepare(8, withExpert(INITIAL, 1), {
      version: 7,
      map: INITIAL,
    });
    expect(app.orderFromWire(app.orderToWire(order), maps)).toBe('no-base');
    const whole = app.orderFromWire(app.orderToWire(order, true), maps);
    expect((whole as {map: unknown}).map).toEqual(withExpert(INITIAL, 1));
  });

  it('are not taken for those of another epoch', () => {
    const maps = new MapCache();
    maps.add(3, 7, withExpert(INITIAL, 0));
    expect(maps.find(4, 7, SHAPE)).toBeUndefined();
    maps.add(4, 9, INITIAL);
    expect(maps.find(3, 7, SHAPE)).toBeUndefined();
  });

  it('keeps a few of them', () => {
    const maps = new MapCache();
    for (let version = 1; version <= 9; version += 1) {
      maps.add(4, version, INITIAL);
    }
    expect(maps.find(4, 9, SHAPE)).toEqual(INITIAL);
    expect(maps.find(4, 6, SHAPE)).toEqual(INITIAL);
    expect(maps.find(4, 5, SHAPE)).toBeUndefined();
  });

  it('refuses what is no map', () => {
    const wire = app.orderToWire(
      prepare(8, INITIAL, {version: 0, map: INITIAL}),
    );
    const bad = {...wire, map: 'AAAA'} as app.WireOrder;
    expect(app.orderFromWire(bad, new MapCache())).toBe('refused');
  });
});
