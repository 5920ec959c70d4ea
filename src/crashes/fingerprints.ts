/**
 * Identifies what may make requests crash targets: the whole request, or one of the
 * parts of its prompt that other requests share. Pure.
 */
import * as crypto from 'node:crypto';

/** Further parts are ignored. */
const MAX_PARTS = 32;
/** Longer ids are replaced by their digest. */
const MAX_ID_LENGTH = 32;
/** Separates fields; no service has it in its name. */
const SEPARATOR = ' ';

/** Of the shared parts of a prompt, in order. */
export function ofParts(
  service: string,
  sharedParts: readonly string[],
): readonly string[] {
  const parts = new Set(sharedParts.filter(id => id !== ''));
  return [...parts]
    .slice(0, MAX_PARTS)
    .map(id => fingerprint(service, 'part', id));
}

/** Of a whole request, by its digest. */
export function ofRequest(service: string, digest: string): string {
  return fingerprint(service, 'request', digest);
}

export function serviceOf(fingerprint: string): string {
  return fingerprint.split(SEPARATOR, 1)[0]!;
}

function fingerprint(
  service: string,
  kind: 'part' | 'request',
  id: string,
): string {
  const short = id.length <= MAX_ID_LENGTH ? id : digestOf(id);
  return [service, kind, short].join(SEPARATOR);
}

function digestOf(id: string): string {
  const digest = crypto.createHash('sha256').update(id).digest('base64url');
  return digest.slice(0, MAX_ID_LENGTH);
}
