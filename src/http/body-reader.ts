/**
 * Reads a body as its consumer takes it. The runtime would keep a buffer of several
 * hundred bytes for each small chunk, so these are joined, and the connection is
 * paused while enough is waiting.
 */
import type * as http from 'node:http';
import {BodyBuffer} from './body-buffer';
import * as readingGate from './reading-gate';
import * as readingTurns from './reading-turns';

/** Bytes that wait for the consumer at most, and what one more read adds. */
const MAX_WAITING_BYTES = 64 * 1024;

export class BodyReader {
  private readonly waiting = new BodyBuffer();
  private readonly meter: readingTurns.ChunkMeter;
  private isEnded = false;
  private failure: Error | undefined;
  private wake: () => void = () => undefined;

  constructor(private readonly message: http.IncomingMessage) {
    this.meter = readingTurns.meterOf(message);
    message.on('data', (chunk: Buffer) => this.add(chunk));
    message.once('end', () => this.noteEnd());
    message.once('error', err => this.noteEnd(err));
    message.once('close', () => this.noteEnd(new Error('aborted')));
    if (message.destroyed) {
      this.noteEnd(new Error('aborted'));
    }
  }

  /** The bytes that arrived; undefined: the body has ended. Rejects if it broke off. */
  async next(): Promise<Buffer | undefined> {
    for (;;) {
      if (this.waiting.size > 0) {
        const bytes = this.waiting.take();
        readingGate.resume(this.message.socket, this);
        return bytes;
      }
      if (this.failure !== undefined) {
        throw this.failure;
      }
      if (this.isEnded) {
        return undefined;
      }
      await new Promise<void>(resolve => (this.wake = resolve));
    }
  }

  /** Ends a wait for more bytes, whatever the message does. */
  interrupt(): void {
    this.noteEnd(new Error('interrupted'));
  }

  /** Stops reading in turn with others; the caller destroys the message. */
  close(): void {
    this.meter.close();
    readingGate.resume(this.message.socket, this);
  }

  private add(chunk: Buffer): void {
    this.meter.note(chunk.length);
    this.waiting.add(chunk);
    if (this.waiting.size >= MAX_WAITING_BYTES) {
      readingGate.pause(this.message.socket, this);
    }
    this.wake();
  }

  private noteEnd(failure?: Error): void {
    if (!this.isEnded) {
      this.isEnded = true;
      this.failure = failure;
      this.close();
      this.wake();
    }
  }
}
