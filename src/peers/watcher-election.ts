/**
 * Whether a process asks the store itself or hears from peers what the store
 * told them. A few watch for all, so that the store's calls, which are paid
 * for, don't grow with the number of processes. Nobody is told so: every
 * process orders the addresses that it knows alike, and one whose news come
 * late watches by itself, whatever it believes of the others.
 */
import * as murmurhash from 'murmurhash';

/**
 * Processes that watch, in a site that has more: two of them may go at once.
 * A site with no more has all of them watch.
 */
export const WATCHER_COUNT = 3;
/**
 * Age of what is known at which a process no longer relies on others, in
 * milliseconds: a watch of theirs, a round of questions and a lost answer, and
 * well under the two seconds after which unknown keys may just be new ones.
 */
const MAX_UPDATE_AGE_MS = 1_900;
/**
 * Least time for which it then watches, and in which a process that has just
 * started meets its peers, in milliseconds.
 */
const MIN_WATCH_MS = 8_000;

/** One process's part in watching the store. */
export class WatcherElection {
  private watchUntil = 0;

  constructor(private readonly ownAddress: string) {}

  /** `ageMs`: since the store last confirmed what this process knows. */
  shouldWatch(peers: readonly string[], ageMs: number, now: number): boolean {
    if (ageMs > MAX_UPDATE_AGE_MS) {
      this.watchUntil = now + MIN_WATCH_MS;
    }
    return (
      now < this.watchUntil ||
      electWatchers([this.ownAddress, ...peers]).includes(this.ownAddress)
    );
  }
}

/** Those of some addresses that should watch, as all processes see it. */
export function electWatchers(addresses: readonly string[]): string[] {
  return [...addresses]
    .sort((a, b) => murmurhash.v3(a) - murmurhash.v3(b) || (a < b ? -1 : 1))
    .slice(0, WATCHER_COUNT);
}
