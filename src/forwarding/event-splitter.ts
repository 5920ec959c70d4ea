/**
 * Splits a stream of server-sent events into complete events, byte for byte, so
 * that a stream never ends within an event. Expects lines that end in LF or
 * CRLF. Source: WHATWG HTML, section 9.2.
 */
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const MAX_EVENT_BYTES = 1024 * 1024;

export class EventSplitter {
  /** Id of the last complete event that had one. */
  lastId: string | undefined;
  /** Complete events so far. */
  count = 0;
  private pending: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not complete yet. */
  get partial(): Buffer {
    return this.pending;
  }

  get isTooLong(): boolean {
    return this.pending.length > MAX_EVENT_BYTES;
  }

  /** Drops the incomplete event; another target sends it again. */
  discardPartial(): void {
    this.pending = Buffer.alloc(0);
  }

  /** Adds a chunk; returns the bytes of all events that are now complete. */
  push(chunk: Buffer): Buffer {
    const all =
      this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    let begin = 0;
    let lineStart = 0;
    for (let at = 0; at < all.length; at += 1) {
      if (all[at] !== LINE_FEED) {
        continue;
      }
      const length = at - lineStart;
      const isBlank =
        length === 0 || (length === 1 && all[lineStart] === CARRIAGE_RETURN);
      if (isBlank) {
        this.recordEvent(all.subarray(begin, at + 1));
        begin = at + 1;
      }
      lineStart = at + 1;
    }
    this.pending = all.subarray(begin);
    return all.subarray(0, begin);
  }

  private recordEvent(event: Buffer): void {
    const id = /^id: ?([^\r\n]*)/m.exec(event.toString('latin1'))?.[1];
    this.count += 1;
    this.lastId = id ?? this.lastId;
  }
}
