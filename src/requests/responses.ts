/** Response headers and refusals shared by sidecars and entries. */
import type * as http from 'node:http';
import * as body from '../http/body';
import * as targets from '../targets/types';
import * as refusals from './refusals';
import type {IncomingRequest, SidecarContext} from './sidecar-context';

const LEAVING_RETRY_MS = 1_000;
const SLOW_BODY_RETRY_MS = 1_000;

/** Headers that a sidecar adds to every response that is not a refusal. */
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

/** Relays a target's response to the entry. */
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

/** Sends a sidecar's refusal as the final response. */
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
  const reservedTargetId = hasReservation(refusal)
    ? context.targetId
    : undefined;
  refusals.sendRefusal(
    incoming.res,
    {...refusal, reservedTargetId},
    incoming.id,
  );
}

/** Whether the admission has reserved a time for the caller's retry. */
function hasReservation(refusal: refusals.Refusal): boolean {
  return (
    refusal.kind === 'overloaded' || refusal.kind === 'deadline-unreachable'
  );
}

export function leavingRefusal(): refusals.Refusal {
  return refusals.notRun('leaving', 'the target is leaving', LEAVING_RETRY_MS);
}

/** The refusal for a body that could not be read. */
export function bodyRefusal(err: body.BodyError): refusals.Refusal {
  switch (err.kind) {
    case 'body-too-large':
      return refusals.notRun(
        'body-too-large',
        `the limit is ${err.limitBytes} bytes`,
      );
    case 'body-too-slow':
      return refusals.notRun(
        'request-timeout',
        'the memory for bodies is used up',
        SLOW_BODY_RETRY_MS,
      );
    case 'body-cut':
      return refusals.notRun('bad-request', 'the body ended early');
    case 'bad-json':
      return refusals.notRun('bad-request', err.detail);
  }
}

/** The headers of a target's response that are relayed to the caller. */
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

export function isEventStream(res: http.IncomingMessage): boolean {
  const type = res.headers['content-type'] ?? '';
  return type.startsWith('text/event-stream');
}
