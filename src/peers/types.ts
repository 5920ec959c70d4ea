/** What processes tell each other of the store. */
import * as v from 'valibot';
import * as objects from '../platform/types';

const whole = v.pipe(v.number(), v.integer(), v.minValue(0));

/** What a process holds of one kind of objects. */
export const heldKindSchema = v.object({
  kind: v.string(),
  /** Of the keys and versions held; equal digests, equal objects. */
  digest: whole,
});
export type HeldKind = v.InferOutput<typeof heldKindSchema>;

/** What a peer knows of one kind of objects. */
export const kindNewsSchema = v.object({
  kind: v.string(),
  /** The store's revision as of which the objects are known. */
  revision: whole,
  /** Milliseconds since the store last said that nothing newer exists. */
  ageMs: v.pipe(v.number(), v.minValue(0)),
  /** An outage has just ended: entries may still be coming back. */
  isSettling: v.boolean(),
  /** Left out where the asking process holds the same. */
  items: v.optional(v.array(objects.objectSchema)),
});
export type KindNews = v.InferOutput<typeof kindNewsSchema>;
