/**
 * Splits a stream of server-sent events into complete events, byte for byte, so
 * that a stream never ends within an event. Expects lines that end in LF or
 * CRLF. Source: WHATWG HTML, section 9.2.
 */
import {BodyBuffer} from '../http/body-buffer';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const MAX_EVENT_BYTES = 1024 * 1024;

export class EventSplitter {
  /** Id of the last complete event that had one. */
  lastId: string | undefined;
  /** Complete events so far. */
  count = 0;
  /** The event that is not complete yet. */
  private readonly pending = new BodyBuffer();
  /** Bytes of its last line. */
  private lineLength = 0;
  private isLineReturn = false;

  /** Bytes of an event that is not complete yet. */
  get partial(): Buffer {
    const bytes = this.pending.take();
    if (bytes.length > 0) {
      this.pending.add(bytes);
    }
    return bytes;
  }

  get isTooLong(): boolean {
    return this.pending.size > MAX_EVENT_BYTES;
  }

  /** Drops the incomplete event; another target sends it again. */
  discardPartial(): void {
    this.pending.clear();
    this.lineLength = 0;
  }

  /** Adds a chunk; returns the bytes of all events that are now complete. */
  push(chunk: Buffer): Buffer {
    const complete: Buffer[] = [];
    let begin = 0;
    // Each byte is looked at once, however small the chunks of an event are.
    for (let at = 0; at < chunk.length; at += 1) {
      const byte = chunk[at]!;
      if (byte !== LINE_FEED) {
        this.lineLength += 1;
        this.isLineReturn = byte === CARRIAGE_RETURN;
        continue;
      }
      const isBlank =
        this.lineLength === 0 || (this.lineLength === 1 && this.isLineReturn);
      this.lineLength = 0;
      if (isBlank) {
        this.addPending(chunk.subarray(begin, at + 1));
        const event = this.pending.take();
        this.recordEvent(event);
        complete.push(event);
        begin = at + 1;
      }
    }
    this.addPending(chunk.subarray(begin));
    return complete.length === 1 ? complete[0]! : Buffer.concat(complete);
  }

  private addPending(bytes: Buffer): void {
    if (bytes.length > 0) {
      this.pending.add(bytes);
    }
  }

  private recordEvent(event: Buffer): void {
    const id = /^id: ?([^\r\n]*)/m.exec(event.toString('latin1'))?.[1];
    this.count += 1;
    this.lastId = id ?? this.lastId;
  }
}
