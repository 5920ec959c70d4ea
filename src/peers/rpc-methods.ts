/** Calls between processes that follow the store. */
import * as v from 'valibot';
import {quarantineSchema} from '../crashes/app';
import * as rpc from '../rpc/types';
import * as types from './types';

/**
 * Asks a peer what it knows of the store's objects, and makes the caller known
 * to it. A peer that has never heard of a kind leaves it out.
 */
export const pullUpdates = rpc.method(
  'peers.news',
  v.object({
    /** Where the caller takes calls. */
    from: v.string(),
    held: v.array(types.kindDigestSchema),
  }),
  v.object({
    kinds: v.array(types.kindUpdateSchema),
    /** Where other processes of the same role take calls. */
    peers: v.array(v.string()),
    /** Requests that crash the targets that run them. */
    convicted: v.array(quarantineSchema),
  }),
);
