/**
 * Encodes and decodes RPC bodies: JSON, deflated above a minimum size. Links
 * next to the ranks have little bandwidth, and data about many ranks compresses
 * well.
 */
import * as zlib from 'node:zlib';
import * as body from '../http/body';
import {Result, fail} from '../result';
import {MAX_RPC_BYTES} from './types';

/**
 * Shorter bodies are sent uncompressed: deflating them costs more than the link
 * gains.
 */
const MIN_DEFLATED_BYTES = 1_024;
/** The level with the least processor time. */
const DEFLATE_LEVEL = 1;
/** RFC 9110, section 8.4.1, but raw deflate without the zlib wrapper. */
const CONTENT_CODING = 'deflate';

/** An encoded body and its content headers. */
export interface EncodedBody {
  readonly bytes: Buffer;
  readonly headers: Readonly<Record<string, string>>;
}

/** Encodes a document as the body of a request or response. */
export function encode(document: unknown): EncodedBody {
  const text = Buffer.from(JSON.stringify(document));
  const headers = {'content-type': 'application/json'};
  return text.length < MIN_DEFLATED_BYTES
    ? {bytes: text, headers}
    : {
        bytes: zlib.deflateRawSync(text, {level: DEFLATE_LEVEL}),
        headers: {...headers, 'content-encoding': CONTENT_CODING},
      };
}

/**
 * Decodes a body. Fails with `bad-json`, also if the inflated size exceeds
 * `MAX_RPC_BYTES`, or if it has too many values.
 */
export function decode(
  bytes: Buffer,
  coding: string | undefined,
): Result<unknown, body.BodyError> {
  if (coding !== CONTENT_CODING) {
    return body.parseJsonBytes(bytes);
  }
  try {
    return body.parseJsonBytes(
      zlib.inflateRawSync(bytes, {maxOutputLength: MAX_RPC_BYTES}),
    );
  } catch (err) {
    return fail({kind: 'bad-json', detail: (err as Error).message});
  }
}
