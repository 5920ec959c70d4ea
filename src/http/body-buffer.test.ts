import * as fc from 'fast-check';
import {BodyBuffer} from './body-buffer';

describe('a buffer of chunks', () => {
  it('returns the bytes of all chunks in order, whatever their sizes', () => {
    const sizes = fc.array(fc.integer({min: 1, max: 10_000}), {maxLength: 200});
    fc.assert(
      fc.property(sizes, list => {
        const chunks = list.map((size, at) => Buffer.alloc(size, at % 251));
        const buffer = new BodyBuffer();
        chunks.forEach(chunk => buffer.add(chunk));
        const size = list.reduce((sum, one) => sum + one, 0);
        expect(buffer.size).toBe(size);
        expect(buffer.take().equals(Buffer.concat(chunks))).toBe(true);
        expect(buffer.size).toBe(0);
      }),
    );
  });

  // Guards against an object for each byte of a body.
  it('allocates for one in thousands of single bytes', () => {
    const buffer = new BodyBuffer();
    let allocations = 0;
    for (let at = 0; at < 300_000; at += 1) {
      allocations += buffer.add(Buffer.from([at % 256])) ? 1 : 0;
    }
    expect(allocations).toBeLessThan(300_000 / 1_024);
    expect(buffer.take().length).toBe(300_000);
  });

  it('does not copy a body of one chunk', () => {
    const buffer = new BodyBuffer();
    const chunk = Buffer.alloc(100);
    buffer.add(chunk);
    expect(buffer.take()).toBe(chunk);
  });
});
