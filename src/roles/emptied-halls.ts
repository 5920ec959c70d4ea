/**
 * Halls that the operator has emptied by objects of the store, as the store or peers
 * tell them. One that an older copy of the store lacks stays empty for a while: the
 * operator writes it again.
 */
import type {Log} from '../observability/log';
import {KindCopy} from '../peers/kind-copy';
import type {KindNews} from '../peers/types';
import * as revisions from '../platform/revisions';
import * as objects from '../platform/types';
import type {WatchEvent} from '../platform/watch-loop';

/** Time in which the operator has written again, in milliseconds. */
const WRITTEN_AGAIN_MS = 4_000;

export class EmptiedHalls {
  readonly copy: KindCopy;
  /** Halls that get nothing. */
  private halls: ReadonlySet<string> = new Set();
  /** Those that the store lists. */
  private listed: ReadonlySet<string> = new Set();
  /** Those of before it came back from a copy, while they count. */
  private kept: ReadonlySet<string> = new Set();
  private keptTimer: NodeJS.Timeout | undefined;
  /** Of the store's last word. */
  private era = 0;

  /** `apply` is told which halls get nothing, each time that this changes. */
  constructor(
    kind: string,
    private readonly apply: (halls: ReadonlySet<string>) => void,
    private readonly log: Log,
  ) {
    this.copy = new KindCopy(kind);
  }

  /** Takes what the own watch says. */
  take(event: WatchEvent): void {
    if (this.copy.take(event)) {
      this.note(event);
    }
  }

  /** Takes what a peer was asked for at `askedAt`. */
  offer(news: KindNews, askedAt: number): void {
    this.copy.offer(news, askedAt).forEach(event => this.note(event));
  }

  close(): void {
    clearTimeout(this.keptTimer);
  }

  private note(event: WatchEvent): void {
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
      this.kept = this.halls;
      clearTimeout(this.keptTimer);
      this.keptTimer = setTimeout(() => this.dropKept(), WRITTEN_AGAIN_MS);
      this.keptTimer.unref();
    }
    this.era = era;
    this.update();
  }

  private dropKept(): void {
    this.kept = new Set();
    this.update();
  }

  private update(): void {
    const before = this.halls;
    this.halls = new Set([...this.listed, ...this.kept]);
    this.apply(this.halls);
    [...this.halls]
      .filter(hall => !before.has(hall))
      .forEach(hall => this.log.event('hallEmptied', {hall}));
    [...before]
      .filter(hall => !this.halls.has(hall))
      .forEach(hall => this.log.event('hallTakenBack', {hall}));
  }
}
