/** RPC face of the configuration: copies that help each other catch up. */
import * as v from 'valibot';
import {instanceSchema, objectSchema} from '../platform/types';
import * as rpc from '../rpc/types';

const versionSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

const deltaSchema = v.object({
  complete: versionSchema,
  items: v.array(objectSchema),
});

/** Everything a copy holds beyond a version. */
export const since = rpc.method(
  'configuration.since',
  v.object({version: versionSchema}),
  deltaSchema,
);

/** Hands over one change that the store has accepted. */
export const push = rpc.method(
  'configuration.push',
  v.object({item: objectSchema}),
  v.object({stamp: v.string()}),
);

/**
 * Waits at a hall's watcher until its configuration or its list of
 * instances differs from what the caller has.
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
 * Says nothing but the stamp that every call carries: whoever is behind then
 * fetches from the other.
 */
export const hello = rpc.method(
  'configuration.hello',
  v.object({}),
  v.object({}),
);
