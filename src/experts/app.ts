/** RPC methods between planners and the sidecars beside the ranks. */
import * as v from 'valibot';
import * as rpc from '../rpc/types';
import {INITIAL_MAP_VERSION, MapCache} from './map-cache';
import * as packing from './packing';
import * as types from './types';

const integer = v.pipe(v.number(), v.integer());

const growthSchema = v.object({
  largest: v.number(),
  steps: v.pipe(v.number(), v.minValue(1)),
  bytes: v.string(),
});

const orderSchema = v.variant('kind', [
  v.object({
    kind: v.literal('prepare'),
    epoch: integer,
    version: integer,
    /** Version of the map from which `map` is the difference. */
    base: integer,
    /** Packed by `packing.packMap`. */
    map: v.string(),
    expectedMs: v.number(),
    patienceMs: v.number(),
  }),
  v.object({
    kind: v.literal('arm'),
    epoch: integer,
    version: integer,
    step: integer,
  }),
  v.object({kind: v.literal('disarm'), epoch: integer, version: integer}),
  v.object({kind: v.literal('hold'), epoch: integer, step: integer}),
  v.object({kind: v.literal('release'), epoch: integer, step: integer}),
]);
export type WireOrder = v.InferOutput<typeof orderSchema>;

/** Addresses of the sidecars that the called one forwards the call to. */
const membersSchema = v.array(v.string());

/**
 * Reads the called sidecar's rank and those of `members`, in that order, and
 * sums the growth of their counters. From then on the sidecars refuse calls
 * with a lower term.
 */
export const read = rpc.method(
  'experts.read',
  v.object({
    term: integer,
    periodMs: v.number(),
    growth: v.boolean(),
    planning: v.boolean(),
    held: v.boolean(),
    /** The planner's summary of the group; absent if it has none. */
    view: v.optional(types.groupViewSchema),
    members: membersSchema,
  }),
  v.object({
    ranks: v.array(types.readAnswerSchema),
    growth: v.optional(growthSchema),
  }),
);

/** Orders the rank of the called sidecar and those of `members`. */
export const order = rpc.method(
  'experts.order',
  v.object({term: integer, order: orderSchema, members: membersSchema}),
  v.object({
    results: v.array(
      v.picklist([
        'done',
        'refused',
        'no-answer',
        'deposed',
        'silent',
        'no-base',
      ]),
    ),
  }),
);

/** Sends an order to another rank, by target address. */
export const orderOther = rpc.method(
  'experts.orderOther',
  v.object({
    term: integer,
    target: v.string(),
    rank: integer,
    order: orderSchema,
  }),
  v.object({
    result: v.picklist(['done', 'refused', 'no-answer', 'deposed']),
  }),
);

/** Sends an order that copies nothing to other ranks, by target address. */
export const orderOthers = rpc.method(
  'experts.orderOthers',
  v.object({term: integer, targets: v.array(v.string()), order: orderSchema}),
  v.object({
    results: v.array(v.picklist(['done', 'refused', 'no-answer', 'deposed'])),
  }),
);

/**
 * Long poll for the planner's summary of the group and for whether the called
 * sidecar's rank sees the group open. Answers on the next change, at the latest
 * after `waitMs`.
 */
export const view = rpc.method(
  'experts.view',
  v.object({waitMs: v.number()}),
  v.object({
    known: v.optional(
      v.object({view: types.groupViewSchema, ageMs: v.number()}),
    ),
    /** Absent if the rank has not been read. */
    seen: v.optional(v.object({isOpen: v.boolean(), ageMs: v.number()})),
  }),
);

/** Asks a sidecar whether it currently hears a planner. */
export const hearing = rpc.method(
  'experts.hearing',
  v.object({}),
  v.object({isPlannerHeard: v.boolean()}),
);

/**
 * Packs a map as its difference from the order's base. With `fromInitial`, for
 * sidecars that lack the base, it is the difference from the initial map.
 */
export function orderToWire(
  value: types.Order,
  fromInitial = false,
): WireOrder {
  if (value.kind !== 'prepare') {
    return value;
  }
  const {map, base, ...rest} = value;
  const isFromInitial = fromInitial || base.version === INITIAL_MAP_VERSION;
  const baseMap = isFromInitial
    ? packing.initialMap(packing.shapeOf(map))
    : base.map;
  return {
    ...rest,
    base: isFromInitial ? INITIAL_MAP_VERSION : base.version,
    map: packing.packMap(map, baseMap),
  };
}

/**
 * Unpacks an order and adds its map to the cache. `refused`: the map is
 * malformed; `no-base`: its base is not in the cache.
 */
export function orderFromWire(
  wire: WireOrder,
  cache: MapCache,
): types.Order | 'refused' | 'no-base' {
  if (wire.kind !== 'prepare') {
    return wire;
  }
  const {epoch, version, base} = wire;
  const shape = packing.readShape(wire.map);
  if (shape === undefined) {
    return 'refused';
  }
  const baseMap = cache.find(epoch, base, shape);
  if (baseMap === undefined) {
    return 'no-base';
  }
  const map = packing.unpackMap(wire.map, baseMap);
  if (map === undefined) {
    return 'refused';
  }
  cache.add(epoch, version, map);
  return {...wire, map, base: {version: base, map: baseMap}};
}
