/** A request that is relayed to targets, and its identity. */
import * as crypto from 'node:crypto';
import type {ClientAccount, Route} from '../routes/types';
import type {RequestHead} from './types';

export interface RelayedRequest {
  readonly head: RequestHead;
  readonly body: Buffer | undefined;
  readonly route: Route;
  readonly service: string;
  readonly account: ClientAccount | undefined;
}

/** Characters of the base64url digest that are kept: 96 bits. */
const DIGEST_LENGTH = 16;
/** Cached, so that a body is hashed once, however often it is sent. */
const digests = new WeakMap<RelayedRequest, string>();

/** Identifies equal requests, by method, host, path, caller's key and body. */
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

/** 0 is the highest priority. */
export function priorityOf({route, account}: RelayedRequest): number {
  return account?.priority ?? route.priority;
}
