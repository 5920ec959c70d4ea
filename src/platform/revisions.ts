/**
 * Revisions that order the store's writes. A store that is restored from an older
 * copy issues the same revisions again, but in a higher era. The era and the
 * revision within it are combined into one integer that sorts by era first; only
 * the store's client splits it.
 */

const REVISIONS_PER_ERA = 2 ** 40;
/** Highest revision within an era. */
export const MAX_REVISION = REVISIONS_PER_ERA - 1;
/** Keeps combined revisions within the integers that a number holds exactly. */
export const MAX_ERA = 2 ** 12;

/** An era and a revision within it, combined; 0: none. */
export type StoreRevision = number;

/** Eras above `MAX_ERA` count as `MAX_ERA`. */
export function combine(era: number, revision: number): StoreRevision {
  return Math.min(era, MAX_ERA) * REVISIONS_PER_ERA + revision;
}

/** The era; 0 for a store that reports none. */
export function eraOf(revision: StoreRevision): number {
  return Math.floor(revision / REVISIONS_PER_ERA);
}

/** The revision as the store itself counts it. */
export function revisionInEra(revision: StoreRevision): number {
  return revision % REVISIONS_PER_ERA;
}
