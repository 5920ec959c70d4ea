/**
 * What orders the store's writes. A store may come back from an older copy of
 * itself and give its revisions out again; each time its era rises by one. So
 * what is compared is the era first, and the revision within it. Both are kept in
 * one whole number, which is ordered as they are, so that nothing can compare
 * revisions alone; only the client of the store takes them apart.
 */

/** Revisions of an era: years of writes at 10,000 a second. */
const REVISIONS_PER_ERA = 2 ** 40;
/** Eras that fit beside them into a whole number that is exact. */
export const MAX_ERA = 2 ** 12;

/** An era and a revision within it; 0: none. */
export type StoreRevision = number;

export function combine(era: number, revision: number): StoreRevision {
  return Math.min(era, MAX_ERA) * REVISIONS_PER_ERA + revision;
}

/** The era; 0 of a store that names none. */
export function eraOf(revision: StoreRevision): number {
  return Math.floor(revision / REVISIONS_PER_ERA);
}

/** As the store itself counts it. */
export function revisionInEra(revision: StoreRevision): number {
  return revision % REVISIONS_PER_ERA;
}
