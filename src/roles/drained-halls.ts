/**
 * Tracks the halls that operators have drained with objects in the store, as the
 * store or peers report them. A hall missing from a store that was restored from an
 * older copy stays drained for a while, since its object is written again.
 */
import type {Log} from '../observability/log';
import {KindReplica} from '../peers/kind-replica';
import type {KindUpdate} from '../peers/types';
import * as revisions from '../platform/revisions';
import * as objects from '../platform/types';
import type {WatchEvent} from '../platform/watch-loop';

const ROLLBACK_RETENTION_MS = 4_000;

export class DrainedHalls {
  readonly replica: KindReplica;
  /** All drained halls. */
  private halls: ReadonlySet<string> = new Set();
  /** Those in the store's latest listing. */
  private listed: ReadonlySet<string> = new Set();
  /** Those from before the last rollback of the store, for a while. */
  private retained: ReadonlySet<string> = new Set();
  private retainedTimer: NodeJS.Timeout | undefined;
  /** Era of the last update. */
  private era = 0;

  /** `apply` is called with all drained halls after each update. */
  constructor(
    kind: string,
    private readonly apply: (halls: ReadonlySet<string>) => void,
    private readonly log: Log,
  ) {
    this.replica = new KindReplica(kind);
  }

  applyWatchEvent(event: WatchEvent): void {
    if (this.replica.applyWatchEvent(event)) {
      this.applyEvent(event);
    }
  }

  /** `askedAt`: when the peer was asked, by the monotonic clock. */
  applyPeerUpdate(update: KindUpdate, askedAt: number): void {
    this.replica
      .applyPeerUpdate(update, askedAt)
      .forEach(event => this.applyEvent(event));
  }

  close(): void {
    clearTimeout(this.retainedTimer);
  }

  private applyEvent(event: WatchEvent): void {
    if (event.kind !== 'listed' && event.kind !== 'changed') {
      return;
    }
    const {items, removed, revision} = event.listing;
    const listed = new Set(event.kind === 'listed' ? [] : this.listed);
    items.forEach(({key}) => listed.add(objects.nameOf(key)));
    removed.forEach(key => listed.delete(objects.nameOf(key)));
    this.listed = listed;
    const era = revisions.eraOf(revision);
    if (era > this.era && this.halls.size > 0) {
      this.retained = this.halls;
      clearTimeout(this.retainedTimer);
      this.retainedTimer = setTimeout(
        () => this.dropRetained(),
        ROLLBACK_RETENTION_MS,
      );
      this.retainedTimer.unref();
    }
    this.era = era;
    this.update();
  }

  private dropRetained(): void {
    this.retained = new Set();
    this.update();
  }

  private update(): void {
    const before = this.halls;
    this.halls = new Set([...this.listed, ...this.retained]);
    this.apply(this.halls);
    [...this.halls]
      .filter(hall => !before.has(hall))
      .forEach(hall => this.log.event('hallEmptied', {hall}));
    [...before]
      .filter(hall => !this.halls.has(hall))
      .forEach(hall => this.log.event('hallTakenBack', {hall}));
  }
}
