/**
 * Highest-random-weight hashing: each key ranks all members on its own, so
 * a member that comes or goes moves only the keys that it had or gets.
 */
import * as murmurhash from 'murmurhash';

/** The weight of a member for a key. */
export function weightOf(key: string, member: string): number {
  return murmurhash.v3(member, murmurhash.v3(key));
}

/** Members from the highest weight for the key to the lowest. */
export function rankByKey<T>(
  key: string,
  members: readonly T[],
  idOf: (member: T) => string,
): T[] {
  const keyHash = murmurhash.v3(key);
  const weighed = members.map(member => ({
    member,
    weight: murmurhash.v3(idOf(member), keyHash),
  }));
  weighed.sort(
    (a, b) => b.weight - a.weight || (idOf(a.member) < idOf(b.member) ? -1 : 1),
  );
  return weighed.map(entry => entry.member);
}

/** The `count` members with the highest weights for the key. */
export function topByKey<T>(
  key: string,
  members: readonly T[],
  idOf: (member: T) => string,
  count: number,
): T[] {
  const keyHash = murmurhash.v3(key);
  const best: {member: T; weight: number}[] = [];
  for (const member of members) {
    const weight = murmurhash.v3(idOf(member), keyHash);
    if (best.length < count) {
      best.push({member, weight});
      best.sort((a, b) => b.weight - a.weight);
    } else if (weight > best[best.length - 1]!.weight) {
      best[best.length - 1] = {member, weight};
      best.sort((a, b) => b.weight - a.weight);
    }
  }
  return best.map(entry => entry.member);
}
