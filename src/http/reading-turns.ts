/**
 * Connections whose bodies come in many small chunks are read in turn. Such chunks
 * cost far more processor time per byte than others, and the runtime reads up to 32
 * buffers of a connection before it looks at the next one.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';
import * as readingGate from './reading-gate';

/** Chunks after which a body may count as finely divided. */
const MIN_CHUNKS = 512;
/** Mean size of a chunk below which it does. */
const MAX_MEAN_BYTES = 512;
/** Time in which the chunks of an answer are counted: events may go on for long. */
const ANSWER_WINDOW_MS = 1_000;
/** Longest turn of a connection that sends nothing. */
const IDLE_TURN_MS = 5;

class ReadingTurns {
  /** In the order of their next turns. */
  private readonly members = new Set<net.Socket>();
  private current: net.Socket | undefined;
  /** Monotonic time at which the current one's data arrived; undefined: none. */
  private readAt: number | undefined;
  private timer: NodeJS.Timeout | undefined;
  private immediate: NodeJS.Immediate | undefined;
  /** Those that leave when they are closed. */
  private readonly watched = new WeakSet<net.Socket>();

  has(socket: net.Socket): boolean {
    return this.members.has(socket);
  }

  /** The connection takes turns until it is closed or leaves. */
  join(socket: net.Socket): void {
    if (this.members.has(socket)) {
      return;
    }
    this.members.add(socket);
    readingGate.pause(socket, this);
    if (!this.watched.has(socket)) {
      this.watched.add(socket);
      socket.once('close', () => this.leave(socket));
    }
    if (this.current === undefined) {
      this.scheduleNext(0);
    } else if (this.members.size === 2 && this.readAt === undefined) {
      // The turn of one that was alone has no end.
      this.scheduleNext(IDLE_TURN_MS);
    }
  }

  leave(socket: net.Socket): void {
    if (!this.members.delete(socket)) {
      return;
    }
    readingGate.resume(socket, this);
    if (this.current === socket) {
      this.current = undefined;
      this.scheduleNext(0);
    }
  }

  /** Call with each chunk; ends the turn once its first buffer was read. */
  noteChunk(socket: net.Socket): void {
    if (this.current === socket && this.readAt === undefined) {
      this.readAt = performance.now();
      readingGate.pause(socket, this);
      setImmediate(() => this.noteBufferRead(socket));
    }
  }

  private noteBufferRead(socket: net.Socket): void {
    if (this.current === socket && this.readAt !== undefined) {
      const isAlone = this.members.size === 1;
      // Leaves the other half of the time to all other connections.
      const restMs = isAlone ? 0 : performance.now() - this.readAt;
      this.scheduleNext(restMs);
    }
  }

  private scheduleNext(delayMs: number): void {
    clearTimeout(this.timer);
    clearImmediate(this.immediate);
    if (delayMs === 0) {
      this.immediate = setImmediate(() => this.next());
    } else {
      this.timer = setTimeout(() => this.next(), delayMs);
    }
  }

  private next(): void {
    const {current} = this;
    if (current !== undefined && this.members.delete(current)) {
      readingGate.pause(current, this);
      this.members.add(current);
    }
    const [socket] = this.members;
    this.current = socket;
    this.readAt = undefined;
    if (socket !== undefined) {
      readingGate.resume(socket, this);
      if (this.members.size > 1) {
        this.scheduleNext(IDLE_TURN_MS);
      }
    }
  }
}

/** One for the process: what is shared is its event loop. */
const turns = new ReadingTurns();

/** Finds out whether the body of a request or an answer is finely divided. */
export class ChunkMeter {
  private count = 0;
  private bytes = 0;
  private windowEndsAt: number;

  /** `windowMs`: time for which chunks are counted together. */
  constructor(
    private readonly message: http.IncomingMessage,
    private readonly windowMs: number,
  ) {
    this.windowEndsAt = performance.now() + windowMs;
  }

  /** Call with each chunk. */
  note(chunkBytes: number): void {
    const {socket} = this.message;
    if (this.windowMs < Infinity && performance.now() > this.windowEndsAt) {
      this.windowEndsAt = performance.now() + this.windowMs;
      this.count = 0;
      this.bytes = 0;
    }
    this.count += 1;
    this.bytes += chunkBytes;
    if (turns.has(socket)) {
      turns.noteChunk(socket);
    } else if (
      this.count >= MIN_CHUNKS &&
      this.bytes < this.count * MAX_MEAN_BYTES
    ) {
      turns.join(socket);
    }
  }

  /** Call when the body has ended. */
  close(): void {
    turns.leave(this.message.socket);
  }
}

export function meterOf(message: http.IncomingMessage): ChunkMeter {
  const isRequest = message.method !== undefined && message.method !== null;
  return new ChunkMeter(message, isRequest ? Infinity : ANSWER_WINDOW_MS);
}

/** Reads and drops the rest of a request's body. */
export function dropBody(req: http.IncomingMessage): void {
  if (req.complete) {
    req.resume();
    return;
  }
  const meter = meterOf(req);
  req.on('data', (chunk: Buffer) => meter.note(chunk.length));
  req.once('end', () => meter.close());
}
