/** Bytes of a plain answer: read from its target, then unread by its caller. */
import type {Readable, Writable} from 'node:stream';
import type {BodyObserver} from '../http/body';
import * as heldBytes from './held-bytes';

export class HeldAnswer extends heldBytes.Holder implements BodyObserver {
  private readonly pace = new heldBytes.ReaderPace();
  /** The target's answer while it is read. */
  private source: Readable | undefined;
  private readBytes = 0;
  /** Size of the answer once it was given to the caller; undefined: not yet. */
  private givenBytes: number | undefined;

  constructor(
    private readonly res: Writable,
    private readonly held: heldBytes.HeldBytes,
    private readonly onCut: heldBytes.CutListener,
  ) {
    super();
  }

  onStart(source: Readable): void {
    this.source = source;
    this.readBytes = 0;
  }

  onBytes(size: number): void {
    this.readBytes = size;
    this.held.update(this);
    if (this.held.isOver) {
      this.source?.pause();
    }
  }

  /** Call after the response's last bytes were written. */
  noteGiven(size: number): void {
    this.givenBytes = size;
    this.source = undefined;
    const remove = () => this.held.remove(this);
    this.res.once('finish', remove);
    this.res.once('close', remove);
    this.held.update(this);
  }

  /** Drops what was read, unless it was given to the caller. */
  discard(): void {
    if (this.givenBytes === undefined) {
      this.source = undefined;
      this.readBytes = 0;
      this.held.remove(this);
    }
  }

  bytes(): number {
    if (this.givenBytes === undefined) {
      return this.readBytes;
    }
    return this.res.destroyed ? 0 : this.res.writableLength;
  }

  /** An answer that is still read can't be cut off: its reading is paused. */
  rankAt(now: number): heldBytes.CutRank | undefined {
    if (this.givenBytes === undefined) {
      return undefined;
    }
    const unread = this.bytes();
    const taken = this.givenBytes - unread;
    const pace = this.pace.note(now, unread, taken, this.held.slowBytes);
    return pace === 'slow' ? {class: 'answer', weight: unread} : undefined;
  }

  cut(now: number): void {
    const bytes = this.bytes();
    this.res.destroy();
    this.onCut('answer', bytes, this.pace.behindMs(now));
  }

  override onRoom(): void {
    this.source?.resume();
  }
}
