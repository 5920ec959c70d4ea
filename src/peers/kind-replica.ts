/**
 * What the store has told of one kind of objects, by whichever way it came:
 * by this process's own watch or by a peer's. Newer revisions go before older
 * ones, so the order in which both are heard doesn't matter.
 *
 * Objects that say themselves which one is newer are held by that: a store that
 * came back from an older copy may list an older one until it is written again,
 * and who starts in between hears of the newer one from here.
 */
import * as murmurhash from 'murmurhash';
import type * as objects from '../platform/types';
import type {WatchEvent} from '../platform/watch-loop';
import type {KindDigest, KindUpdate} from './types';

/** Digests are kept within 32 bits. */
const DIGEST_RANGE = 2 ** 32;

export class KindReplica {
  private readonly items = new Map<string, objects.StoredObject>();
  private revision: number | undefined;
  private confirmedAt = -Infinity;
  /** Of the items; undefined since they changed. */
  private digest: number | undefined;

  /** `orderOf`: which of two objects of a key is newer, where they say so. */
  constructor(
    readonly kind: string,
    private readonly versionIn: (
      object: objects.StoredObject,
    ) => number | undefined = () => undefined,
  ) {}

  /** What this process tells a peer that it holds. */
  get currentDigest(): KindDigest {
    this.digest ??= digestOf(this.items.values());
    return {kind: this.kind, digest: this.digest};
  }

  /** Takes what the own watch says. False where a peer had told newer. */
  applyWatchEvent(event: WatchEvent): boolean {
    switch (event.kind) {
      case 'lost':
        return true;
      case 'contact':
        this.confirmedAt = Math.max(this.confirmedAt, event.since);
        return true;
      case 'listed':
      case 'changed':
        return this.applyListing(event.kind, event.listing);
    }
  }

  /** This instance was suspended: the last word is older by so much. */
  age(lostMs: number): void {
    this.confirmedAt -= lostMs;
  }

  /** What a peer that holds this should hear; undefined: nothing is known. */
  updateFor(
    asked: KindDigest | undefined,
    isSettling: boolean,
    now: number,
  ): KindUpdate | undefined {
    const {kind, revision} = this;
    if (revision === undefined || this.confirmedAt === -Infinity) {
      return undefined;
    }
    const ageMs = Math.max(now - this.confirmedAt, 0);
    const isSame = asked?.digest === this.currentDigest.digest;
    const items = isSame ? undefined : [...this.items.values()];
    return {kind, revision, ageMs, isSettling, items};
  }

  /**
   * Takes what a peer was asked for at `askedAt`: the events that an own watch
   * would have brought. Its age is counted from the question, since the answer
   * may have been on its way for as long as anybody was frozen.
   */
  applyPeerUpdate(news: KindUpdate, askedAt: number): WatchEvent[] {
    if (news.revision < (this.revision ?? 0)) {
      return this.applyNewer(news.items ?? []);
    }
    const events: WatchEvent[] = [];
    const {revision, items} = news;
    if (items !== undefined) {
      const listing = {revision, items, removed: []};
      this.applyListing('listed', listing);
      events.push({kind: 'listed', listing});
    }
    if (this.revision !== undefined) {
      this.revision = revision;
      const since = askedAt - news.ageMs;
      this.confirmedAt = Math.max(this.confirmedAt, since);
      events.push({kind: 'contact', since});
    }
    return events;
  }

  /** Objects of an older revision that say that they are newer all the same. */
  private applyNewer(items: readonly objects.StoredObject[]): WatchEvent[] {
    const newer = items.filter(item =>
      this.isNewer(item, this.items.get(item.key)),
    );
    if (newer.length === 0) {
      return [];
    }
    newer.forEach(item => this.items.set(item.key, item));
    this.digest = undefined;
    const listing = {revision: this.revision!, items: newer, removed: []};
    return [{kind: 'changed', listing}];
  }

  /** True where an object says that it is newer than another one. */
  private isNewer(
    one: objects.StoredObject | undefined,
    other: objects.StoredObject | undefined,
  ): boolean {
    const order = one && this.versionIn(one);
    const otherOrder = other && this.versionIn(other);
    return (
      order !== undefined && otherOrder !== undefined && order > otherOrder
    );
  }

  private applyListing(
    kind: 'listed' | 'changed',
    listing: objects.Listing,
  ): boolean {
    if (listing.revision < (this.revision ?? 0)) {
      return false;
    }
    const items = listing.items.map(item => {
      const held = this.items.get(item.key);
      return this.isNewer(held, item) ? held! : item;
    });
    if (kind === 'listed') {
      this.items.clear();
    }
    listing.removed.forEach(key => this.items.delete(key));
    items.forEach(item => this.items.set(item.key, item));
    this.revision = listing.revision;
    this.digest = undefined;
    return true;
  }
}

function digestOf(items: Iterable<objects.StoredObject>): number {
  let digest = 0;
  for (const {key, version} of items) {
    digest = (digest + murmurhash.v3(`${key}@${version}`)) % DIGEST_RANGE;
  }
  return digest;
}
