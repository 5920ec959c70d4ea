/**
 * Decides whether a process watches the store itself or polls peers that do. A
 * few watch for all, so that the store's calls, which are paid for, don't grow
 * with the number of processes. The election needs no messages: each process
 * ranks the addresses that it knows by the same hash. A process whose updates are
 * late also watches the store.
 */
import * as murmurhash from 'murmurhash';

/**
 * Two of them may fail at once. A site with no more processes has all of them
 * watch.
 */
export const WATCHER_COUNT = 3;
/**
 * Covers a watcher's watch, a poll and a lost answer; below the age of 2 s from
 * which an unknown API key may be a new one.
 */
const MAX_UPDATE_AGE_MS = 1_900;
/** Also gives a process that has just started time to discover its peers. */
const MIN_WATCH_MS = 8_000;

export class WatcherElection {
  private watchUntil = 0;

  constructor(private readonly ownAddress: string) {}

  /**
   * `ageMs`: since the store last confirmed what this process knows; `now`:
   * milliseconds of the monotonic clock.
   */
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

/** The addresses that should watch the store; the same in every process. */
export function electWatchers(addresses: readonly string[]): string[] {
  return [...addresses]
    .sort((a, b) => murmurhash.v3(a) - murmurhash.v3(b) || (a < b ? -1 : 1))
    .slice(0, WATCHER_COUNT);
}
