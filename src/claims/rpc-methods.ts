/** RPC face of the claims: what an owner tells and takes over. */
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

/** Makes sure that a key never runs, unless it has run already. */
export const burn = rpc.method('claims.burn', keyCallSchema, keyStateSchema);

/** The slots of a service as a sidecar knows them. */
export const table = rpc.method(
  'claims.table',
  v.object({service: v.string()}),
  v.object({
    cells: v.array(v.object({slot: v.number(), cell: cellSchema})),
  }),
);

/** Identity of a sidecar that could take over slots. */
export const successor = rpc.method(
  'claims.successor',
  v.object({service: v.string()}),
  v.object({owner: v.nullable(ownerSchema)}),
);

/** The record of a cell, from an owner that has surrendered it. */
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

/** The store's object after the hand-over was written. */
export const activate = rpc.method(
  'claims.activate',
  v.object({service: v.string(), slot: v.number()}),
  v.object({active: v.boolean()}),
);
