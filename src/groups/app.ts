/** RPC methods of a rank, called by the group's leader. */
import * as v from 'valibot';
import * as rpc from '../rpc/types';
import * as types from './types';

const answerSchema = v.object({
  refusal: v.nullable(
    v.picklist([
      'old-fence',
      'other-incarnation',
      'other-generation',
      'already-aborted',
      'not-armed',
      'too-late',
      'engine-silent',
      'engine-refused',
    ]),
  ),
  answer: v.nullable(types.rankAnswerSchema),
});

const orderSchema = v.object({
  change: types.mapChangeSchema,
  fence: types.fenceSchema,
});

export const query = rpc.method(
  'groups.query',
  v.object({
    change: v.nullable(types.mapChangeSchema),
    fence: v.nullable(types.fenceSchema),
  }),
  answerSchema,
);

export const stage = rpc.method('groups.stage', orderSchema, answerSchema);

export const arm = rpc.method(
  'groups.arm',
  v.object({...orderSchema.entries, incarnation: v.string()}),
  answerSchema,
);

export const commit = rpc.method('groups.commit', orderSchema, answerSchema);

export const abort = rpc.method('groups.abort', orderSchema, answerSchema);

/** Tokens routed to each expert, by layer, since the rank's engine started. */
export const counts = rpc.method(
  'groups.counts',
  v.object({}),
  v.object({
    counts: v.array(v.array(v.number())),
    rankMs: v.number(),
    stepMs: v.number(),
  }),
);

/** Proposes a map; for operators and tests. */
export const propose = rpc.method(
  'groups.propose',
  v.object({layers: v.array(v.array(v.array(v.number())))}),
  v.object({end: v.string()}),
);
