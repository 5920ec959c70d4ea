/** Values by a key, in the order in which keys and values come. */
export function groupBy<T, K>(
  values: Iterable<T>,
  keyOf: (value: T) => K,
): Map<K, T[]> {
  const groups = new Map<K, T[]>();
  for (const value of values) {
    const key = keyOf(value);
    const members = groups.get(key);
    if (members === undefined) {
      groups.set(key, [value]);
    } else {
      members.push(value);
    }
  }
  return groups;
}
