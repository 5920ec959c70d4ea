/** Dependencies and helpers shared by the parts of a sidecar's data path. */
import type * as http from 'node:http';
import type {Follower} from '../configuration/follower';
import type {HeldBytes} from '../http/held-bytes';
import type {Log} from '../observability/log';
import type {Metrics} from '../observability/metrics';
import type * as targets from '../targets/types';
import * as httpClient from '../http/client';
import * as retryAfter from '../http/retry-after';
import type {Result} from '../result';
import type {Admission} from './admission';
import * as refusals from './refusals';

export interface SidecarContext {
  readonly targetId: string;
  /** Address of the target's own HTTP server. */
  readonly targetAddress: string;
  readonly serves: targets.Serves;
  readonly follower: Follower;
  readonly admission: Admission;
  readonly agent: http.Agent;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Counts the bodies of requests. */
  readonly held: HeldBytes;
  isLeaving(): boolean;
  load(): targets.Load;
}

/** A request received from an entry. */
export interface IncomingRequest {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  readonly id: string;
  readonly account: string;
  readonly weight: number;
  readonly priority: number;
  /** Unix milliseconds. */
  readonly deadlineAt: number;
  /** True if the caller retries at the time that this target reserved. */
  readonly isReservedRetry: boolean;
}

/** Milliseconds left until the deadline. */
export function remainingMs(incoming: IncomingRequest): number {
  return Math.max(incoming.deadlineAt - Date.now(), 0);
}

/** A signal that aborts if the peer disconnects before the response ends. */
export function abortOnClose(res: http.ServerResponse): AbortSignal {
  const abort = new AbortController();
  res.once('close', () => {
    if (!res.writableFinished) {
      abort.abort();
    }
  });
  return abort.signal;
}

/** A call to the sidecar's own target. */
export type TargetCall = Omit<httpClient.Call, 'address'>;

/**
 * Sends new work to the target. If the response asks for a cooldown
 * (Retry-After), starts it in the admission, which all new work passes.
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
  const cooldown = readRetryAfter(res);
  if (cooldown.kind === 'none') {
    admission.noteAccepted(sentAt);
    return;
  }
  if (cooldown.kind === 'unread') {
    log.event('restUnread', {target: targetId, text: cooldown.text});
    return;
  }
  metrics.count('rests_asked_total', {service: serves.name});
  if (admission.startCooldown(cooldown.ms)) {
    const service = serves.name;
    log.event('targetResting', {
      target: targetId,
      service,
      restMs: cooldown.ms,
    });
  }
}

function readRetryAfter(
  res: http.IncomingMessage,
): retryAfter.RetryAfterHeader {
  return retryAfter.parseRetryAfter(res.statusCode ?? 0, res.headers);
}

/**
 * The refusal of a repeatable call to which the target responded with a
 * cooldown, so that another target can take it. Undefined if it did not.
 */
export function cooldownRefusal(
  res: http.IncomingMessage,
): refusals.Refusal | undefined {
  const cooldown = readRetryAfter(res);
  return cooldown.kind === 'rest'
    ? refusals.unknownOutcome(
        'resting',
        'the target requested a cooldown',
        cooldown.ms,
      )
    : undefined;
}
