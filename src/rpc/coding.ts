/**
 * Bodies of calls between processes, deflated where that is worth while: links
 * beside the ranks are narrow, and what is told of many ranks repeats itself.
 */
import * as zlib from 'node:zlib';
import * as body from '../http/body';
import {Result, fail} from '../result';
import {MAX_RPC_BYTES} from './types';

/**
 * Shorter texts go as they are, in bytes: deflating them costs more than the link
 * gains.
 */
const MIN_DEFLATED_BYTES = 1_024;
/** Most of the gain at the least processor time. */
const DEFLATE_LEVEL = 1;
/** Source: RFC 9110, section 8.4.1; without the zlib wrapper. */
const CONTENT_CODING = 'deflate';

/** A body and the headers that say how to read it. */
export interface EncodedBody {
  readonly bytes: Buffer;
  readonly headers: Readonly<Record<string, string>>;
}

/** A document as the body of a call or of its answer. */
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

/** Reads such a body. Fails with `bad-json`; what unpacks to too much is none either. */
export function decode(
  bytes: Buffer,
  coding: string | undefined,
): Result<unknown, body.BodyError> {
  if (coding !== CONTENT_CODING) {
    return body.parseJson(bytes.toString('utf8'));
  }
  try {
    const text = zlib.inflateRawSync(bytes, {maxOutputLength: MAX_RPC_BYTES});
    return body.parseJson(text.toString('utf8'));
  } catch (err) {
    return fail({kind: 'bad-json', detail: (err as Error).message});
  }
}
