/**
 * Operators' edits of configuration documents: conditional writes that carry a
 * change id, by which a write whose answer was lost is recognised.
 */
import {randomUUID} from 'node:crypto';
import * as v from 'valibot';
import type {ObjectApi} from '../platform/client';
import type {PlatformError, StoredObject} from '../platform/types';
import {Result, fail, ok} from '../result';
import * as render from './render';
import * as types from './types';

/** Why an edit was not accepted, or may not have been. */
export type EditError =
  | PlatformError
  /** Somebody else changed the document; nothing was overwritten. */
  | {
      readonly kind: 'edit-conflict';
      readonly base: number;
      readonly theirs: types.Change | null;
      readonly theirVersion: number;
      readonly ours: types.Document;
    }
  | {readonly kind: 'immutable'; readonly path: string}
  | {readonly kind: 'unsound'; readonly error: render.RenderError}
  /** The store did not answer: the edit may have been accepted. */
  | {readonly kind: 'outcome-unknown'; readonly changeId: string};

export interface AcceptedEdit {
  readonly changeId: string;
  readonly object: StoredObject;
}

const MAX_WRITE_RETRIES = 20;
const WRITE_RETRY_INTERVAL_MS = 500;

/** Reads a document with its version; null if there is none. */
export async function readChange(
  store: ObjectApi,
  key: string,
): Promise<Result<{version: number; change: types.Change} | null, EditError>> {
  const read = await store.get(key);
  if (!read.ok) {
    return read;
  }
  if (read.value === null) {
    return ok(null);
  }
  const parsed = v.safeParse(types.changeSchema, read.value.value);
  return parsed.success
    ? ok({version: read.value.version, change: parsed.output})
    : fail({kind: 'bad-answer', detail: parsed.issues[0].message});
}

export interface HistoryEntry {
  readonly changeId: string;
  readonly author: string;
  readonly at: string;
}

/** The latest changes of a document, newest first. */
export async function readHistory(
  store: ObjectApi,
  key: string,
): Promise<Result<HistoryEntry[], EditError>> {
  const read = await readChange(store, key);
  if (!read.ok) {
    return read;
  }
  if (read.value === null) {
    return ok([]);
  }
  const {changeId, author, at, former} = read.value.change;
  return ok([{changeId, author, at}, ...former]);
}

/**
 * Writes a document over version `base`, which it was made from (0: a new one).
 * Succeeds only if the conditional write took effect.
 */
export async function applyDocument(
  store: ObjectApi,
  document: types.Document,
  base: number,
  author: string,
): Promise<Result<AcceptedEdit, EditError>> {
  const key = types.keyOf(document);
  const valid = await validateAgainstStore(store, document, base);
  if (!valid.ok) {
    return valid;
  }
  const former = await readHistory(store, key);
  if (!former.ok) {
    return former;
  }
  const value: types.Change = {
    changeId: randomUUID(),
    author,
    at: new Date().toISOString(),
    document,
    former: former.value.slice(0, types.MAX_HISTORY_CHANGES),
  };
  const {changeId} = value;
  const written = await store.put(key, value, base);
  if (written.ok) {
    const object = {key, version: written.value, value};
    return ok({changeId, object});
  }
  if (written.error.kind === 'conflict') {
    return resolveConflict(written.error.current, value, base);
  }
  if (written.error.kind === 'unavailable' && written.error.maybeApplied) {
    return retryWrite(store, key, value, base);
  }
  return written;
}

/**
 * A conflict with our own change id means that an earlier attempt of the same
 * write took effect.
 */
function resolveConflict(
  current: StoredObject | null,
  ours: types.Change,
  base: number,
): Result<AcceptedEdit, EditError> {
  const parsed = v.safeParse(types.changeSchema, current?.value);
  const theirs = parsed.success ? parsed.output : null;
  if (current !== null && theirs?.changeId === ours.changeId) {
    return ok({changeId: ours.changeId, object: current});
  }
  return fail({
    kind: 'edit-conflict',
    base,
    theirs,
    theirVersion: current?.version ?? 0,
    ours: ours.document,
  });
}

/**
 * Repeats a write whose answer was lost. This is safe, since at most one attempt
 * can meet the condition; a conflict shows whether an earlier one did.
 */
async function retryWrite(
  store: ObjectApi,
  key: string,
  value: types.Change,
  base: number,
): Promise<Result<AcceptedEdit, EditError>> {
  for (let tries = 0; tries < MAX_WRITE_RETRIES; tries += 1) {
    const written = await store.put(key, value, base);
    if (written.ok) {
      const object = {key, version: written.value, value};
      return ok({changeId: value.changeId, object});
    }
    if (written.error.kind === 'conflict') {
      return resolveConflict(written.error.current, value, base);
    }
    await new Promise(resolve => setTimeout(resolve, WRITE_RETRY_INTERVAL_MS));
  }
  return fail({kind: 'outcome-unknown', changeId: value.changeId});
}

/** Checks a document against others in the store, and against its old version. */
async function validateAgainstStore(
  store: ObjectApi,
  document: types.Document,
  base: number,
): Promise<Result<void, EditError>> {
  if (document.kind === 'account') {
    return validateAccount(store, document);
  }
  if (base === 0) {
    return ok(undefined);
  }
  const before = await readChange(store, types.keyOf(document));
  if (!before.ok) {
    return before;
  }
  const old = before.value?.change.document;
  return old?.kind === 'template'
    ? validateSlotCounts(old, document)
    : ok(undefined);
}

/**
 * A service's number of slots decides which sidecar owns a key. Changing it
 * would give keys to owners that don't know whether their requests have run.
 */
function validateSlotCounts(
  old: types.Template,
  next: types.Template,
): Result<void, EditError> {
  for (const [name, service] of Object.entries(old.services)) {
    const after = next.services[name];
    if (after === undefined || after.slots !== service.slots) {
      return fail({kind: 'immutable', path: `services.${name}.slots`});
    }
  }
  return ok(undefined);
}

async function validateAccount(
  store: ObjectApi,
  account: types.Account,
): Promise<Result<void, EditError>> {
  const read = await readChange(store, types.templateKey(account.template));
  if (!read.ok) {
    return read;
  }
  const document = read.value?.change.document;
  const template = document?.kind === 'template' ? document : undefined;
  const rendered = render.renderAccount(account, template);
  return rendered.ok
    ? ok(undefined)
    : fail({kind: 'unsound', error: rendered.error});
}
