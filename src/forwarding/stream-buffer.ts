/**
 * The buffer between a target's stream and its caller. It belongs to the
 * caller's response, so it outlives the target that a stream began at.
 */
import type {Writable} from 'node:stream';
import * as closing from '../http/closing';
import * as heldBytes from '../http/held-bytes';

/** Events smaller than this are copied into blocks of this size. */
const BLOCK_BYTES = 16 * 1024;
/** The runtime tells only that a large write was taken, not a small one. */
const EMPTY_CHECK_MS = 20;

/** How the delivery of a stream ended. */
export type Delivery = 'delivered' | 'caller-left' | 'timed-out';

export class StreamBuffer extends heldBytes.Holder {
  private readonly pace = new heldBytes.ReaderPace();
  private readonly blocks: Buffer[] = [];
  /** The last block, while small events can be added to it. */
  private open: {readonly block: Buffer; used: number} | undefined;
  private queuedBytes = 0;
  private givenBytes = 0;
  private isEnding = false;
  /** Everything was passed to the system before the connection closed. */
  private isDelivered = false;
  /** Ends the wait of `write`. */
  private wake: (() => void) | undefined;
  private interrupts = 0;

  constructor(
    private readonly res: Writable,
    private readonly held: heldBytes.HeldBytes,
    private readonly onCut: heldBytes.CutListener,
  ) {
    super();
    res.on('drain', () => this.flush());
    res.once('finish', () => {
      this.isDelivered = !res.destroyed;
      this.held.remove(this);
    });
    res.once('close', () => this.free());
  }

  /**
   * Adds events. Resolves when more may be read from the target: at once, unless
   * the caller is behind and it isn't known yet whether it is slow.
   */
  async write(events: Buffer): Promise<void> {
    if (this.isClosed) {
      return;
    }
    this.givenBytes += events.length;
    if (this.queuedBytes === 0 && !this.res.writableNeedDrain) {
      this.res.write(events);
    } else {
      this.enqueue(events);
    }
    const unread = this.held.update(this);
    if (unread <= this.held.slowBytes && !this.pace.isBehind) {
      return;
    }
    const {interrupts} = this;
    while (
      this.paceAt(performance.now()) === 'behind' &&
      interrupts === this.interrupts &&
      !this.isClosed
    ) {
      await this.waitForChange(this.pace.undecidedMs(performance.now()));
    }
  }

  /** Ends the wait of `write`: the target's stream was given up. */
  interrupt(): void {
    this.interrupts += 1;
    this.wake?.();
  }

  /** Adds the last bytes and ends the response once all is passed on. */
  end(last: Buffer): void {
    if (this.isClosed) {
      return;
    }
    this.isEnding = true;
    if (last.length > 0) {
      this.givenBytes += last.length;
      this.enqueue(last);
    }
    this.flush();
  }

  /** Resolves when nothing is unread, the caller has left, or after a time. */
  async whenEmpty(timeoutMs: number): Promise<void> {
    const endsAt = performance.now() + timeoutMs;
    while (this.bytes() > 0 && performance.now() < endsAt) {
      await this.waitForChange(EMPTY_CHECK_MS);
    }
  }

  /** Resolves when the ended response is taken, the caller left, or after a time. */
  whenDelivered(timeoutMs: number): Promise<Delivery> {
    const {res} = this;
    if (this.isClosed) {
      return Promise.resolve(this.delivery);
    }
    return new Promise(resolve => {
      const settle = (delivery: Delivery) => {
        clearTimeout(timer);
        res.removeListener('finish', onEnd);
        res.removeListener('close', onEnd);
        resolve(delivery);
      };
      const onEnd = () => settle(this.delivery);
      const timer = setTimeout(
        () => settle('timed-out'),
        Math.max(timeoutMs, 0),
      );
      res.once('finish', onEnd);
      res.once('close', onEnd);
    });
  }

  bytes(): number {
    return this.isClosed ? 0 : this.queuedBytes + this.res.writableLength;
  }

  rankAt(now: number, isCritical: boolean): heldBytes.CutRank | undefined {
    return this.paceAt(now) === 'slow' || isCritical
      ? {class: 'answer', weight: this.bytes()}
      : undefined;
  }

  cut(now: number): void {
    const bytes = this.bytes();
    closing.closeConnectionOf(this.res);
    this.free();
    this.onCut('answer', bytes, this.pace.behindMs(now));
  }

  override onRoom(): void {
    this.wake?.();
  }

  private get delivery(): Delivery {
    return this.isDelivered ? 'delivered' : 'caller-left';
  }

  private get isClosed(): boolean {
    return this.res.destroyed || this.isDelivered;
  }

  private paceAt(now: number): heldBytes.Pace {
    const unread = this.bytes();
    const taken = this.givenBytes - unread;
    return this.pace.note(now, unread, taken, this.held.slowBytes);
  }

  private enqueue(events: Buffer): void {
    this.queuedBytes += events.length;
    if (events.length >= BLOCK_BYTES) {
      this.closeBlock();
      this.blocks.push(events);
      return;
    }
    if (
      this.open !== undefined &&
      this.open.used + events.length > BLOCK_BYTES
    ) {
      this.closeBlock();
    }
    this.open ??= {block: Buffer.allocUnsafeSlow(BLOCK_BYTES), used: 0};
    events.copy(this.open.block, this.open.used);
    this.open.used += events.length;
  }

  private closeBlock(): void {
    if (this.open !== undefined) {
      this.blocks.push(this.open.block.subarray(0, this.open.used));
      this.open = undefined;
    }
  }

  /** Passes on as much as the response takes. */
  private flush(): void {
    const {res} = this;
    while (this.queuedBytes > 0 && !this.isClosed && !res.writableNeedDrain) {
      if (this.blocks.length === 0) {
        this.closeBlock();
      }
      const block = this.blocks.shift()!;
      this.queuedBytes -= block.length;
      res.write(block);
    }
    if (
      this.isEnding &&
      this.queuedBytes === 0 &&
      !this.isClosed &&
      !res.writableEnded
    ) {
      res.end();
    }
    this.held.update(this);
    this.wake?.();
  }

  /** Frees the bytes of a caller that is gone. */
  private free(): void {
    this.blocks.length = 0;
    this.open = undefined;
    this.queuedBytes = 0;
    this.held.remove(this);
    this.wake?.();
  }

  private waitForChange(timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(() => this.wake?.(), timeoutMs);
      this.wake = () => {
        clearTimeout(timer);
        this.wake = undefined;
        resolve();
      };
    });
  }
}
