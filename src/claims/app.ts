/** RPC methods by which sidecars expose and hand over key ownership. */
import * as v from 'valibot';
import * as rpc from '../rpc/types';
import {recordSchema} from './records';
import {cellSchema, ownerSchema} from './types';

const keyCallSchema = v.object({
  service: v.string(),
  account: v.string(),
  key: v.string(),
});

const keyStateSchema = v.object({
  state: v.picklist(['not-run', 'running', 'ran', 'unknown', 'not-owner']),
});

/** Prevents a key from ever running, unless it has been started already. */
export const burn = rpc.method('claims.burn', keyCallSchema, keyStateSchema);

/** A sidecar's cached copy of a service's cells. */
export const table = rpc.method(
  'claims.table',
  v.object({service: v.string()}),
  v.object({
    cells: v.array(
      v.object({
        slot: v.number(),
        /** Of the slot in the store; absent in earlier versions. */
        version: v.optional(v.number()),
        cell: cellSchema,
      }),
    ),
  }),
);

/** The identity of a sidecar that accepts slots; null if it does not. */
export const successor = rpc.method(
  'claims.successor',
  v.object({service: v.string()}),
  v.object({owner: v.nullable(ownerSchema)}),
);

/** Key records of a slot from an owner that has surrendered it. */
export const receive = rpc.method(
  'claims.receive',
  v.object({
    service: v.string(),
    slot: v.number(),
    froms: v.array(v.number()),
    records: v.array(recordSchema),
  }),
  v.object({accepted: v.boolean()}),
);

/** Makes the successor reread the slot after the hand-over is written. */
export const activate = rpc.method(
  'claims.activate',
  v.object({service: v.string(), slot: v.number()}),
  v.object({active: v.boolean()}),
);
