/** HTTP requests to other processes over keep-alive connections. */
import * as http from 'node:http';
import {Result, fail, ok} from '../result';
import {splitAddress} from './address';
import * as answerCheck from './answer-check';
import {AnswerGuard} from './answer-guard';
import * as body from './body';
import * as resets from './resets';

const CONNECT_TIMEOUT_MS = 1_000;
const MAX_IDLE_SOCKETS = 64;

/**
 * Why a call got no response. `sent` is true if the peer may have received any
 * part of the request, false if it certainly received nothing.
 */
export type CallError =
  | {readonly kind: 'no-connection'; readonly sent: false}
  | {readonly kind: 'connection-lost'; readonly sent: true}
  /** The peer has sent bytes that are no answer. */
  | {readonly kind: 'broken-answer'; readonly sent: true}
  | {readonly kind: 'timed-out'; readonly sent: boolean}
  | {readonly kind: 'cancelled'; readonly sent: boolean};

/** One request to an address. */
export interface Call {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** By name, or as a flat list of names and values, which keeps their case. */
  readonly headers?: http.OutgoingHttpHeaders | readonly string[];
  readonly body?: Buffer | string;
  /** Milliseconds until the response headers must have arrived. */
  readonly timeoutMs: number;
  /** Milliseconds until a connection must be open; 1,000 by default. */
  readonly connectTimeoutMs?: number;
  readonly signal?: AbortSignal;
  /** Called before the body is sent. */
  onRequest?(req: http.ClientRequest): void;
}

/** Makes a keep-alive agent; the caller must destroy it. */
export function makeAgent(): http.Agent {
  return new http.Agent({
    keepAlive: true,
    maxFreeSockets: MAX_IDLE_SOCKETS,
    scheduling: 'lifo',
  });
}

/**
 * Sends a request; resolves once the response headers have arrived. A request that
 * can't be expressed in HTTP fails with `no-connection`.
 */
export function send(
  agent: http.Agent,
  call: Call,
): Promise<Result<http.IncomingMessage, CallError>> {
  return new Promise(resolve => {
    let connected = false;
    let guard: AnswerGuard | undefined;
    const req = makeRequest(agent, call);
    if (req === undefined) {
      resolve(fail({kind: 'no-connection', sent: false}));
      return;
    }
    const stopWaiting = () => {
      clearTimeout(timer);
      clearTimeout(connectTimer);
    };
    const removeAbortListener = () =>
      call.signal?.removeEventListener('abort', onAbort);
    const giveUp = (err: CallError) => {
      stopWaiting();
      guard?.close();
      removeAbortListener();
      resolve(fail(err));
    };
    // Settles by itself: a request that is destroyed may emit no further event.
    const stop = (err: CallError) => {
      giveUp(err);
      req.destroy();
    };
    const onAbort = () => stop({kind: 'cancelled', sent: connected});
    const connectTimer = setTimeout(() => {
      if (!connected) {
        stop({kind: 'no-connection', sent: false});
      }
    }, call.connectTimeoutMs ?? CONNECT_TIMEOUT_MS);
    const timer = setTimeout(
      () => stop({kind: 'timed-out', sent: connected}),
      Math.max(call.timeoutMs, 0),
    );
    req.on('socket', socket => {
      guard = new AnswerGuard(socket, () =>
        stop({kind: 'connection-lost', sent: true}),
      );
      if (!socket.connecting) {
        connected = true;
      } else {
        socket.once('connect', () => {
          connected = true;
        });
      }
    });
    req.on('response', res => {
      if (!answerCheck.isAnswer(res)) {
        stop({kind: 'broken-answer', sent: true});
        return;
      }
      stopWaiting();
      resets.watch(res);
      guard?.watchBody(res);
      res.once('close', removeAbortListener);
      resolve(ok(res));
    });
    const onLost = () =>
      giveUp(
        connected
          ? {kind: 'connection-lost', sent: true}
          : {kind: 'no-connection', sent: false},
      );
    req.on('error', onLost);
    // A response that switches protocols emits no 'error' event.
    req.on('close', onLost);
    if (call.signal?.aborted) {
      onAbort();
    } else {
      call.signal?.addEventListener('abort', onAbort, {once: true});
    }
    call.onRequest?.(req);
    req.end(call.body);
  });
}

/** Undefined if the runtime refuses a header, the path or the address. */
function makeRequest(
  agent: http.Agent,
  call: Call,
): http.ClientRequest | undefined {
  const {host, port} = splitAddress(call.address);
  try {
    return http.request({
      agent,
      host,
      port,
      method: call.method,
      path: call.path,
      headers: headersOf(call),
    });
  } catch {
    return undefined;
  }
}

function headersOf(call: Call): http.OutgoingHttpHeaders {
  const length =
    call.body === undefined ? undefined : Buffer.byteLength(call.body);
  if (isRaw(call.headers)) {
    const raw = [...call.headers];
    if (length !== undefined) {
      raw.push('Content-Length', String(length));
    }
    // Node accepts a flat list, but its type does not declare it.
    return raw as unknown as http.OutgoingHttpHeaders;
  }
  const headers: http.OutgoingHttpHeaders = {...call.headers};
  if (length !== undefined) {
    headers['content-length'] = length;
  }
  return headers;
}

function isRaw(headers: Call['headers']): headers is readonly string[] {
  return Array.isArray(headers);
}

/** A response with its complete body. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/**
 * Sends a request and reads the response body, up to `limitBytes`. `timeoutMs`
 * applies to the headers and to the body separately.
 */
export async function fetchBuffered(
  agent: http.Agent,
  call: Call,
  limitBytes: number,
): Promise<Result<HttpResponse, CallError>> {
  const res = await send(agent, call);
  if (!res.ok) {
    return res;
  }
  const message = res.value;
  const read = await body.readBodyWithin(message, call.timeoutMs, limitBytes);
  if (!read?.ok) {
    message.destroy();
    return fail({kind: 'connection-lost', sent: true});
  }
  return ok({
    status: message.statusCode ?? 0,
    headers: message.headers,
    body: read.value,
  });
}

/** The same on a connection of its own, which is closed afterwards. */
export async function fetchOnNewConnection(
  call: Call,
  limitBytes: number,
): Promise<Result<HttpResponse, CallError>> {
  const agent = makeAgent();
  const response = await fetchBuffered(agent, call, limitBytes);
  agent.destroy();
  return response;
}
