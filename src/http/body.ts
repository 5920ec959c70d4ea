/** Reading and writing whole HTTP bodies under a size cap. */
import * as http from 'node:http';
import type {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {Result, fail, ok} from '../result';
import * as resets from './resets';

/** Why a body was not read. */
export type BodyError =
  | {readonly kind: 'body-too-large'; readonly limitBytes: number}
  | {readonly kind: 'body-cut'}
  | {readonly kind: 'bad-json'; readonly detail: string};

/** Reads a body to its end. Fails with `body-too-large` or `body-cut`. */
export function readBody(
  stream: Readable,
  limitBytes: number,
): Promise<Result<Buffer, BodyError>> {
  if (stream instanceof http.IncomingMessage && hasNoBody(stream)) {
    stream.resume();
    return Promise.resolve(ok(EMPTY_BODY));
  }
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    stream.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > limitBytes) {
        stream.pause();
        resolve(fail({kind: 'body-too-large', limitBytes}));
        return;
      }
      chunks.push(chunk);
    });
    stream.on('end', () => {
      const isCut =
        stream instanceof http.IncomingMessage && !resets.isComplete(stream);
      resolve(isCut ? fail({kind: 'body-cut'}) : ok(Buffer.concat(chunks)));
    });
    // Either comes without an end where the peer goes away early.
    stream.on('error', () => resolve(fail({kind: 'body-cut'})));
    stream.on('close', () => resolve(fail({kind: 'body-cut'})));
  });
}

const EMPTY_BODY = Buffer.alloc(0);

/** A request that names no length and no coding has no body. */
function hasNoBody(message: http.IncomingMessage): boolean {
  return (
    message.method !== undefined &&
    message.method !== null &&
    message.headers['content-length'] === undefined &&
    message.headers['transfer-encoding'] === undefined
  );
}

/** Parses a JSON text. Fails with `bad-json`. */
export function parseJson(text: string): Result<unknown, BodyError> {
  try {
    return ok(JSON.parse(text) as unknown);
  } catch (err) {
    return fail({kind: 'bad-json', detail: (err as SyntaxError).message});
  }
}

/** Reads a JSON body. Fails with any `BodyError`. */
export async function readJson(
  stream: Readable,
  limitBytes: number,
): Promise<Result<unknown, BodyError>> {
  const body = await readBody(stream, limitBytes);
  return body.ok ? parseJson(body.value.toString('utf8')) : body;
}

/** Answers with a JSON document. */
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

/** A header's first value. */
export function headerOf(
  message: http.IncomingMessage,
  name: string,
): string | undefined {
  const value = message.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Bodies up to this size are passed on in one piece. */
const MAX_BUFFERED_BYTES = 64 * 1024;

/**
 * Passes an answer's body on with backpressure. True where it came whole; a
 * body that breaks off breaks off for the receiver too.
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
    // The end is ours to give: it would tell the receiver that all has come.
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

/** Writes; resolves when the peer can take more, or is gone. */
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
