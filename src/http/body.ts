/** Reading and writing whole HTTP bodies under a size cap. */
import * as http from 'node:http';
import type {Readable} from 'node:stream';
import {Result, fail, ok} from '../result';

/** Why a body was not read. */
export type BodyError =
  | {readonly kind: 'body-too-large'; readonly limitBytes: number}
  | {readonly kind: 'body-cut'}
  | {readonly kind: 'bad-json'; readonly detail: string};

/** Reads a body to its end. Fails with `body-too-large` or `body-cut`. */
export async function readBody(
  stream: Readable,
  limitBytes: number,
): Promise<Result<Buffer, BodyError>> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of stream) {
      size += (chunk as Buffer).length;
      if (size > limitBytes) {
        return fail({kind: 'body-too-large', limitBytes});
      }
      chunks.push(chunk as Buffer);
    }
  } catch {
    return fail({kind: 'body-cut'});
  }
  if (stream instanceof http.IncomingMessage && !stream.complete) {
    return fail({kind: 'body-cut'});
  }
  return ok(Buffer.concat(chunks));
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
