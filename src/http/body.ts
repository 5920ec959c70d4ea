/** Reading, parsing, sending and forwarding HTTP bodies. */
import * as http from 'node:http';
import type {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {Result, fail, ok} from '../result';
import {BodyBuffer} from './body-buffer';
import * as jsonScan from './json-scan';
import * as readingTurns from './reading-turns';
import * as resets from './resets';

/**
 * Why a body could not be read. `body-cut`: it ended early, or its observer
 * stopped the reading.
 */
export type BodyError =
  | {readonly kind: 'body-too-large'; readonly limitBytes: number}
  | {readonly kind: 'body-cut'}
  /** Its memory was needed for other callers. */
  | {readonly kind: 'body-too-slow'}
  | {readonly kind: 'bad-json'; readonly detail: string};

/** Follows the reading of a body. */
export interface BodyObserver {
  /** `stop` ends the reading with `body-cut`; the rest is read and dropped. */
  onStart(stream: Readable, stop: () => void): void;
  /** The body takes more memory. `size`: bytes read so far. */
  onBytes(size: number): void;
}

/** Bytes; a function if it may change while a body is read. */
export type BodyLimit = number | (() => number);

/**
 * Reads a body within a limit. Fails with `body-too-large`, at once if the
 * announced length exceeds the limit, or with `body-cut`. What follows a failure
 * is read and dropped: closing the connection with unread data would reset it
 * before the peer has read its response.
 */
export function readBody(
  stream: Readable,
  limit: BodyLimit,
  observer?: BodyObserver,
): Promise<Result<Buffer, BodyError>> {
  if (stream instanceof http.IncomingMessage) {
    if (hasNoBody(stream)) {
      stream.resume();
      return Promise.resolve(ok(EMPTY_BODY));
    }
    const limitBytes = bytesOf(limit);
    if (isRequest(stream) && announcedBytes(stream) > limitBytes) {
      readingTurns.dropBody(stream);
      return Promise.resolve(fail({kind: 'body-too-large', limitBytes}));
    }
  }
  return new Promise(resolve => {
    const buffer = new BodyBuffer();
    const meter =
      stream instanceof http.IncomingMessage
        ? readingTurns.meterOf(stream)
        : undefined;
    let isStopped = false;
    const stop = (err: BodyError) => {
      isStopped = true;
      buffer.clear();
      stream.resume();
      resolve(fail(err));
    };
    observer?.onStart(stream, () => stop({kind: 'body-cut'}));
    stream.on('data', (chunk: Buffer) => {
      meter?.note(chunk.length);
      if (isStopped) {
        return;
      }
      const limitBytes = bytesOf(limit);
      if (buffer.size + chunk.length > limitBytes) {
        stop({kind: 'body-too-large', limitBytes});
        return;
      }
      // Most small chunks take no more memory.
      if (buffer.add(chunk)) {
        observer?.onBytes(buffer.size);
      }
    });
    stream.on('end', () => {
      meter?.close();
      const isCut =
        isStopped ||
        (stream instanceof http.IncomingMessage && !resets.isComplete(stream));
      if (isCut) {
        resolve(fail({kind: 'body-cut'}));
        return;
      }
      observer?.onBytes(buffer.size);
      resolve(ok(buffer.take()));
    });
    // If the peer disconnects early, these events come without `end`.
    stream.on('error', () => resolve(fail({kind: 'body-cut'})));
    stream.on('close', () => resolve(fail({kind: 'body-cut'})));
  });
}

/**
 * Reads a body within a limit and a time. Resolves with undefined once the time is
 * over, whatever the stream does; the caller must then destroy it.
 */
export async function readBodyWithin(
  stream: Readable,
  timeoutMs: number,
  limit: BodyLimit,
  observer?: BodyObserver,
): Promise<Result<Buffer, BodyError> | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const timedOut = new Promise<undefined>(resolve => {
    timer = setTimeout(() => resolve(undefined), Math.max(timeoutMs, 0));
  });
  const read = readBody(stream, limit, observer);
  const first = await Promise.race([read, timedOut]);
  clearTimeout(timer);
  return first;
}

const EMPTY_BODY = Buffer.alloc(0);

function bytesOf(limit: BodyLimit): number {
  return typeof limit === 'number' ? limit : limit();
}

/** The announced length; 0: none is announced. */
function announcedBytes(message: http.IncomingMessage): number {
  return Number(message.headers['content-length'] ?? 0);
}

/** A request without content-length and transfer-encoding has no body. */
function hasNoBody(message: http.IncomingMessage): boolean {
  return (
    isRequest(message) &&
    message.headers['content-length'] === undefined &&
    message.headers['transfer-encoding'] === undefined
  );
}

/** A response to HEAD announces a length too, but has no body. */
function isRequest(message: http.IncomingMessage): boolean {
  return message.method !== undefined && message.method !== null;
}

function parseJson(text: string): Result<unknown, BodyError> {
  try {
    return ok(JSON.parse(text) as unknown);
  } catch (err) {
    return fail({kind: 'bad-json', detail: (err as SyntaxError).message});
  }
}

/** Bounds on documents that other processes send. */
const DOCUMENT_BOUNDS: jsonScan.JsonBounds = {
  maxDepth: 64,
  maxValues: 500_000,
  maxBytes: Infinity,
};

/**
 * Parses a document that another process sent. Fails with `bad-json`, also if it
 * is nested too deeply or has too many values.
 */
export function parseJsonBytes(
  bytes: Buffer,
  bounds = DOCUMENT_BOUNDS,
  extent: jsonScan.Extent = {start: 0, end: bytes.length},
): Result<unknown, BodyError> {
  return jsonScan.isWithin(bytes, bounds, extent)
    ? parseJson(bytes.toString('utf8', extent.start, extent.end))
    : fail({kind: 'bad-json', detail: 'the document is too large or too deep'});
}

/** Reads a JSON body. Fails with any `BodyError`. */
export async function readJson(
  stream: Readable,
  limitBytes: number,
): Promise<Result<unknown, BodyError>> {
  const body = await readBody(stream, limitBytes);
  return body.ok ? parseJsonBytes(body.value) : body;
}

/**
 * Sends a JSON response; does nothing if headers were sent or the response is
 * destroyed.
 */
export function sendJson(
  res: http.ServerResponse,
  status: number,
  document: unknown,
  headers: http.OutgoingHttpHeaders = {},
): void {
  if (res.headersSent || res.destroyed) {
    return;
  }
  const body = Buffer.from(JSON.stringify(document));
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
    ...headers,
  });
  res.end(body);
}

/** The first value of a header; `name` is in lower case. */
export function headerOf(
  message: http.IncomingMessage,
  name: string,
): string | undefined {
  const value = message.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Bodies up to this size are forwarded in one write. */
const MAX_BUFFERED_BYTES = 64 * 1024;

/**
 * Forwards a response body with backpressure. True if it was complete; if it
 * was cut short, the receiver's connection is destroyed.
 */
export async function forwardBody(
  from: http.IncomingMessage,
  to: http.ServerResponse,
): Promise<boolean> {
  const length = Number(from.headers['content-length'] ?? NaN);
  if (length <= MAX_BUFFERED_BYTES) {
    const read = await readBody(from, MAX_BUFFERED_BYTES);
    if (read.ok) {
      to.end(read.value);
      return true;
    }
    to.destroy();
    return false;
  }
  try {
    // Ending `to` marks the body as complete, so that waits for the check.
    await pipeline(from, to, {end: false});
  } catch {
    to.destroy();
    return false;
  }
  if (!resets.isComplete(from)) {
    to.destroy();
    return false;
  }
  to.end();
  return true;
}

/** Writes; resolves when the response can take more data or is closed. */
export async function writeWithBackpressure(
  res: http.ServerResponse,
  data: string | Buffer,
): Promise<void> {
  if (res.destroyed || res.write(data)) {
    return;
  }
  await new Promise<void>(resolve => {
    const settle = () => {
      res.removeListener('drain', settle);
      res.removeListener('close', settle);
      resolve();
    };
    res.once('drain', settle);
    res.once('close', settle);
  });
}
