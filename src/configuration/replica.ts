/**
 * A process's copy of the configuration.
 *
 * Every object carries the store's version, and only a greater version
 * replaces it, so copies can be merged in any order and never revert.
 * `complete` is the version up to which nothing is missing; a change that an
 * operator pushed straight to this process may lie above it as an extra.
 */
import * as murmurhash from 'murmurhash';
import {BehaviorSubject, Observable} from 'rxjs';
import * as v from 'valibot';
import type {Listing, StoredObject} from '../platform/types';
import * as render from './render';
import * as types from './types';

/** The three numbers by which two copies are compared. */
export interface Stamp {
  readonly complete: number;
  readonly highest: number;
  /** Digest of the versions held beyond `complete`; 0: none. */
  readonly extras: number;
}

/** What a copy gives to one that is behind it. */
export interface Delta {
  readonly complete: number;
  readonly items: StoredObject[];
}

/** Reports an object that does not parse; the former one stays in force. */
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

  /** Emits whenever the copy has changed. */
  get changes(): Observable<Stamp> {
    return this.stampSubject.asObservable();
  }

  get stamp(): Stamp {
    return this.stampSubject.value;
  }

  /** False until a listing or a peer's whole copy has been merged. */
  get ready(): boolean {
    return this.isFilled;
  }

  /** Merges all objects as of a store revision. */
  mergeListing(listing: Listing): void {
    const newest = Math.max(0, ...listing.items.map(item => item.version));
    this.isFilled = true;
    this.merge(listing.items, newest);
  }

  /** Merges what a peer holds beyond this copy's `complete`. */
  mergeDelta(delta: Delta): void {
    // A peer that holds nothing yet is no proof that there is nothing.
    this.isFilled ||= delta.complete > 0;
    this.merge(delta.items, delta.complete);
  }

  /** Merges one accepted change that may lie ahead of this copy. */
  mergePushed(item: StoredObject): void {
    this.merge([item], this.stamp.complete);
  }

  /** Everything newer than a version. */
  since(version: number): Delta {
    const items = [...this.objects.values()].filter(
      item => item.version > version,
    );
    return {complete: this.stamp.complete, items};
  }

  template(name: string): types.Template | undefined {
    return this.templates.get(name);
  }

  /** All templates in force. */
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

  /** The plain service of any template, by name. */
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
      this.onRejected(item.key, parsed.issues[0]?.message ?? 'wrong shape');
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

/** Sums of versions would often be equal; sums of these are not. */
function hashVersion(version: number): number {
  return murmurhash.v3(String(version)) % DIGEST_RANGE;
}

/** `complete.highest.extras`, as it travels in a header. */
export function formatStamp(stamp: Stamp): string {
  return `${stamp.complete}.${stamp.highest}.${stamp.extras}`;
}

/** Undefined where the text is no stamp. */
export function parseStamp(text: string): Stamp | undefined {
  if (!/^\d{1,15}\.\d{1,15}\.\d{1,15}$/.test(text)) {
    return undefined;
  }
  const [complete, highest, extras] = text.split('.').map(Number);
  return {complete: complete!, highest: highest!, extras: extras!};
}

/** Whether a copy with stamp `mine` may lack something that `theirs` has. */
export function isBehind(mine: Stamp, theirs: Stamp): boolean {
  if (theirs.complete > mine.complete || theirs.highest > mine.highest) {
    return true;
  }
  return theirs.complete === mine.complete && theirs.extras !== mine.extras;
}
