/** What processes tell each other of the store. */
import * as v from 'valibot';
import * as objects from '../platform/types';

const wholeNumberSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

/** What a process holds of one kind of objects. */
export const kindDigestSchema = v.object({
  kind: v.string(),
  /** Of the keys and versions held; equal digests, equal objects. */
  digest: wholeNumberSchema,
});
export type KindDigest = v.InferOutput<typeof kindDigestSchema>;

/** What a peer knows of one kind of objects. */
export const kindUpdateSchema = v.object({
  kind: v.string(),
  /** The store's revision as of which the objects are known. */
  revision: wholeNumberSchema,
  /** Milliseconds since the store last said that nothing newer exists. */
  ageMs: v.pipe(v.number(), v.minValue(0)),
  /** An outage has just ended: entries may still be coming back. */
  isSettling: v.boolean(),
  /** Left out where the asking process holds the same. */
  items: v.optional(v.array(objects.objectSchema)),
});
export type KindUpdate = v.InferOutput<typeof kindUpdateSchema>;
