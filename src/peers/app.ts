/** RPC methods between processes that share store updates. */
import * as v from 'valibot';
import {quarantineSchema} from '../crashes/app';
import * as rpc from '../rpc/types';
import * as types from './types';

/** New connections per second of the sender; left out by earlier versions. */
const connectionsSchema = v.optional(v.pipe(v.number(), v.minValue(0)));

/**
 * Returns a peer's updates of the store's objects and registers the caller with
 * it. Kinds of which the peer knows nothing yet are left out.
 */
export const pullUpdates = rpc.method(
  'peers.news',
  v.object({
    /** Address at which the caller takes calls. */
    from: v.string(),
    held: v.array(types.kindDigestSchema),
    connectionsPerSecond: connectionsSchema,
  }),
  v.object({
    kinds: v.array(types.kindUpdateSchema),
    /** Addresses of other processes of the same role. */
    peers: v.array(v.string()),
    /** Quarantined requests: those that crash the targets that run them. */
    convicted: v.array(quarantineSchema),
    connectionsPerSecond: connectionsSchema,
  }),
);
