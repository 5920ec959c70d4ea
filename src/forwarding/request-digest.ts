/** What makes two requests the same one: what is asked, by whom, with what. */
import * as crypto from 'node:crypto';
import type {RelayedRequest} from './relay';

/** Characters of a digest that are kept: 96 bits. */
const DIGEST_LENGTH = 16;

/** The digest of a request's method, host, path, caller's key and body. */
export function digestOf({head, body}: RelayedRequest): string {
  const {method, host, path, key} = head;
  const hash = crypto.createHash('sha256');
  hash.update(JSON.stringify([method, host, path, key ?? '']));
  if (body !== undefined) {
    hash.update(body);
  }
  return hash.digest('base64url').slice(0, DIGEST_LENGTH);
}
