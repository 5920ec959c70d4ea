import * as fc from 'fast-check';
import {EventSplitter} from './event-splitter';

const WHOLE = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\nid: 3\n\n';

describe('splitting a stream into events', () => {
  it('preserves all bytes, however the stream is chunked', () => {
    const bytes = Buffer.from(WHOLE + 'id: 4\ndata: half');
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 0, max: bytes.length}), {maxLength: 8}),
        cuts => {
          const splitter = new EventSplitter();
          const ends = [...cuts.sort((a, b) => a - b), bytes.length];
          let from = 0;
          let passed = '';
          for (const end of ends) {
            passed += splitter.push(bytes.subarray(from, end)).toString();
            from = end;
          }
          expect(passed).toBe(WHOLE);
          expect(splitter.lastId).toBe('3');
          expect(splitter.count).toBe(3);
          expect(splitter.partial.toString()).toBe('id: 4\ndata: half');
        },
      ),
      {numRuns: 200, seed: 31},
    );
  });

  it('continues with complete events after an incomplete one was dropped', () => {
    const splitter = new EventSplitter();
    splitter.push(Buffer.from('id: 1\n\nid: 2\nda'));
    splitter.discardPartial();
    expect(splitter.lastId).toBe('1');
    expect(splitter.push(Buffer.from('id: 2\ndata\n\n')).toString()).toBe(
      'id: 2\ndata\n\n',
    );
  });

  it('copies an event in many small chunks a few times only', () => {
    const splitter = new EventSplitter();
    const chunk = Buffer.from('x'.repeat(16));
    const chunks = 4_000;
    let copied = 0;
    const {concat} = Buffer;
    const spy = jest.spyOn(Buffer, 'concat').mockImplementation(list => {
      copied += list.reduce((sum, part) => sum + part.length, 0);
      return concat(list);
    });
    for (let at = 0; at < chunks; at += 1) {
      splitter.push(chunk);
    }
    const event = splitter.push(Buffer.from('\n\n'));
    spy.mockRestore();
    expect(event.length).toBe(chunks * chunk.length + 2);
    expect(copied).toBeLessThan(4 * event.length);
  });
});
