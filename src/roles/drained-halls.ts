/**
 * Halls that the operator has emptied by objects of the store, as the store or peers
 * tell them. One that an older copy of the store lacks stays empty for a while: the
 * operator writes it again.
 */
import type {Log} from '../observability/log';
import {KindReplica} from '../peers/kind-replica';
import type {KindUpdate} from '../peers/types';
import * as revisions from '../platform/revisions';
import * as objects from '../platform/types';
import type {WatchEvent} from '../platform/watch-loop';

/** Time in which the operator has written again, in milliseconds. */
const ROLLBACK_RETENTION_MS = 4_000;

export class DrainedHalls {
  readonly replica: KindReplica;
  /** Halls that get nothing. */
  private halls: ReadonlySet<string> = new Set();
  /** Those that the store lists. */
  private listed: ReadonlySet<string> = new Set();
  /** Those of before it came back from a copy, while they count. */
  private retained: ReadonlySet<string> = new Set();
  private retainedTimer: NodeJS.Timeout | undefined;
  /** Of the store's last word. */
  private era = 0;

  /** `apply` is told which halls get nothing, each time that this changes. */
  constructor(
    kind: string,
    private readonly apply: (halls: ReadonlySet<string>) => void,
    private readonly log: Log,
  ) {
    this.replica = new KindReplica(kind);
  }

  /** Takes what the own watch says. */
  applyWatchEvent(event: WatchEvent): void {
    if (this.replica.applyWatchEvent(event)) {
      this.applyEvent(event);
    }
  }

  /** Takes what a peer was asked for at `askedAt`. */
  applyPeerUpdate(news: KindUpdate, askedAt: number): void {
    this.replica
      .applyPeerUpdate(news, askedAt)
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
