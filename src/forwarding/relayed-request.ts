/** A request on its way to targets. */
import * as crypto from 'node:crypto';
import type {ClientAccount, Route} from '../routes/types';
import type {RequestHead} from './types';

/** A request that may be sent to targets. */
export interface RelayedRequest {
  readonly head: RequestHead;
  readonly body: Buffer | undefined;
  readonly route: Route;
  readonly service: string;
  readonly account: ClientAccount | undefined;
}

/** Characters of a digest that are kept: 96 bits. */
const DIGEST_LENGTH = 16;
/** A body is read once for it, however often the request is sent. */
const digests = new WeakMap<RelayedRequest, string>();

/**
 * What makes two requests the same one: the digest of method, host, path, caller's
 * key and body.
 */
export function digestOf(request: RelayedRequest): string {
  let digest = digests.get(request);
  if (digest === undefined) {
    digest = makeDigest(request);
    digests.set(request, digest);
  }
  return digest;
}

function makeDigest({head, body}: RelayedRequest): string {
  const {method, host, path, key} = head;
  const hash = crypto.createHash('sha256');
  hash.update(JSON.stringify([method, host, path, key ?? '']));
  if (body !== undefined) {
    hash.update(body);
  }
  return hash.digest('base64url').slice(0, DIGEST_LENGTH);
}

/** 0 is the most urgent. */
export function priorityOf({route, account}: RelayedRequest): number {
  return account?.priority ?? route.priority;
}
