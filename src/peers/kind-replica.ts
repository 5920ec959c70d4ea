/**
 * This process's replica of one kind of store objects, updated by its own watch
 * and by peers. Updates of an older revision than the replica's are ignored, so
 * their order doesn't matter.
 *
 * Objects whose values carry a version are compared by that first: a store that
 * was restored from an older copy may list an older object until it is written
 * again.
 */
import * as murmurhash from 'murmurhash';
import type * as objects from '../platform/types';
import type {WatchEvent} from '../platform/watch-loop';
import type {KindDigest, KindUpdate} from './types';

const DIGEST_RANGE = 2 ** 32;

export class KindReplica {
  private readonly items = new Map<string, objects.StoredObject>();
  private revision: number | undefined;
  private confirmedAt = -Infinity;
  /** Digest of the items; undefined if they have changed since. */
  private digest: number | undefined;

  /** `versionIn`: the version that an object's value carries, if any. */
  constructor(
    readonly kind: string,
    private readonly versionIn: (
      object: objects.StoredObject,
    ) => number | undefined = () => undefined,
  ) {}

  get currentDigest(): KindDigest {
    this.digest ??= digestOf(this.items.values());
    return {kind: this.kind, digest: this.digest};
  }

  /** Applies an event of the own watch. False if a peer has sent a newer one. */
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

  /** Makes the last confirmation older by the time of a suspension. */
  age(suspendedMs: number): void {
    this.confirmedAt -= suspendedMs;
  }

  /** The update for a peer with this digest; undefined before any contact. */
  updateFor(
    held: KindDigest | undefined,
    isSettling: boolean,
    now: number,
  ): KindUpdate | undefined {
    const {kind, revision} = this;
    if (revision === undefined || this.confirmedAt === -Infinity) {
      return undefined;
    }
    const ageMs = Math.max(now - this.confirmedAt, 0);
    const isSame = held?.digest === this.currentDigest.digest;
    const items = isSame ? undefined : [...this.items.values()];
    return {kind, revision, ageMs, isSettling, items};
  }

  /**
   * Applies a peer's update and returns the events that an own watch would have
   * given. Its age counts from `askedAt`, when the peer was asked, since either
   * process may have been suspended before the answer arrived.
   */
  applyPeerUpdate(update: KindUpdate, askedAt: number): WatchEvent[] {
    if (update.revision < (this.revision ?? 0)) {
      return this.applyNewer(update.items ?? []);
    }
    const events: WatchEvent[] = [];
    const {revision, items} = update;
    if (items !== undefined) {
      const listing = {revision, items, removed: []};
      this.applyListing('listed', listing);
      events.push({kind: 'listed', listing});
    }
    if (this.revision !== undefined) {
      this.revision = revision;
      const since = askedAt - update.ageMs;
      this.confirmedAt = Math.max(this.confirmedAt, since);
      events.push({kind: 'contact', since});
    }
    return events;
  }

  /** Applies objects of an older revision whose own version is newer. */
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

  /** True if both objects carry a version and the first one's is greater. */
  private isNewer(
    one: objects.StoredObject | undefined,
    other: objects.StoredObject | undefined,
  ): boolean {
    const version = one && this.versionIn(one);
    const otherVersion = other && this.versionIn(other);
    return (
      version !== undefined &&
      otherVersion !== undefined &&
      version > otherVersion
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
