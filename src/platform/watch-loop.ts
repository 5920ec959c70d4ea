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
      const isFirst = this.revision === undefined;
      const answer = await this.request();
      if (this.stop.signal.aborted) {
        return;
      }
      if (this.watch.signal.aborted) {
        // `restart` was called meanwhile, so this answer doesn't count.
        this.revision = undefined;
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

  /** Aborts the current watch, which may never be answered, and lists again. */
  restart(): void {
    this.watch.abort();
  }

  close(): void {
    this.stop.abort();
    this.watch.abort();
    this.events.complete();
  }

  private request() {
    const prefix = `${this.kind}/`;
    this.watch = new AbortController();
    this.currentWaitMs = this.waitMs();
    return this.revision === undefined
      ? this.store.list(prefix)
      : this.store.watch(
          prefix,
          this.revision,
          this.currentWaitMs,
          this.watch.signal,
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
