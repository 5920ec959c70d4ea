/** Sending a request to one target, once, and judging what comes back. */
import type * as http from 'node:http';
import * as bodies from '../http/body';
import * as httpClient from '../http/client';
import type {
  RequestMetadata,
  ResponseHead,
  FailureReason,
  RequestHead,
  Target,
  Wire,
} from './types';

/** Cap on an answer that is read whole. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;
/**
 * Milliseconds until a new connection must be up: some round trips within a
 * region, and well under the second after which an opening packet is sent
 * again.
 */
const CONNECT_TIMEOUT_MS = 400;

/** Statuses that promise that nothing ran. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** How a send ended. */
export type Outcome =
  /** A whole answer of the target to this request. */
  | {readonly kind: 'answered'; readonly head: ResponseHead; body: Buffer}
  /** The head of a stream; its events follow. */
  | {
      readonly kind: 'streaming';
      readonly head: ResponseHead;
      readonly res: http.IncomingMessage;
    }
  /** Certainly not run: the target says so, or nothing was sent. */
  | {readonly kind: 'not-run'; readonly status: number | undefined}
  /** It may have run. */
  | {readonly kind: 'unknown'; readonly why: FailureReason}
  | {readonly kind: 'timed-out'; readonly sent: boolean}
  | {readonly kind: 'cancelled'};

/** One send. */
export interface SendOptions {
  readonly agent: http.Agent;
  readonly target: Target;
  readonly head: RequestHead;
  readonly body: Buffer | undefined;
  readonly metadata: RequestMetadata;
  readonly isStream: boolean;
  /** Monotonic time at which the caller must have its answer. */
  readonly deadline: number;
  /** Aborted when the caller has left. */
  readonly signal: AbortSignal;
  /**
   * Hears what the target says before its body, whatever becomes of the answer:
   * also one that is thrown away tells how the target is.
   */
  onHead(head: ResponseHead): void;
}

/** Sends a request and reads the answer, or a stream's head. */
export async function exchange(
  wire: Wire,
  send: SendOptions,
): Promise<Outcome> {
  const leftMs = send.deadline - performance.now();
  const answer = await httpClient.send(send.agent, {
    address: send.target.address,
    method: send.head.method,
    path: send.head.path,
    headers: wire.targetHeaders(send.head, send.metadata),
    body: send.body,
    timeoutMs: leftMs,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    signal: send.signal,
  });
  if (!answer.ok) {
    return outcomeOfError(answer.error);
  }
  const res = answer.value;
  const head = wire.readResponse(res);
  send.onHead(head);
  if (head.requestId !== send.head.id) {
    res.destroy();
    return {kind: 'unknown', why: 'foreign-answer'};
  }
  const isSuccess = head.status >= 200 && head.status < 300;
  if (isSuccess && (!head.isSigned || head.isEncoded)) {
    res.destroy();
    return {kind: 'unknown', why: 'unsigned-answer'};
  }
  if (isSuccess && send.isStream) {
    return {kind: 'streaming', head, res};
  }
  return readWholeBody(send, head, res);
}

async function readWholeBody(
  send: SendOptions,
  head: ResponseHead,
  res: http.IncomingMessage,
): Promise<Outcome> {
  let isLate = false;
  const timer = setTimeout(() => {
    isLate = true;
    res.destroy();
  }, send.deadline - performance.now());
  const read = await bodies.readBody(res, MAX_BODY_BYTES);
  clearTimeout(timer);
  if (send.signal.aborted) {
    return {kind: 'cancelled'};
  }
  if (isLate) {
    return {kind: 'timed-out', sent: true};
  }
  if (head.isNotRun) {
    return {kind: 'not-run', status: head.status};
  }
  if (!read.ok) {
    res.destroy();
    return {kind: 'unknown', why: 'broken-answer'};
  }
  if (NOT_RUN_STATUSES.has(head.status)) {
    // Passed on, it would promise what the target did not say.
    return {kind: 'unknown', why: 'unproven-refusal'};
  }
  return {kind: 'answered', head, body: read.value};
}

function outcomeOfError(err: httpClient.CallError): Outcome {
  switch (err.kind) {
    case 'no-connection':
      return {kind: 'not-run', status: undefined};
    case 'connection-lost':
      return {kind: 'unknown', why: 'connection-lost'};
    case 'timed-out':
      return {kind: 'timed-out', sent: err.sent};
    case 'cancelled':
      return {kind: 'cancelled'};
  }
}
