/**
 * Writes log lines to a file descriptor asynchronously, one write at a time.
 * Further lines are queued; lines that do not fit into the queue are dropped
 * and counted.
 */
import * as fs from 'node:fs';

const MAX_QUEUED_BYTES = 256 * 1024;
const FULL_PIPE_RETRY_DELAY_MS = 20;

export class LineWriter {
  /** Lines dropped since the start. */
  dropped = 0;
  private queue: string[] = [];
  private queuedBytes = 0;
  private isWriting = false;

  constructor(private readonly descriptor: number) {}

  /** Queues a line; false if it was dropped. */
  write(line: string): boolean {
    if (this.queuedBytes + line.length > MAX_QUEUED_BYTES) {
      this.dropped += 1;
      return false;
    }
    this.queue.push(line);
    this.queuedBytes += line.length + 1;
    if (!this.isWriting) {
      this.isWriting = true;
      setImmediate(() => this.flush());
    }
    return true;
  }

  /** Writes queued lines synchronously before an exit, as far as possible. */
  flushNow(): void {
    const text = this.takeQueued();
    try {
      fs.writeSync(this.descriptor, text);
    } catch {
      // A closed or full pipe must not delay the exit.
      this.dropped += 1;
    }
  }

  private flush(): void {
    const bytes = Buffer.from(this.takeQueued());
    if (bytes.length === 0) {
      this.isWriting = false;
      return;
    }
    this.writeBytes(bytes);
  }

  private writeBytes(bytes: Buffer): void {
    fs.write(this.descriptor, bytes, (err, written) => {
      if (err?.code === 'EAGAIN') {
        setTimeout(() => this.writeBytes(bytes), FULL_PIPE_RETRY_DELAY_MS);
      } else if (err !== null) {
        this.dropped += 1;
        this.isWriting = false;
      } else if (written < bytes.length) {
        this.writeBytes(bytes.subarray(written));
      } else {
        this.flush();
      }
    });
  }

  private takeQueued(): string {
    const text = this.queue.map(line => line + '\n').join('');
    this.queue = [];
    this.queuedBytes = 0;
    return text;
  }
}
