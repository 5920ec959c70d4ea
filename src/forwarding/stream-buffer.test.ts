import {Writable} from 'node:stream';
import {HeldBytes} from '../http/held-bytes';
import {StreamBuffer} from './stream-buffer';

const KIB = 1024;
const BOUND = 1024 * KIB;

/** A response whose caller takes one write at a time, on request. */
class FakeResponse extends Writable {
  received = '';
  writeCount = 0;
  private taken: (() => void) | undefined;

  constructor() {
    super({highWaterMark: 16 * KIB});
  }

  override _write(data: Buffer, _encoding: string, done: () => void): void {
    this.received += data.toString();
    this.writeCount += 1;
    this.taken = done;
  }

  /** Takes what has been written; false: nothing was. */
  take(): boolean {
    const {taken} = this;
    this.taken = undefined;
    taken?.();
    return taken !== undefined;
  }
}

describe('the buffer of a stream', () => {
  let res: FakeResponse;
  let held: HeldBytes;
  let cuts: unknown[][];
  let buffer: StreamBuffer;

  beforeEach(() => {
    jest.useFakeTimers({doNotFake: ['nextTick']});
    res = new FakeResponse();
    held = new HeldBytes(BOUND);
    cuts = [];
    buffer = new StreamBuffer(res, held, (...cut) => cuts.push(cut));
  });

  afterEach(() => {
    held.close();
    jest.useRealTimers();
  });

  async function takeAll(): Promise<void> {
    while (res.take()) {
      await jest.advanceTimersByTimeAsync(1);
    }
  }

  /** Writes events of about `size` bytes; true: the target may be read on. */
  async function write(count: number, size = KIB): Promise<boolean> {
    let isDone = true;
    for (let at = 0; at < count && isDone; at += 1) {
      isDone = false;
      const event = Buffer.from(`${at}:`.padEnd(size, '.'));
      void buffer.write(event).then(() => (isDone = true));
      await Promise.resolve();
      await Promise.resolve();
    }
    return isDone;
  }

  it('is read on at the pace of the target if the caller stops, and keeps the order', async () => {
    expect(await write(256)).toBe(true);
    expect(await write(1)).toBe(false);
    await jest.advanceTimersByTimeAsync(250);
    expect(await write(200)).toBe(true);
    expect(held.bytes()).toBe(457 * KIB);
    buffer.end(Buffer.from('last'));
    const delivery = buffer.whenDelivered(8_000);
    await jest.advanceTimersByTimeAsync(7_000);
    await takeAll();
    expect(await delivery).toBe('delivered');
    const numbers = [...res.received.matchAll(/(\d+):/g)].map(([, at]) => +at!);
    const expected = [256, 1, 200].flatMap(count => [...Array(count).keys()]);
    expect(numbers).toEqual(expected);
    expect(res.received.endsWith('last')).toBe(true);
    expect([held.bytes(), cuts]).toEqual([0, []]);
  });

  it('merges small events: the runtime needs several times their size for each', async () => {
    await write(4_000, 40);
    expect(held.bytes()).toBe(160_000);
    await takeAll();
    expect(res.received.length).toBe(160_000);
    // The first events fill the runtime's own buffer, the others are blocks.
    const direct = Math.ceil((16 * KIB) / 40);
    expect(res.writeCount).toBeLessThan(direct + 160_000 / (15 * KIB) + 1);
  });

  it('holds its target for a caller that goes on reading', async () => {
    let isReady = true;
    let given = 0;
    for (let at = 0; at < 200; at += 1) {
      // The target sends twice as fast as the caller reads.
      for (let burst = 0; burst < 2 && isReady; burst += 1) {
        isReady = false;
        given += 1;
        void buffer.write(Buffer.alloc(16 * KIB)).then(() => (isReady = true));
        await jest.advanceTimersByTimeAsync(10);
      }
      res.take();
      await jest.advanceTimersByTimeAsync(20);
      expect(held.bytes()).toBeLessThan(300 * KIB);
    }
    expect(given).toBeGreaterThan(200);
  });

  it('is cut off above the bound and takes nothing more', async () => {
    await write(257);
    await jest.advanceTimersByTimeAsync(600);
    await write(BOUND / KIB);
    expect(cuts).toEqual([['answer', BOUND + KIB, 600]]);
    expect([res.destroyed, held.bytes()]).toEqual([true, 0]);
    buffer.end(Buffer.from('late'));
    await jest.advanceTimersByTimeAsync(1);
    expect(await buffer.whenDelivered(100)).toBe('caller-left');
  });

  it('keeps the bound among callers that stop, pause or read, and cuts only the first', async () => {
    // Guards against cutting a caller for what others leave unread.
    const bound = 4 * BOUND;
    const streams = ['stops', 'stops', 'stops', 'pauses', 'reads', 'reads'];
    held = new HeldBytes(bound);
    const order: Array<{at: number; bytes: number}> = [];
    const all = streams.map((kind, at) => {
      const own = new FakeResponse();
      const onCut = (_: unknown, bytes: number) => order.push({at, bytes});
      return {kind, res: own, buffer: new StreamBuffer(own, held, onCut)};
    });
    const chunk = Buffer.alloc(64 * KIB);
    const given = streams.map(() => 0);
    const isReady = streams.map(() => true);
    for (let ms = 0; ms < 3_000; ms += 5) {
      for (const [at, one] of all.entries()) {
        const isPaused = one.kind === 'pauses' && ms > 1_000 && ms < 2_000;
        if (one.kind === 'reads' || (one.kind === 'pauses' && !isPaused)) {
          one.res.take();
        }
        if (isReady[at] && !(isPaused && given[at]! >= 202)) {
          isReady[at] = false;
          given[at]! += 1;
          void one.buffer.write(chunk).then(() => (isReady[at] = true));
        }
      }
      await jest.advanceTimersByTimeAsync(5);
      expect(held.bytes()).toBeLessThanOrEqual(bound + 6 * chunk.length);
    }
    expect(order.map(({at}) => at).sort()).toEqual([0, 1, 2]);
    expect(held.peakBytes).toBeLessThanOrEqual(bound + 6 * chunk.length);
    for (const [at, one] of all.entries()) {
      const isCut = one.kind === 'stops';
      expect(one.res.destroyed).toBe(isCut);
      expect(given[at]).toBeGreaterThan(isCut ? 20 : 200);
    }
  });

  it('is empty once the caller has taken all, or after a time', async () => {
    await write(30);
    const started = performance.now();
    const timedOut = buffer.whenEmpty(100).then(() => performance.now());
    await jest.advanceTimersByTimeAsync(120);
    expect((await timedOut) - started).toBe(100);
    const empty = buffer.whenEmpty(8_000);
    await takeAll();
    await jest.advanceTimersByTimeAsync(20);
    await empty;
    expect(held.bytes()).toBe(0);
  });

  it.each([
    ['the caller disconnects', () => res.destroy()],
    ['the target is given up', () => buffer.interrupt()],
  ])('does not wait for the caller any more when %s', async (_, end) => {
    const wait = buffer.write(Buffer.alloc(300 * KIB));
    end();
    await jest.advanceTimersByTimeAsync(1);
    await wait;
    expect(held.bytes()).toBe(res.destroyed ? 0 : 300 * KIB);
  });

  it('gives up the delivery at the deadline', async () => {
    await write(10);
    buffer.end(Buffer.alloc(0));
    const delivery = buffer.whenDelivered(400);
    await jest.advanceTimersByTimeAsync(400);
    expect(await delivery).toBe('timed-out');
  });
});
