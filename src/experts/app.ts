/** Calls between planners and the sidecars beside the ranks. */
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
    /** Version of the map that `map` builds upon. */
    base: integer,
    /** Packed: see `packing`. */
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

/** Sidecars that the called one passes the call on to. */
const membersSchema = v.array(v.string());

/**
 * Reads the called sidecar's rank and those of the members behind it, in that
 * order; the growth of their counters is summed. The term makes older
 * planners' orders refused from then on.
 */
export const read = rpc.method(
  'experts.read',
  v.object({
    term: integer,
    periodMs: v.number(),
    growth: v.boolean(),
    planning: v.boolean(),
    held: v.boolean(),
    /** What the planner tells of the group; left out: it doesn't know. */
    view: v.optional(types.groupViewSchema),
    members: membersSchema,
  }),
  v.object({
    ranks: v.array(types.readAnswerSchema),
    growth: v.optional(growthSchema),
  }),
);

/** Gives the ranks of the called sidecar and of its members an order. */
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

/** Gives another rank an order, by its target's address. */
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

/** Gives other ranks an order that copies nothing, by their targets. */
export const orderOthers = rpc.method(
  'experts.orderOthers',
  v.object({term: integer, targets: v.array(v.string()), order: orderSchema}),
  v.object({
    results: v.array(v.picklist(['done', 'refused', 'no-answer', 'deposed'])),
  }),
);

/**
 * Asks a sidecar what it has heard of its rank's group, and whether its rank
 * sees the group open; the answer waits for the next news, but no longer than
 * `waitMs`.
 */
export const view = rpc.method(
  'experts.view',
  v.object({waitMs: v.number()}),
  v.object({
    known: v.optional(
      v.object({view: types.groupViewSchema, ageMs: v.number()}),
    ),
    /** Left out where the rank has not told. */
    seen: v.optional(v.object({isOpen: v.boolean(), ageMs: v.number()})),
  }),
);

/** Asks a sidecar whether it hears a planner. */
export const hearing = rpc.method(
  'experts.hearing',
  v.object({}),
  v.object({isPlannerHeard: v.boolean()}),
);

/**
 * A map goes as what differs from the one in force; `isWhole` where a sidecar
 * does not have that one, and it goes as what differs from the first one.
 */
export function orderToWire(value: types.Order, isWhole = false): WireOrder {
  if (value.kind !== 'prepare') {
    return value;
  }
  const {map, base, ...rest} = value;
  const isFirst = isWhole || base.version === INITIAL_MAP_VERSION;
  const against = isFirst ? packing.dealtMap(packing.shapeOf(map)) : base.map;
  return {
    ...rest,
    base: isFirst ? INITIAL_MAP_VERSION : base.version,
    map: packing.packMap(map, against),
  };
}

/**
 * Fails with `refused` where a map is not well packed, and with `no-base`
 * where this process does not have the map that it builds upon.
 */
export function orderFromWire(
  wire: WireOrder,
  maps: MapCache,
): types.Order | 'refused' | 'no-base' {
  if (wire.kind !== 'prepare') {
    return wire;
  }
  const {epoch, version, base} = wire;
  const shape = packing.readShape(wire.map);
  if (shape === undefined) {
    return 'refused';
  }
  const against = maps.find(epoch, base, shape);
  if (against === undefined) {
    return 'no-base';
  }
  const map = packing.unpackMap(wire.map, against);
  if (map === undefined) {
    return 'refused';
  }
  maps.add(epoch, version, map);
  return {...wire, map, base: {version: base, map: against}};
}
