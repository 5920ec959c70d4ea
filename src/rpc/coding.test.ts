import * as zlib from 'node:zlib';
import * as fc from 'fast-check';
import * as coding from './coding';
import {MAX_RPC_BYTES} from './types';

function contentCodingOf(encoded: coding.EncodedBody): string | undefined {
  return encoded.headers['content-encoding'];
}

describe('RPC bodies', () => {
  it('decode to the encoded document, short and long', () => {
    fc.assert(
      fc.property(fc.jsonValue(), fc.nat(3_000), (value, length) => {
        const document = [value, 'x'.repeat(length)];
        const text = JSON.stringify(document);
        const encoded = coding.encode(document);
        const decoded = coding.decode(encoded.bytes, contentCodingOf(encoded));
        expect(decoded).toEqual({ok: true, value: JSON.parse(text)});
      }),
      {seed: 5, numRuns: 200},
    );
  });

  it('shrink to a tenth for similar states of many ranks', () => {
    const states = Array.from({length: 129}, (_, rank) => ({
      kind: 'read',
      reading: {
        state: {group: 'g', epoch: 1, rank, size: 129, step: 4_711, held: null},
        gave: null,
      },
    }));
    const {bytes} = coding.encode(states);
    expect(bytes.length).toBeLessThan(JSON.stringify(states).length / 10);
  });

  it.each([
    ['bytes that are not deflated', Buffer.from('{"a":1}')],
    ['invalid JSON', zlib.deflateRawSync(Buffer.from('{"a":'))],
    [
      'too large a size when inflated',
      zlib.deflateRawSync(Buffer.alloc(MAX_RPC_BYTES + 1, '1')),
    ],
    // Guards against a short document that takes tens of megabytes when parsed.
    [
      'too many values',
      zlib.deflateRawSync(Buffer.from(`[${'[],'.repeat(500_000)}[]]`)),
    ],
  ])('with %s are rejected', (_, bytes) => {
    const decoded = coding.decode(bytes, 'deflate');
    expect(decoded).toMatchObject({ok: false, error: {kind: 'bad-json'}});
  });
});
