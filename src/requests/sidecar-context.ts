/** What the parts of a sidecar's data path share. */
import type * as http from 'node:http';
import type {Follower} from '../configuration/follower';
import type {Log} from '../observability/log';
import type {Metrics} from '../observability/metrics';
import type * as targets from '../targets/types';
import * as httpClient from '../http/client';
import * as retryAfter from '../http/retry-after';
import type {Result} from '../result';
import type {Admission} from './admission';
import * as refusals from './refusals';

/** One sidecar and its target. */
export interface SidecarContext {
  readonly targetId: string;
  /** Address of the target's own HTTP face. */
  readonly targetAddress: string;
  readonly serves: targets.Serves;
  readonly follower: Follower;
  readonly admission: Admission;
  readonly agent: http.Agent;
  readonly log: Log;
  readonly metrics: Metrics;
  isLeaving(): boolean;
  load(): targets.Load;
}

/** A request as the entry passed it on. */
export interface IncomingRequest {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  readonly id: string;
  readonly account: string;
  readonly weight: number;
  readonly priority: number;
  /** Unix milliseconds. */
  readonly deadlineAt: number;
  /** True: the caller comes back as this target told it to. */
  readonly isReservedRetry: boolean;
}

/** Milliseconds left until the deadline. */
export function remainingMs(incoming: IncomingRequest): number {
  return Math.max(incoming.deadlineAt - Date.now(), 0);
}

/** A signal that fires when the peer goes away before the answer ended. */
export function abortOnClose(res: http.ServerResponse): AbortSignal {
  const abort = new AbortController();
  res.once('close', () => {
    if (!res.writableFinished) {
      abort.abort();
    }
  });
  return abort.signal;
}

/** What is sent to the target, but for where it is. */
export type TargetCall = Omit<httpClient.Call, 'address'>;

/**
 * Sends new work to the target. What it asks for in its answer is held by the
 * admission, which all new work passes, whatever becomes of the answer.
 */
export async function sendToTarget(
  context: SidecarContext,
  call: TargetCall,
): Promise<Result<http.IncomingMessage, httpClient.CallError>> {
  const {agent, targetAddress} = context;
  const sentAt = performance.now();
  const sent = await httpClient.send(agent, {
    ...call,
    address: targetAddress,
  });
  if (sent.ok) {
    handleRetryAfter(context, sent.value, sentAt);
  }
  return sent;
}

function handleRetryAfter(
  context: SidecarContext,
  res: http.IncomingMessage,
  sentAt: number,
): void {
  const {admission, log, metrics, targetId, serves} = context;
  const rest = readRetryAfter(res);
  if (rest.kind === 'none') {
    admission.noteAccepted(sentAt);
    return;
  }
  if (rest.kind === 'unread') {
    log.event('restUnread', {target: targetId, text: rest.text});
    return;
  }
  metrics.count('rests_asked_total', {service: serves.name});
  if (admission.startCooldown(rest.ms)) {
    const service = serves.name;
    log.event('targetResting', {target: targetId, service, restMs: rest.ms});
  }
}

function readRetryAfter(
  res: http.IncomingMessage,
): retryAfter.RetryAfterHeader {
  return retryAfter.parseRetryAfter(res.statusCode ?? 0, res.headers);
}

/**
 * The refusal of a call that may be repeated and that the target turned away,
 * asking for rest: another target may take it. Undefined where it did not.
 */
export function cooldownRefusal(
  res: http.IncomingMessage,
): refusals.Refusal | undefined {
  const rest = readRetryAfter(res);
  return rest.kind === 'rest'
    ? refusals.unknownOutcome('resting', 'the target asks for rest', rest.ms)
    : undefined;
}
