/** Size limits for maps and sets. */

/** Removes the oldest entry if there are more than `maxSize`. */
export function dropOldest<K>(
  entries: Map<K, unknown> | Set<K>,
  maxSize: number,
): void {
  const oldest = entries.keys().next();
  if (entries.size > maxSize && oldest.done !== true) {
    entries.delete(oldest.value);
  }
}
