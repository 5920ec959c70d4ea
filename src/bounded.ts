/** Maps and sets that keep a bounded number, in the order in which it came. */

/** Drops the oldest of what is kept, where that is more than `most`. */
export function dropOldest<K>(
  kept: Map<K, unknown> | Set<K>,
  most: number,
): void {
  const oldest = kept.keys().next();
  if (kept.size > most && oldest.done !== true) {
    kept.delete(oldest.value);
  }
}
