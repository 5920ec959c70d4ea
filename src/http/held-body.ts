/**
 * Bytes of a request's body, from its first byte until the request has ended:
 * it may be sent again until then.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import type {Readable, Writable} from 'node:stream';
import {Result, fail} from '../result';
import * as body from './body';
import * as heldBytes from './held-bytes';
import * as readingGate from './reading-gate';

/** Size from which a body is worth more to cut off than a smaller one. */
const LARGE_BYTES = 256 * 1024;

/** Somebody who is to take bytes, or to send them. */
interface Transfer {
  readonly kind: 'upload' | 'send';
  readonly startedAt: number;
  /** Bytes that have been moved. */
  moved(): number;
  /** True if it may be cut off and more is to be moved. */
  mayCut(): boolean;
  stop(): void;
}

/**
 * Reads the body of a request, which counts as held until the response has ended.
 * Fails with `body-too-slow` if it was cut off.
 */
export function readCallerBody(
  req: http.IncomingMessage,
  res: http.ServerResponse,
  limit: body.BodyLimit,
  held: heldBytes.HeldBytes,
): Promise<Result<Buffer, body.BodyError>> {
  const heldBody = new HeldBody(held, () => undefined);
  res.once('close', () => heldBody.release());
  return heldBody.read(req, limit);
}

export class HeldBody extends heldBytes.Holder implements body.BodyObserver {
  private size = 0;
  private transfer: Transfer | undefined;
  /** The caller's connection while the body is read from it. */
  private source: net.Socket | undefined;
  private isStopped = false;

  constructor(
    private readonly held: heldBytes.HeldBytes,
    private readonly onCut: heldBytes.CutListener,
  ) {
    super();
  }

  onStart(source: Readable, stop: () => void): void {
    this.source =
      source instanceof http.IncomingMessage ? source.socket : undefined;
    this.transfer = {
      kind: 'upload',
      startedAt: performance.now(),
      moved: () => this.size,
      mayCut: () => true,
      stop,
    };
  }

  onBytes(size: number): void {
    this.size = size;
    this.held.update(this);
    if (this.held.isOver && this.source !== undefined) {
      readingGate.pause(this.source, this);
    }
  }

  /** Reads a body of a caller; fails with `body-too-slow` if it was cut off. */
  async read(
    req: http.IncomingMessage,
    limit: body.BodyLimit,
  ): Promise<Result<Buffer, body.BodyError>> {
    const read = await body.readBody(req, limit, this);
    this.noteRead();
    return !read.ok && this.isStopped ? fail({kind: 'body-too-slow'}) : read;
  }

  /** Ends the reading of the body, if it is being read. */
  stopUpload(): void {
    const {transfer} = this;
    if (transfer?.kind === 'upload') {
      this.isStopped = true;
      this.size = 0;
      this.noteRead();
      this.held.remove(this);
      transfer.stop();
    }
  }

  /** Call when the body begins to be sent; `mayRepeat`: it may be cut off. */
  startSend(req: Writable, mayRepeat: boolean): void {
    this.isStopped = false;
    this.transfer = {
      kind: 'send',
      startedAt: performance.now(),
      moved: () => this.size - req.writableLength,
      mayCut: () => mayRepeat && req.writableLength > 0 && !req.destroyed,
      stop: () => req.destroy(),
    };
  }

  /** Call when the target has answered or the send has failed; true: cut off. */
  endSend(): boolean {
    this.transfer = undefined;
    return this.isStopped;
  }

  /** Counts the body no longer. */
  release(): void {
    this.size = 0;
    this.noteRead();
    this.held.remove(this);
  }

  bytes(): number {
    return this.size;
  }

  rankAt(now: number, isCritical: boolean): heldBytes.CutRank | undefined {
    const {transfer} = this;
    if (transfer === undefined || !transfer.mayCut()) {
      return undefined;
    }
    const ms = now - transfer.startedAt;
    if (ms < heldBytes.SLOW_AFTER_MS && !isCritical) {
      return undefined;
    }
    return {
      class: this.size > LARGE_BYTES ? 'large-body' : 'small-body',
      weight: ms / Math.max(transfer.moved(), 1),
    };
  }

  cut(now: number): void {
    const {transfer, size} = this;
    this.isStopped = true;
    this.size = 0;
    this.noteRead();
    if (transfer !== undefined) {
      transfer.stop();
      this.onCut(transfer.kind, size, now - transfer.startedAt);
    }
  }

  override onRoom(): void {
    this.resumeSource();
  }

  /** The body is not read any more. */
  private noteRead(): void {
    this.resumeSource();
    this.source = undefined;
    this.transfer = undefined;
  }

  private resumeSource(): void {
    if (this.source !== undefined) {
      readingGate.resume(this.source, this);
    }
  }
}
