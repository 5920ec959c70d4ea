/** Dependencies and helpers shared by the parts of an entry's data path. */
import type * as http from 'node:http';
import type {OwnerDirectory} from '../claims/owner-directory';
import type {Follower} from '../configuration/follower';
import type {RenderedAccount} from '../configuration/types';
import * as body from '../http/body';
import type {HeldBytes} from '../http/held-bytes';
import type {Log} from '../observability/log';
import type {Metrics} from '../observability/metrics';
import type {RetryBudget} from '../routing/retry-budget';
import type {PrefixIndex} from '../routing/prefix-index';
import type {Policy} from '../routing/types';
import type {RpcClient} from '../rpc/client';
import * as rpcTypes from '../rpc/types';
import type {Target, TargetDirectory} from '../targets/directory';
import * as targets from '../targets/types';
import {contentHeaders} from './responses';
import * as headers from './headers';
import type {Journal, JournalEntry} from './journal';
import * as refusals from './refusals';

export interface EntryContext {
  readonly id: string;
  readonly hall: string;
  readonly address: () => string;
  readonly follower: Follower;
  readonly targets: TargetDirectory;
  readonly owners: OwnerDirectory;
  readonly policy: Policy;
  readonly prefixes: PrefixIndex;
  readonly budget: RetryBudget;
  readonly rpc: RpcClient;
  readonly agent: http.Agent;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly journal: Journal;
  /** Counts the bodies of callers. */
  readonly held: HeldBytes;
}

/** An authenticated request of a caller. */
export interface CallerRequest {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  readonly id: string;
  readonly account: RenderedAccount;
  readonly startedAt: number;
  /** Unix milliseconds. */
  readonly deadlineAt: number;
  readonly journalEntry: JournalEntry;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Milliseconds left until the caller's deadline. */
export function remainingMs(caller: CallerRequest): number {
  return Math.max(caller.deadlineAt - Date.now(), 0);
}

/** Headers of a request to a sidecar. */
export function forwardHeaders(
  context: EntryContext,
  caller: CallerRequest,
): http.OutgoingHttpHeaders {
  const type = body.headerOf(caller.req, 'content-type');
  const returnTo = body.headerOf(caller.req, headers.RETURN_HEADER);
  return {
    [refusals.REQUEST_HEADER]: caller.id,
    [headers.ACCOUNT_HEADER]: caller.account.id,
    [headers.TIMEOUT_HEADER]: String(Math.floor(remainingMs(caller))),
    [rpcTypes.STAMP_HEADER]: context.follower.stampExchange.ownStamp(),
    [rpcTypes.PEER_HEADER]: context.address(),
    ...(type === undefined ? {} : {'content-type': type}),
    ...(returnTo === undefined ? {} : {[headers.RETURN_HEADER]: returnTo}),
  };
}

/** Applies the configuration stamp and the load from a sidecar's headers. */
export function applyResponseHeaders(
  context: EntryContext,
  target: Target | undefined,
  address: string,
  res: http.IncomingMessage,
): void {
  const stamp = body.headerOf(res, rpcTypes.STAMP_HEADER);
  if (stamp !== undefined) {
    void context.follower.catchUp(stamp, address);
  }
  const text = body.headerOf(res, targets.LOAD_HEADER);
  const load = text === undefined ? undefined : targets.decodeLoad(text);
  if (target !== undefined && load !== undefined) {
    context.targets.applyLoad(target, load, Date.now());
  }
}

/** The refusal in a sidecar's response; undefined if it is not a refusal. */
export async function readRefusal(
  res: http.IncomingMessage,
): Promise<refusals.Refusal | undefined> {
  const kind = body.headerOf(res, refusals.REFUSAL_HEADER);
  if (kind === undefined || !(kind in refusals.REFUSALS)) {
    return undefined;
  }
  const maxBytes = 64 * 1024;
  const read = await body.readJson(res, maxBytes);
  const document = (read.ok ? read.value : {}) as {
    detail?: unknown;
    retryAfterMs?: unknown;
  };
  const outcome = body.headerOf(res, refusals.OUTCOME_HEADER);
  const reservedTargetId = body.headerOf(res, headers.RETURN_HEADER);
  return {
    reservedTargetId,
    kind: kind as refusals.RefusalKind,
    outcome: outcome === 'not-run' || outcome === 'ran' ? outcome : 'unknown',
    detail: typeof document.detail === 'string' ? document.detail : '',
    retryAfterMs:
      typeof document.retryAfterMs === 'number'
        ? document.retryAfterMs
        : undefined,
  };
}

/** Sends a refusal as the final response, and logs and counts it. */
export function refuseCaller(
  context: EntryContext,
  caller: CallerRequest,
  refusal: refusals.Refusal,
): void {
  caller.journalEntry.outcome = `${refusal.kind} (${refusal.outcome})`;
  caller.journalEntry.detail = refusal.detail;
  context.metrics.countRefusal(caller.account.id, refusal.kind);
  context.log.event('requestRefused', {
    request: caller.id,
    account: caller.account.id,
    kind: refusal.kind,
    outcome: refusal.outcome,
  });
  refusals.sendRefusal(caller.res, refusal, caller.id);
}

/** Relays a sidecar's response to the caller. */
export async function relayResponse(
  context: EntryContext,
  caller: CallerRequest,
  sent: http.IncomingMessage,
  kind: 'assistant' | 'service',
): Promise<void> {
  const replayed = sent.headers[headers.REPLAYED_HEADER];
  caller.res.writeHead(sent.statusCode ?? 502, {
    ...contentHeaders(sent),
    ...(replayed === undefined ? {} : {[headers.REPLAYED_HEADER]: replayed}),
    [refusals.REQUEST_HEADER]: caller.id,
    [refusals.OUTCOME_HEADER]: 'ran',
  });
  const isWhole = await body.forwardBody(sent, caller.res);
  const end = isWhole ? 'done' : 'cut';
  caller.journalEntry.outcome = end;
  context.metrics.count('answers_total', {kind, end});
  const totalMs = Date.now() - caller.startedAt;
  context.metrics.recordDuration('whole', caller.account.id, kind, totalMs);
}
