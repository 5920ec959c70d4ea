import * as app from './app';
import {MapCache} from './map-cache';
import * as packing from './packing';
import type {Order} from './types';

const SHAPE = {sets: 2, ranks: 3, experts: 6};
const INITIAL = packing.initialMap(SHAPE);

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

describe('maps sent as differences', () => {
  it('are unpacked from the map before', () => {
    const cache = new MapCache();
    const second = withExpert(INITIAL, 0);
    const third = withExpert(second, 1);
    const one = prepare(7, second, {version: 0, map: INITIAL});
    const two = prepare(8, third, {version: 7, map: second});
    for (const order of [one, two]) {
      const read = app.orderFromWire(app.orderToWire(order), cache);
      expect(read).toMatchObject({
        version: (order as {version: number}).version,
      });
      expect((read as {map: unknown}).map).toEqual(
        (order as {map: unknown}).map,
      );
    }
  });

  it('need their base, or are sent as a difference from the initial map', () => {
    const cache = new MapCache();
    const order = prepare(8, withExpert(INITIAL, 1), {
      version: 7,
      map: INITIAL,
    });
    expect(app.orderFromWire(app.orderToWire(order), cache)).toBe('no-base');
    const full = app.orderFromWire(app.orderToWire(order, true), cache);
    expect((full as {map: unknown}).map).toEqual(withExpert(INITIAL, 1));
  });

  it('are not mistaken for those of another epoch', () => {
    const cache = new MapCache();
    cache.add(3, 7, withExpert(INITIAL, 0));
    expect(cache.find(4, 7, SHAPE)).toBeUndefined();
    cache.add(4, 9, INITIAL);
    expect(cache.find(3, 7, SHAPE)).toBeUndefined();
  });

  it('are cached up to a limit', () => {
    const cache = new MapCache();
    for (let version = 1; version <= 9; version += 1) {
      cache.add(4, version, INITIAL);
    }
    expect(cache.find(4, 9, SHAPE)).toEqual(INITIAL);
    expect(cache.find(4, 6, SHAPE)).toEqual(INITIAL);
    expect(cache.find(4, 5, SHAPE)).toBeUndefined();
  });

  it('are refused if malformed', () => {
    const wire = app.orderToWire(
      prepare(8, INITIAL, {version: 0, map: INITIAL}),
    );
    const bad = {...wire, map: 'AAAA'} as app.WireOrder;
    expect(app.orderFromWire(bad, new MapCache())).toBe('refused');
  });
});
