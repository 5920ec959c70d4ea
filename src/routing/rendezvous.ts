/**
 * Rendezvous (highest random weight) hashing: adding or removing a member moves
 * only the keys assigned to it.
 */
import * as murmurhash from 'murmurhash';

export function weightOf(key: string, member: string): number {
  return murmurhash.v3(member, murmurhash.v3(key));
}

/** Members by descending weight for the key. */
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

/** The `count` members with the highest weights for the key, best first. */
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
