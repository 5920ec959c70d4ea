/** RPC methods by which replicas of the configuration catch up. */
import * as v from 'valibot';
import {instanceSchema, objectSchema} from '../platform/types';
import * as rpc from '../rpc/types';

const versionSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

const deltaSchema = v.object({
  complete: versionSchema,
  items: v.array(objectSchema),
});

/** Returns the objects that a replica holds beyond a version. */
export const since = rpc.method(
  'configuration.since',
  v.object({version: versionSchema}),
  deltaSchema,
);

/** Sends one change that the store has accepted; returns the new stamp. */
export const push = rpc.method(
  'configuration.push',
  v.object({item: objectSchema}),
  v.object({stamp: v.string()}),
);

/**
 * Long poll of a hall's watcher: returns when its configuration or its list of
 * instances differs from the caller's, or after `waitMs`.
 */
export const wait = rpc.method(
  'configuration.wait',
  v.object({
    stamp: v.string(),
    instancesDigest: v.string(),
    waitMs: v.pipe(v.number(), v.minValue(0), v.maxValue(60_000)),
  }),
  v.object({
    delta: deltaSchema,
    instances: v.nullable(v.array(instanceSchema)),
    instancesDigest: v.string(),
  }),
);

/**
 * Exchanges only the stamps that every call carries; a process that is behind
 * then fetches from the other.
 */
export const hello = rpc.method(
  'configuration.hello',
  v.object({}),
  v.object({}),
);
