/** What sidecars and entries share in answering: heads, refusals. */
import type * as http from 'node:http';
import * as body from '../http/body';
import * as targets from '../targets/types';
import * as refusals from './refusals';
import type {IncomingRequest, SidecarContext} from './sidecar-context';

const LEAVING_RETRY_MS = 1_000;

/** Headers of every answer of a sidecar that is no refusal. */
export function sidecarHeaders(
  context: SidecarContext,
  incoming: IncomingRequest,
): http.OutgoingHttpHeaders {
  return {
    [refusals.REQUEST_HEADER]: incoming.id,
    [refusals.OUTCOME_HEADER]: 'ran',
    [targets.LOAD_HEADER]: targets.encodeLoad(context.load()),
  };
}

/** Passes a target's answer on through its sidecar. */
export async function relayResponse(
  context: SidecarContext,
  incoming: IncomingRequest,
  sent: http.IncomingMessage,
): Promise<void> {
  incoming.res.writeHead(sent.statusCode ?? 502, {
    ...contentHeaders(sent),
    ...sidecarHeaders(context, incoming),
  });
  await body.forwardBody(sent, incoming.res);
}

/** A sidecar's refusal, as the final answer. */
export function refuse(
  context: SidecarContext,
  incoming: IncomingRequest,
  refusal: refusals.Refusal,
): void {
  const load = targets.encodeLoad(context.load());
  if (!incoming.res.headersSent) {
    incoming.res.setHeader(targets.LOAD_HEADER, load);
  }
  context.metrics.countRefusal(incoming.account, refusal.kind);
  const returnTo = hasReservation(refusal) ? context.targetId : undefined;
  refusals.sendRefusal(
    incoming.res,
    {...refusal, reservedTargetId: returnTo},
    incoming.id,
  );
}

/** Whether the admission keeps a place for the caller's return. */
function hasReservation(refusal: refusals.Refusal): boolean {
  return (
    refusal.kind === 'overloaded' || refusal.kind === 'deadline-unreachable'
  );
}

/** The refusal of new work by a target that leaves. */
export function leavingRefusal(): refusals.Refusal {
  return refusals.notRun('leaving', 'the target is leaving', LEAVING_RETRY_MS);
}

/** The refusal for a body that was not read. */
export function bodyRefusal(err: body.BodyError): refusals.Refusal {
  switch (err.kind) {
    case 'body-too-large':
      return refusals.notRun(
        'body-too-large',
        `the limit is ${err.limitBytes} bytes`,
      );
    case 'body-cut':
      return refusals.notRun('bad-request', 'the body ended early');
    case 'bad-json':
      return refusals.notRun('bad-request', err.detail);
  }
}

/** Headers of a target's answer that a caller gets. */
export function contentHeaders(
  res: http.IncomingMessage,
): http.OutgoingHttpHeaders {
  const kept: http.OutgoingHttpHeaders = {};
  for (const name of ['content-type', 'content-length', 'etag', 'location']) {
    const value = res.headers[name];
    if (value !== undefined) {
      kept[name] = value;
    }
  }
  return kept;
}

/** True for server-sent events. */
export function isEventStream(res: http.IncomingMessage): boolean {
  const type = res.headers['content-type'] ?? '';
  return type.startsWith('text/event-stream');
}
