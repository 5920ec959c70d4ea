/** Calls between planners and the sidecars beside the ranks. */
import * as v from 'valibot';
import * as rpc from '../rpc/types';
import * as packing from './packing';
import * as types from './types';

const whole = v.pipe(v.number(), v.integer());

const growthSchema = v.object({unit: v.number(), bytes: v.string()});

const orderSchema = v.variant('kind', [
  v.object({
    kind: v.literal('prepare'),
    epoch: whole,
    version: whole,
    /** Packed: see `packing`. */
    map: v.string(),
    expectedMs: v.number(),
    patienceMs: v.number(),
  }),
  v.object({
    kind: v.literal('arm'),
    epoch: whole,
    version: whole,
    step: whole,
  }),
  v.object({kind: v.literal('disarm'), epoch: whole, version: whole}),
  v.object({kind: v.literal('hold'), epoch: whole, step: whole}),
  v.object({kind: v.literal('release'), epoch: whole, step: whole}),
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
    term: whole,
    periodMs: v.number(),
    growth: v.boolean(),
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
  v.object({term: whole, order: orderSchema, members: membersSchema}),
  v.object({
    results: v.array(
      v.picklist(['done', 'refused', 'no-answer', 'deposed', 'silent']),
    ),
  }),
);

/** Gives another rank an order, by its target's address. */
export const orderOther = rpc.method(
  'experts.orderOther',
  v.object({term: whole, target: v.string(), rank: whole, order: orderSchema}),
  v.object({
    result: v.picklist(['done', 'refused', 'no-answer', 'deposed']),
  }),
);

/**
 * Asks a sidecar what it has heard of its rank's group; the answer waits for
 * the next news, but no longer than `waitMs`.
 */
export const view = rpc.method(
  'experts.view',
  v.object({waitMs: v.number()}),
  v.object({
    known: v.optional(
      v.object({view: types.groupViewSchema, ageMs: v.number()}),
    ),
  }),
);

/** Asks a sidecar whether it hears a planner. */
export const hearing = rpc.method(
  'experts.hearing',
  v.object({}),
  v.object({isPlannerHeard: v.boolean()}),
);

export function orderToWire(value: types.Order): WireOrder {
  return value.kind === 'prepare'
    ? {...value, map: packing.packMap(value.map)}
    : value;
}

/** Undefined where a map is not well packed. */
export function orderFromWire(wire: WireOrder): types.Order | undefined {
  if (wire.kind !== 'prepare') {
    return wire;
  }
  const map = packing.unpackMap(wire.map);
  return map === undefined ? undefined : {...wire, map};
}
