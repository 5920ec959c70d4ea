/**
 * Follows all objects of one kind: lists them, then watches for changes. Lists
 * again after an outage or when the store no longer holds the history.
 */
import {Subject} from 'rxjs';
import type {ObjectApi} from './client';
import type {Listing, PlatformError} from './types';

/**
 * Pause after a change before the next watch, so that changes in quick
 * succession come in one answer. Each call is paid for.
 */
export const BATCH_DELAY_MS = 200;
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 500;
/**
 * Time that a waiting watch may take to answer after another one has shown that
 * the store has a newer revision.
 */
const SILENCE_TIMEOUT_MS = 200;
/**
 * Minimum time between watches that are asked again: other kinds of objects may
 * change often. With the time-out, less than the time after which an instance
 * counts as in touch, and a leaving target's grace.
 */
const MIN_ASK_AGAIN_INTERVAL_MS = 4_000;

export type WatchEvent =
  /** All objects, whatever was known before. */
  | {readonly kind: 'listed'; readonly listing: Listing}
  | {readonly kind: 'changed'; readonly listing: Listing}
  /**
   * The store has answered: all changes up to `since`, in milliseconds of the
   * monotonic clock, are known. Follows the answer's `listed` or `changed`.
   */
  | {readonly kind: 'contact'; readonly since: number}
  /** First failure after an answer or the start. */
  | {readonly kind: 'lost'; readonly error: PlatformError};

export class WatchLoop {
  readonly events = new Subject<WatchEvent>();
  private readonly stop = new AbortController();
  private revision: number | undefined;
  private watch = new AbortController();
  private isUnavailable = false;
  /** The current watch was ended because its connection may be silent. */
  private isAskedAgain = false;
  private askedAgainAt = -Infinity;
  /** The newest revision that the store is known to have. */
  private storeRevision = 0;
  private silenceTimer: NodeJS.Timeout | undefined;
  private askedAt = 0;
  /** Wait of the current watch. */
  private currentWaitMs = 0;
  private backoffMs = INITIAL_BACKOFF_MS;

  /** `waitMs` gives the time that the next watch waits for a change. */
  constructor(
    private readonly store: ObjectApi,
    private readonly kind: string,
    private readonly waitMs: () => number,
  ) {}

  /** Runs until closed. */
  async run(): Promise<void> {
    while (!this.stop.signal.aborted) {
      const askedAt = performance.now();
      this.askedAt = askedAt;
      const isFirst = this.revision === undefined;
      const answer = await this.request();
      if (this.stop.signal.aborted) {
        return;
      }
      if (this.watch.signal.aborted) {
        // The watch was ended meanwhile, so this answer doesn't count.
        if (!this.isAskedAgain) {
          this.revision = undefined;
        }
      } else if (answer.ok) {
        const hasNews = this.applyListing(isFirst, answer.value, askedAt);
        await pause(hasNews && !isFirst ? BATCH_DELAY_MS : 0);
      } else if (answer.error.kind === 'watch-too-old') {
        this.revision = undefined;
      } else {
        await this.backOff(answer.error);
      }
    }
  }

  /** Revision up to which all changes are known; 0: nothing is known. */
  get knownRevision(): number {
    return this.revision ?? 0;
  }

  /** Aborts the current watch, which may never be answered, and lists again. */
  restart(): void {
    this.isAskedAgain = false;
    this.watch.abort();
  }

  /**
   * Call when another answer has shown the store's revision. A watch that is asked
   * before and stays behind may wait on a connection that has gone silent; it is
   * asked again on a new one.
   */
  noteStoreRevision(revision: number): void {
    if (revision <= Math.max(this.storeRevision, this.knownRevision)) {
      return;
    }
    this.storeRevision = revision;
    const dueMs =
      this.askedAgainAt + MIN_ASK_AGAIN_INTERVAL_MS - performance.now();
    this.checkSilenceIn(Math.max(dueMs, SILENCE_TIMEOUT_MS));
  }

  close(): void {
    clearTimeout(this.silenceTimer);
    this.stop.abort();
    this.watch.abort();
    this.events.complete();
  }

  private checkSilenceIn(ms: number): void {
    this.silenceTimer ??= setTimeout(() => {
      this.silenceTimer = undefined;
      this.askAgainIfSilent();
    }, ms);
  }

  private askAgainIfSilent(): void {
    if (
      this.revision === undefined ||
      this.knownRevision >= this.storeRevision
    ) {
      return;
    }
    const now = performance.now();
    const leftMs = this.askedAt + SILENCE_TIMEOUT_MS - now;
    if (leftMs > 0) {
      this.checkSilenceIn(leftMs);
      return;
    }
    this.askedAgainAt = now;
    this.isAskedAgain = true;
    this.watch.abort();
  }

  private request() {
    const prefix = `${this.kind}/`;
    const isOnNewConnection = this.isAskedAgain;
    this.isAskedAgain = false;
    this.watch = new AbortController();
    this.currentWaitMs = this.waitMs();
    return this.revision === undefined
      ? this.store.list(prefix)
      : this.store.watch(
          prefix,
          this.revision,
          this.currentWaitMs,
          this.watch.signal,
          isOnNewConnection,
        );
  }

  /** Returns true if the answer held changes. */
  private applyListing(
    isFirst: boolean,
    listing: Listing,
    askedAt: number,
  ): boolean {
    this.revision = listing.revision;
    this.isUnavailable = false;
    this.backoffMs = INITIAL_BACKOFF_MS;
    const hasNews = listing.items.length > 0 || listing.removed.length > 0;
    if (isFirst || hasNews) {
      const kind = isFirst ? 'listed' : 'changed';
      this.events.next({kind, listing});
    }
    // A watch without changes was answered only at the end of its wait.
    const waitedMs = isFirst || hasNews ? 0 : this.currentWaitMs;
    const since = Math.min(askedAt + waitedMs, performance.now());
    this.events.next({kind: 'contact', since});
    return hasNews;
  }

  /** Lists again after the pause, since a watch may have missed changes. */
  private async backOff(error: PlatformError): Promise<void> {
    this.revision = undefined;
    if (!this.isUnavailable) {
      this.isUnavailable = true;
      this.events.next({kind: 'lost', error});
    }
    await pause(this.backoffMs);
    this.backoffMs = Math.min(this.backoffMs * 2, MAX_BACKOFF_MS);
  }
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
