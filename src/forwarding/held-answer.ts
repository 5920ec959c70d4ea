/**
 * Bytes of a plain answer: read from its target, then unread by its caller. Its
 * reading is not paused above the bound: several answers would wait for each
 * other until their deadlines. If it must be cut off while it arrives, the send
 * ends, and its caller can still be answered.
 */
import type {Readable, Writable} from 'node:stream';
import type {BodyObserver} from '../http/body';
import * as closing from '../http/closing';
import * as heldBytes from '../http/held-bytes';

export class HeldAnswer extends heldBytes.Holder implements BodyObserver {
  private readonly pace = new heldBytes.ReaderPace();
  private readBytes = 0;
  /** Ends the reading of the answer; undefined: it is not being read. */
  private stopReading: (() => void) | undefined;
  /** Size of the answer once it was given to the caller; undefined: not yet. */
  private givenBytes: number | undefined;

  constructor(
    private readonly res: Writable,
    private readonly held: heldBytes.HeldBytes,
    private readonly onCut: heldBytes.CutListener,
  ) {
    super();
  }

  onStart(_stream: Readable, stop: () => void): void {
    this.readBytes = 0;
    this.stopReading = stop;
  }

  onBytes(size: number): void {
    this.readBytes = size;
    this.held.update(this);
  }

  /** Call after the response's last bytes were written. */
  noteGiven(size: number): void {
    this.givenBytes = size;
    const remove = () => this.held.remove(this);
    this.res.once('finish', remove);
    this.res.once('close', remove);
    this.pace.note(performance.now(), size, 0, this.held.slowBytes);
    this.held.update(this);
  }

  /** Drops what was read, unless it was given to the caller. */
  discard(): void {
    if (this.givenBytes === undefined) {
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

  rankAt(now: number, isCritical: boolean): heldBytes.CutRank | undefined {
    if (this.givenBytes === undefined && this.stopReading === undefined) {
      return undefined;
    }
    if (isCritical) {
      return {class: 'answer', weight: this.bytes()};
    }
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
    const {stopReading} = this;
    if (this.givenBytes === undefined && stopReading !== undefined) {
      this.stopReading = undefined;
      this.readBytes = 0;
      stopReading();
      this.onCut('arriving-answer', bytes, 0);
      return;
    }
    closing.closeConnectionOf(this.res);
    this.onCut('answer', bytes, this.pace.behindMs(now));
  }
}
