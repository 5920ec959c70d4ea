import * as app from './app';
import {MapCopies} from './map-copies';
import * as packing from './packing';
import type {Order} from './types';

const SHAPE = {sets: 2, ranks: 3, experts: 6};
const FIRST = packing.initialMap(SHAPE);

function prepare(
  version: number,
  map: number[][][],
  base: {version: number; map: number[][][]},
): Order {
  const times = {expectedMs: 0, patienceMs: 0};
  return {kind: 'prepare', epoch: 4, version, map, base, ...times};
}

function moved(map: number[][][], expert: number): number[][][] {
  return map.map(held => [...held.slice(0, 2), [...held[2]!, expert]]);
}

describe('maps that are told as differences', () => {
  it('are worked out one after the other', () => {
    const maps = new MapCopies();
    const second = moved(FIRST, 0);
    const third = moved(second, 1);
    const one = prepare(7, second, {version: 0, map: FIRST});
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
    const maps = new MapCopies();
    const order = prepare(8, moved(FIRST, 1), {version: 7, map: FIRST});
    expect(app.orderFromWire(app.orderToWire(order), maps)).toBe('no-base');
    const whole = app.orderFromWire(app.orderToWire(order, true), maps);
    expect((whole as {map: unknown}).map).toEqual(moved(FIRST, 1));
  });

  it('are not taken for those of another epoch', () => {
    const maps = new MapCopies();
    maps.note(3, 7, moved(FIRST, 0));
    expect(maps.find(4, 7, SHAPE)).toBeUndefined();
    maps.note(4, 9, FIRST);
    expect(maps.find(3, 7, SHAPE)).toBeUndefined();
  });

  it('keeps a few of them', () => {
    const maps = new MapCopies();
    for (let version = 1; version <= 9; version += 1) {
      maps.note(4, version, FIRST);
    }
    expect(maps.find(4, 9, SHAPE)).toEqual(FIRST);
    expect(maps.find(4, 6, SHAPE)).toEqual(FIRST);
    expect(maps.find(4, 5, SHAPE)).toBeUndefined();
  });

  it('refuses what is no map', () => {
    const wire = app.orderToWire(prepare(8, FIRST, {version: 0, map: FIRST}));
    const bad = {...wire, map: 'AAAA'} as app.WireOrder;
    expect(app.orderFromWire(bad, new MapCopies())).toBe('refused');
  });
});
