/** Calls between planners and the sidecars beside the ranks. */
import * as v from 'valibot';
import * as rpc from '../rpc/types';

const whole = v.pipe(v.number(), v.integer());
const mapSchema = v.array(v.array(v.array(whole)));

const stateSchema = v.object({
  group: v.string(),
  epoch: whole,
  rank: whole,
  size: whole,
  isOpen: v.boolean(),
  step: whole,
  running: v.number(),
  waiting: v.number(),
  mapVersion: whole,
  prepared: v.nullable(whole),
  armed: v.nullable(v.object({version: whole, step: whole})),
  held: v.nullable(whole),
});

const readingSchema = v.object({
  state: stateSchema,
  counts: v.optional(v.array(v.number())),
  held: v.optional(
    v.object({version: whole, experts: v.array(v.array(whole))}),
  ),
});

const orderSchema = v.variant('kind', [
  v.object({
    kind: v.literal('prepare'),
    epoch: whole,
    version: whole,
    map: mapSchema,
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

/** Reads a rank; the term makes older planners' orders refused from then. */
export const read = rpc.method(
  'experts.read',
  v.object({term: whole, counts: v.boolean(), held: v.boolean()}),
  v.variant('kind', [
    v.object({kind: v.literal('reading'), reading: readingSchema}),
    v.object({kind: v.literal('deposed')}),
    v.object({kind: v.literal('no-rank')}),
  ]),
);

/** Gives a rank an order under a planner's term. */
export const order = rpc.method(
  'experts.order',
  v.object({term: whole, order: orderSchema}),
  v.object({
    result: v.picklist(['done', 'refused', 'no-answer', 'deposed']),
  }),
);

/** Asks a sidecar for how long it has heard of no planner. */
export const silence = rpc.method(
  'experts.silence',
  v.object({}),
  v.object({silentMs: v.number()}),
);
