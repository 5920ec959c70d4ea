/** Objects and responses of the platform's object API. */
import * as v from 'valibot';
import {addressSchema} from '../http/address';

/** One object; `version` is the store's revision that wrote it. */
export const objectSchema = v.object({
  key: v.string(),
  version: v.pipe(v.number(), v.integer(), v.minValue(0)),
  value: v.unknown(),
});
export type StoredObject = v.InferOutput<typeof objectSchema>;

/** The name in a key of the form `<kind>/<name>`. */
export function nameOf(key: string): string {
  return key.slice(key.indexOf('/') + 1);
}

/** Objects under a prefix as of a revision of the whole store. */
export const listingSchema = v.object({
  revision: v.pipe(v.number(), v.integer(), v.minValue(0)),
  items: v.array(objectSchema),
  /** Keys deleted since the revision that a watch started from. */
  removed: v.optional(v.array(v.string()), []),
});
export type Listing = v.InferOutput<typeof listingSchema>;

/** An instance on the platform's list, which lags behind. */
export const instanceSchema = v.object({
  id: v.pipe(v.string(), v.nonEmpty()),
  hall: v.pipe(v.string(), v.nonEmpty()),
  role: v.picklist(['entry', 'sidecar']),
  address: addressSchema,
  state: v.picklist(['live', 'leaving']),
  /** What a sidecar's target serves, as `model/<name>` or `service/<name>`. */
  serves: v.optional(v.string(), ''),
  /** Group of ranks that the target belongs to; empty: none. */
  group: v.optional(v.string(), ''),
  rank: v.optional(v.number(), 0),
});
export type Instance = v.InferOutput<typeof instanceSchema>;

export const instanceListSchema = v.object({
  instances: v.array(instanceSchema),
});

export const putAnswerSchema = v.object({version: v.number()});

/** Why a call to the platform failed. */
export type PlatformError =
  /** The store did not answer; a write may have taken effect. */
  | {readonly kind: 'unavailable'; readonly maybeApplied: boolean}
  /** The object isn't at the expected version; `current` is null if absent. */
  | {readonly kind: 'conflict'; readonly current: StoredObject | null}
  | {readonly kind: 'watch-too-old'}
  | {readonly kind: 'value-too-large'; readonly limitBytes: number}
  | {readonly kind: 'bad-answer'; readonly detail: string};
