/** Updates of store objects as processes send them to each other. */
import * as v from 'valibot';
import * as objects from '../platform/types';

const wholeNumberSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Digest of what a process holds of one kind of objects. */
export const kindDigestSchema = v.object({
  kind: v.string(),
  /** Over the keys and versions held; equal digests mean equal objects. */
  digest: wholeNumberSchema,
});
export type KindDigest = v.InferOutput<typeof kindDigestSchema>;

/** What a peer knows of one kind of objects. */
export const kindUpdateSchema = v.object({
  kind: v.string(),
  /** The store's revision as of which the objects are known. */
  revision: wholeNumberSchema,
  /** Milliseconds since the store last confirmed that nothing newer exists. */
  ageMs: v.pipe(v.number(), v.minValue(0)),
  /** An outage has just ended: objects may still be written again. */
  isSettling: v.boolean(),
  /** Left out if the asking process has the same digest. */
  items: v.optional(v.array(objects.objectSchema)),
});
export type KindUpdate = v.InferOutput<typeof kindUpdateSchema>;
