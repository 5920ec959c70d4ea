/**
 * Follows all objects of one kind: lists them, then waits for changes. A
 * history that is gone is listed anew; an outage is waited out.
 */
import {Subject} from 'rxjs';
import type {ObjectApi} from './client';
import type {Listing, PlatformError} from './types';

/** First pause after a failed call, and the longest, in milliseconds. */
const FIRST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 500;

/** What the loop has learnt. */
export type WatchEvent =
  /** All objects, whatever was known before. */
  | {readonly kind: 'listed'; readonly listing: Listing}
  | {readonly kind: 'changed'; readonly listing: Listing}
  /**
   * The store has answered; `since` is when it was asked, in milliseconds of
   * the monotonic clock. Comes after what the answer held.
   */
  | {readonly kind: 'contact'; readonly since: number}
  /** First failure after an answer. */
  | {readonly kind: 'lost'; readonly error: PlatformError};

export class WatchLoop {
  readonly events = new Subject<WatchEvent>();
  private readonly stop = new AbortController();
  private revision: number | undefined;
  private isLost = false;
  private pauseMs = FIRST_PAUSE_MS;

  /** `waitMs`: how long a watch waits for a change. */
  constructor(
    private readonly store: ObjectApi,
    private readonly kind: string,
    private readonly waitMs: number,
  ) {}

  /** Runs until closed. */
  async run(): Promise<void> {
    while (!this.stop.signal.aborted) {
      const since = performance.now();
      const isFirst = this.revision === undefined;
      const answer = await this.ask();
      if (this.stop.signal.aborted) {
        return;
      }
      if (answer.ok) {
        this.take(isFirst ? 'listed' : 'changed', answer.value, since);
      } else if (answer.error.kind === 'watch-too-old') {
        this.revision = undefined;
      } else {
        await this.sitOut(answer.error);
      }
    }
  }

  close(): void {
    this.stop.abort();
    this.events.complete();
  }

  private ask() {
    const prefix = `${this.kind}/`;
    return this.revision === undefined
      ? this.store.list(prefix)
      : this.store.watch(prefix, this.revision, this.waitMs, this.stop.signal);
  }

  private take(
    kind: 'listed' | 'changed',
    listing: Listing,
    since: number,
  ): void {
    this.revision = listing.revision;
    this.isLost = false;
    this.pauseMs = FIRST_PAUSE_MS;
    if (
      kind === 'listed' ||
      listing.items.length > 0 ||
      listing.removed.length > 0
    ) {
      this.events.next({kind, listing});
    }
    this.events.next({kind: 'contact', since});
  }

  /** After an outage everything is listed anew: watches may have gaps. */
  private async sitOut(error: PlatformError): Promise<void> {
    this.revision = undefined;
    if (!this.isLost) {
      this.isLost = true;
      this.events.next({kind: 'lost', error});
    }
    await new Promise(resolve => setTimeout(resolve, this.pauseMs));
    this.pauseMs = Math.min(this.pauseMs * 2, LONGEST_PAUSE_MS);
  }
}
