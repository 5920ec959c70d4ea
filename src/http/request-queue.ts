/**
 * The pipelined requests of a connection: some are handled concurrently, the others
 * wait in order, and the connection is not read meanwhile. One read may bring
 * thousands of requests, which the runtime parses at once, so their number is
 * bounded as well.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';
import type {CloseReason, ConnectionLimits} from './connection-limits';
import * as heldBytes from './held-bytes';
import * as readingGate from './reading-gate';

/** Memory of a request and its response, before it is handled. */
const REQUEST_BYTES = 4 * 1024;
/** Further memory while it is handled: the call, its timers, its target's request. */
const HANDLED_BYTES = 20 * 1024;
/** Memory of a header's name or value, beside its characters. */
const HEADER_BYTES = 64;
/**
 * Memory of what is buffered of a body in chunks while its request waits: one read
 * of the connection in chunks of one byte.
 */
const CHUNKED_BODY_BYTES = 4 * 1024 * 1024;

/** `arrivedAt`: monotonic time in milliseconds. */
export type QueuedHandler = (
  req: http.IncomingMessage,
  res: http.ServerResponse,
  arrivedAt: number,
) => void;

export interface QueueOptions {
  readonly limits: ConnectionLimits;
  readonly held: heldBytes.HeldBytes;
  readonly handler: QueuedHandler;
  /** Closes the connection. */
  onCut(reason: CloseReason): void;
}

interface WaitingRequest {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  readonly arrivedAt: number;
}

export class RequestQueue extends heldBytes.Holder {
  private waiting: WaitingRequest[] = [];
  /** Memory of the waiting and the handled requests that were queued. */
  private readonly costs = new Map<http.ServerResponse, number>();
  private requestBytes = 0;
  /** Waiting requests whose body comes in chunks. */
  private chunkedCount = 0;
  private isScheduled = false;
  private isClosed = false;

  constructor(
    private readonly socket: net.Socket,
    private readonly options: QueueOptions,
    /** Requests whose response has not been flushed, waiting ones included. */
    private readonly openCount: () => number,
  ) {
    super();
  }

  /** Handles a request or lets it wait. */
  receive(req: http.IncomingMessage, res: http.ServerResponse): void {
    const {limits, held, onCut} = this.options;
    if (this.waiting.length >= limits.maxWaitingRequests) {
      onCut('requests-ahead');
      return;
    }
    const bytes = REQUEST_BYTES + req.rawHeaders.length * HEADER_BYTES;
    this.costs.set(res, bytes);
    this.requestBytes += bytes;
    this.waiting.push({req, res, arrivedAt: performance.now()});
    this.chunkedCount += isChunked(req) ? 1 : 0;
    this.startNext();
    if (this.waiting.length > 0) {
      readingGate.pause(this.socket, this);
    }
    held.update(this);
  }

  /** Call when a response has been flushed or its connection has closed. */
  noteEnd(res: http.ServerResponse): void {
    if (this.isClosed) {
      return;
    }
    this.requestBytes -= this.costs.get(res) ?? 0;
    this.costs.delete(res);
    this.options.held.update(this);
    this.schedule();
  }

  /** Drops the waiting requests; call when the connection has closed. */
  close(): void {
    this.isClosed = true;
    this.waiting = [];
    this.costs.clear();
    this.requestBytes = 0;
    this.chunkedCount = 0;
    this.options.held.remove(this);
  }

  bytes(): number {
    const chunkedBytes = this.chunkedCount > 0 ? CHUNKED_BODY_BYTES : 0;
    return this.requestBytes + chunkedBytes + this.unreadBytes();
  }

  rankAt(_now: number, isCritical: boolean): heldBytes.CutRank | undefined {
    // A caller with one request is judged by how it reads the answer.
    return this.costs.size > 1 || isCritical
      ? {class: 'connection', weight: this.bytes()}
      : undefined;
  }

  cut(): void {
    this.close();
    this.options.onCut('memory');
  }

  /** Bytes of responses that the caller has not read. */
  private unreadBytes(): number {
    const handledCount = this.costs.size - this.waiting.length;
    let sum = 0;
    let at = 0;
    // The handled requests come first.
    for (const res of this.costs.keys()) {
      if (at >= handledCount) {
        break;
      }
      sum += res.writableLength;
      at += 1;
    }
    return sum;
  }

  /** True if another request may be handled now. */
  private get hasRoom(): boolean {
    const {limits, held} = this.options;
    const max = held.isOver ? 1 : limits.maxConcurrentRequests;
    return this.openCount() - this.waiting.length < max;
  }

  private startNext(): void {
    const next = this.hasRoom ? this.waiting.shift() : undefined;
    if (next !== undefined) {
      this.chunkedCount -= isChunked(next.req) ? 1 : 0;
      this.costs.set(next.res, this.costs.get(next.res)! + HANDLED_BYTES);
      this.requestBytes += HANDLED_BYTES;
      this.options.handler(next.req, next.res, next.arrivedAt);
    }
  }

  /**
   * Starts one request a turn of the event loop: many that are refused at once
   * must not keep other connections waiting.
   */
  private schedule(): void {
    if (this.isScheduled) {
      return;
    }
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      if (this.isClosed) {
        return;
      }
      this.startNext();
      if (this.waiting.length === 0) {
        readingGate.resume(this.socket, this);
      } else if (this.hasRoom) {
        this.schedule();
      }
    });
  }
}

function isChunked(req: http.IncomingMessage): boolean {
  return req.headers['transfer-encoding'] !== undefined;
}
