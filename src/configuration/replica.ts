/**
 * A process's replica of the configuration.
 *
 * Every object carries the store's version and is replaced only by a greater
 * one, so replicas can be merged in any order and never revert. `complete` is
 * the version up to which nothing is missing; a change that was pushed to this
 * process directly may lie above it as an extra.
 */
import * as murmurhash from 'murmurhash';
import {BehaviorSubject, Observable} from 'rxjs';
import * as v from 'valibot';
import type {Listing, StoredObject} from '../platform/types';
import * as render from './render';
import * as types from './types';

/** Summary of a replica's versions; two replicas are compared by it. */
export interface Stamp {
  readonly complete: number;
  readonly highest: number;
  /** Digest of the versions held beyond `complete`; 0: none. */
  readonly extras: number;
}

/** The objects that a replica sends to one that is behind it. */
export interface Delta {
  readonly complete: number;
  readonly items: StoredObject[];
}

/** Called for an object that is invalid; the former one stays in use. */
export type OnRejected = (key: string, detail: string) => void;

export class Replica {
  private readonly objects = new Map<string, StoredObject>();
  private readonly templates = new Map<string, types.Template>();
  private readonly accounts = new Map<string, types.Account>();
  private readonly rendered = new Map<string, types.RenderedAccount>();
  private readonly accountIdByDigest = new Map<string, string>();
  private readonly stampSubject = new BehaviorSubject<Stamp>({
    complete: 0,
    highest: 0,
    extras: 0,
  });
  private isFilled = false;

  constructor(private readonly onRejected: OnRejected = () => undefined) {}

  /** Emits the current stamp, then each new one. */
  get changes(): Observable<Stamp> {
    return this.stampSubject.asObservable();
  }

  get stamp(): Stamp {
    return this.stampSubject.value;
  }

  /** False until a listing or a delta of a filled replica has been merged. */
  get ready(): boolean {
    return this.isFilled;
  }

  /** Merges all objects as of a store revision. */
  mergeListing(listing: Listing): void {
    const newest = Math.max(0, ...listing.items.map(item => item.version));
    this.isFilled = true;
    this.merge(listing.items, newest);
  }

  /** Merges what a peer holds beyond this replica's `complete`. */
  mergeDelta(delta: Delta): void {
    // A peer that holds nothing yet doesn't prove that the store is empty.
    this.isFilled ||= delta.complete > 0;
    this.merge(delta.items, delta.complete);
  }

  /** Merges one accepted change, which may be newer than this replica. */
  mergePushed(item: StoredObject): void {
    this.merge([item], this.stamp.complete);
  }

  /** Objects newer than a version. */
  since(version: number): Delta {
    const items = [...this.objects.values()].filter(
      item => item.version > version,
    );
    return {complete: this.stamp.complete, items};
  }

  template(name: string): types.Template | undefined {
    return this.templates.get(name);
  }

  allTemplates(): readonly types.Template[] {
    return [...this.templates.values()];
  }

  account(id: string): types.RenderedAccount | undefined {
    return this.rendered.get(id);
  }

  get accountCount(): number {
    return this.rendered.size;
  }

  /** The account whose API key has this SHA-256 digest. */
  accountByKeyDigest(digest: string): types.RenderedAccount | undefined {
    const id = this.accountIdByDigest.get(digest);
    return id === undefined ? undefined : this.rendered.get(id);
  }

  /** The service of this name in the first template that has one. */
  service(name: string): types.Service | undefined {
    for (const template of this.templates.values()) {
      const service = template.services[name];
      if (service !== undefined) {
        return service;
      }
    }
    return undefined;
  }

  close(): void {
    this.stampSubject.complete();
  }

  private merge(items: readonly StoredObject[], complete: number): void {
    let changed = complete > this.stamp.complete;
    for (const item of items) {
      changed = this.mergeObject(item) || changed;
    }
    if (changed || this.stamp.highest === 0) {
      this.updateStamp(Math.max(complete, this.stamp.complete));
    }
  }

  private mergeObject(item: StoredObject): boolean {
    const held = this.objects.get(item.key);
    if (held !== undefined && held.version >= item.version) {
      return false;
    }
    this.objects.set(item.key, item);
    const parsed = v.safeParse(types.changeSchema, item.value);
    if (parsed.success) {
      this.applyDocument(parsed.output.document);
    } else {
      this.onRejected(
        item.key,
        parsed.issues[0]?.message ?? 'does not match the schema',
      );
    }
    return true;
  }

  private applyDocument(document: types.Document): void {
    if (document.kind === 'account') {
      this.accounts.set(document.id, document);
      this.renderAccount(document);
      return;
    }
    this.templates.set(document.name, document);
    for (const account of this.accounts.values()) {
      if (account.template === document.name) {
        this.renderAccount(account);
      }
    }
  }

  private renderAccount(account: types.Account): void {
    const template = this.templates.get(account.template);
    const result = render.renderAccount(account, template);
    if (!result.ok) {
      if (result.error.kind !== 'unknown-template') {
        this.onRejected(types.accountKey(account.id), result.error.kind);
      }
      return;
    }
    const former = this.rendered.get(account.id);
    for (const digest of former?.keyDigests ?? []) {
      this.accountIdByDigest.delete(digest);
    }
    for (const digest of account.keyDigests) {
      this.accountIdByDigest.set(digest, account.id);
    }
    this.rendered.set(account.id, result.value);
  }

  private updateStamp(complete: number): void {
    let highest = complete;
    let extras = 0;
    for (const item of this.objects.values()) {
      highest = Math.max(highest, item.version);
      if (item.version > complete) {
        extras = (extras + hashVersion(item.version)) % DIGEST_RANGE;
      }
    }
    this.stampSubject.next({complete, highest, extras});
  }
}

const DIGEST_RANGE = 2 ** 31 - 1;

/** Hashed, since different sets of versions often have equal sums. */
function hashVersion(version: number): number {
  return murmurhash.v3(String(version)) % DIGEST_RANGE;
}

/** `complete.highest.extras`, as sent in a header. */
export function formatStamp(stamp: Stamp): string {
  return `${stamp.complete}.${stamp.highest}.${stamp.extras}`;
}

/** Returns undefined if the text is no stamp. */
export function parseStamp(text: string): Stamp | undefined {
  if (!/^\d{1,15}\.\d{1,15}\.\d{1,15}$/.test(text)) {
    return undefined;
  }
  const [complete, highest, extras] = text.split('.').map(Number);
  return {complete: complete!, highest: highest!, extras: extras!};
}

/** True if a replica with stamp `mine` may lack something that `theirs` has. */
export function isBehind(mine: Stamp, theirs: Stamp): boolean {
  if (theirs.complete > mine.complete || theirs.highest > mine.highest) {
    return true;
  }
  return theirs.complete === mine.complete && theirs.extras !== mine.extras;
}
