import * as zlib from 'node:zlib';
import * as fc from 'fast-check';
import * as coding from './coding';
import {MAX_RPC_BYTES} from './types';

function codingOf(coded: coding.EncodedBody): string | undefined {
  return coded.headers['content-encoding'];
}

describe('bodies of calls', () => {
  it('come back as they were, long and short', () => {
    fc.assert(
      fc.property(fc.jsonValue(), fc.nat(3_000), (value, length) => {
        const document = [value, 'x'.repeat(length)];
        const text = JSON.stringify(document);
        const coded = coding.encode(document);
        const read = coding.decode(coded.bytes, codingOf(coded));
        expect(read).toEqual({ok: true, value: JSON.parse(text)});
      }),
      {seed: 5, numRuns: 200},
    );
  });

  it('are a tenth as long where many ranks say alike', () => {
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
    ['no deflated bytes', Buffer.from('{"a":1}')],
    ['no JSON', zlib.deflateRawSync(Buffer.from('{"a":'))],
    ['too much', zlib.deflateRawSync(Buffer.alloc(MAX_RPC_BYTES + 1, '1'))],
  ])('with %s are refused', (_, bytes) => {
    const read = coding.decode(bytes, 'deflate');
    expect(read).toMatchObject({ok: false, error: {kind: 'bad-json'}});
  });
});
