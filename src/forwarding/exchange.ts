/** Sends a request to one target, once, and classifies the outcome. */
import type * as http from 'node:http';
import * as body from '../http/body';
import * as httpClient from '../http/client';
import type {HeldAnswer} from './held-answer';
import type {HeldBody} from '../http/held-body';
import type {
  RequestMetadata,
  ResponseHead,
  FailureReason,
  RequestHead,
  Target,
  Wire,
} from './types';

const MAX_BODY_BYTES = 16 * 1024 * 1024;
/**
 * Some round trips within a region, and shorter than TCP's first SYN
 * retransmission, which comes after a second.
 */
const CONNECT_TIMEOUT_MS = 400;

/** Statuses by which a target states that it did not run the request. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** How a send ended. */
export type Outcome =
  /** The target's complete response to this request. */
  | {readonly kind: 'answered'; readonly head: ResponseHead; body: Buffer}
  /** The head of a stream; its events are still to be read. */
  | {
      readonly kind: 'streaming';
      readonly head: ResponseHead;
      readonly res: http.IncomingMessage;
    }
  /** Certainly not run: the target says so, or no connection was made. */
  | {readonly kind: 'not-run'; readonly status: number | undefined}
  /** It may have run. */
  | {readonly kind: 'unknown'; readonly why: FailureReason}
  | {readonly kind: 'timed-out'; readonly sent: boolean}
  | {readonly kind: 'cancelled'};

export interface SendOptions {
  readonly agent: http.Agent;
  readonly target: Target;
  readonly head: RequestHead;
  readonly body: Buffer | undefined;
  readonly metadata: RequestMetadata;
  readonly isStream: boolean;
  /** Counts the body and the answer as held; undefined: not counted. */
  readonly holders?: SendHolders;
  /** Monotonic time in milliseconds by which the caller must be answered. */
  readonly deadline: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /**
   * Called with the head of every response, also of one that is then discarded:
   * it still tells the target's state.
   */
  onHead(head: ResponseHead): void;
}

export interface SendHolders {
  readonly body: HeldBody;
  readonly answer: HeldAnswer;
  /** The send may be ended if the target is slow to read the body. */
  readonly mayRepeat: boolean;
}

/** Sends a request and reads the whole response, or a stream's head. */
export async function exchange(
  wire: Wire,
  send: SendOptions,
): Promise<Outcome> {
  const {holders} = send;
  const timeLeftMs = send.deadline - performance.now();
  const response = await httpClient.send(send.agent, {
    address: send.target.address,
    method: send.head.method,
    path: send.head.path,
    headers: wire.targetHeaders(send.head, send.metadata),
    body: send.body,
    timeoutMs: timeLeftMs,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    signal: send.signal,
    onRequest: req => holders?.body.startSend(req, holders.mayRepeat),
  });
  const wasStopped = holders?.body.endSend() === true;
  if (!response.ok) {
    return wasStopped
      ? {kind: 'unknown', why: 'slow-target'}
      : outcomeOfError(response.error);
  }
  const res = response.value;
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
  const outcome = await readWholeBody(send, head, res);
  if (outcome.kind !== 'answered') {
    holders?.answer.discard();
  }
  return outcome;
}

async function readWholeBody(
  send: SendOptions,
  head: ResponseHead,
  res: http.IncomingMessage,
): Promise<Outcome> {
  const read = await body.readBodyWithin(
    res,
    send.deadline - performance.now(),
    MAX_BODY_BYTES,
    send.holders?.answer,
  );
  if (send.signal.aborted) {
    return {kind: 'cancelled'};
  }
  if (read === undefined) {
    res.destroy();
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
    // Passed on, this status would tell the caller that the request did not run,
    // although the target has not stated it.
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
    case 'broken-answer':
      return {kind: 'unknown', why: 'broken-answer'};
    case 'timed-out':
      return {kind: 'timed-out', sent: err.sent};
    case 'cancelled':
      return {kind: 'cancelled'};
  }
}
