/** A request that is relayed to targets, and its identity. */
import * as crypto from 'node:crypto';
import {rankFrom} from '../admission/rank';
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

/** Identifies equal requests, by method, host, path, caller's key and body. */
export function digestOf({head, body}: RelayedRequest): string {
  const {method, host, path, key} = head;
  const hash = crypto.createHash('sha256');
  hash.update(JSON.stringify([method, host, path, key ?? '']));
  if (body !== undefined) {
    hash.update(body);
  }
  return hash.digest('base64url').slice(0, DIGEST_LENGTH);
}

/** Source: the platform's description of an engine's queue. */
const LOWEST_ENGINE_PRIORITY = 9;
/** Engine priorities for each effective priority, by that of the route. */
const ENGINE_PRIORITIES_EACH = 3;

/** The effective priority: the account's, else the route's; 0 is the highest. */
export function priorityOf({route, account}: RelayedRequest): number {
  return account?.priority ?? route.priority;
}

/** Otherwise all routes would be equal for an account with a priority. */
export function rankOf(request: RelayedRequest): number {
  return rankFrom(priorityOf(request), request.route.priority);
}

/** What an engine is told; it keeps the order of ranks as far as it has room. */
export function enginePriorityOf(request: RelayedRequest): number {
  const own = Math.min(request.route.priority, ENGINE_PRIORITIES_EACH - 1);
  const effective = Math.floor(priorityOf(request));
  return Math.min(
    effective * ENGINE_PRIORITIES_EACH + Math.floor(own),
    LOWEST_ENGINE_PRIORITY,
  );
}
