import {Writable} from 'node:stream';
import {HeldBytes} from './held-bytes';
import {StreamBuffer} from './stream-buffer';

const KIB = 1024;
const BOUND = 1024 * KIB;

/** A response whose caller takes one write at a time, when told to. */
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
    await jest.advanceTimersByTimeAsync(500);
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
    await write(300);
    for (let at = 0; at < 20; at += 1) {
      res.take();
      await jest.advanceTimersByTimeAsync(30);
      await write(16);
      expect(held.bytes()).toBeLessThan(300 * KIB);
    }
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
