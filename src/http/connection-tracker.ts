/**
 * The connections of a server and the requests open on them: bounds what they
 * hold, and closes idle ones during a planned stop. The methods of `http.Server`
 * for that also destroy connections whose response has ended but has not been
 * flushed.
 */
import type * as http from 'node:http';
import * as net from 'node:net';
import * as closing from './closing';
import type {CloseReason, ConnectionLimits} from './connection-limits';
import type {HeldBytes} from './held-bytes';
import * as readingGate from './reading-gate';
import {RequestQueue} from './request-queue';
import type {QueuedHandler} from './request-queue';

const POLL_INTERVAL_MS = 50;
/** Entries of `rawHeaders`, two per field, whose memory is not counted. */
const UNCOUNTED_HEADERS = 128;
/** Source: RFC 6585, section 5. */
const HEADER_FIELDS_TOO_LARGE = 431;

interface ConnectionState {
  /** Requests whose response has not been flushed. */
  readonly open: Set<http.ServerResponse>;
  /** Bytes received before the last response ended. */
  settledBytes: number;
  /** Monotonic time of the last response, or of the connection. */
  idleSince: number;
  /** Undefined until a request arrives before the response to an earlier one. */
  queue: RequestQueue | undefined;
}

export interface TrackerOptions {
  readonly limits: ConnectionLimits;
  /** Counts what waiting requests and large heads hold. */
  readonly held: HeldBytes;
  readonly handler: QueuedHandler;
  /** Called when a connection is closed because of a limit. */
  onClose(reason: CloseReason, peer: string): void;
}

export class ConnectionTracker {
  private readonly connections = new Map<net.Socket, ConnectionState>();
  private openRequests = 0;
  /** No connection is read in this turn of the event loop. */
  private isHolding = false;

  /** Without options, the server's own listener handles all requests. */
  constructor(
    private readonly server: http.Server,
    private readonly options?: TrackerOptions,
  ) {
    if (options !== undefined) {
      // One more than allowed: the runtime drops further ones silently.
      server.maxHeadersCount = options.limits.maxHeaderFields + 1;
    }
    server.on('connection', (socket: net.Socket) => this.add(socket));
    server.on('request', (req, res) => this.receive(req, res));
  }

  /** Open connections. */
  get size(): number {
    return this.connections.size;
  }

  /** Requests whose response has not been flushed. */
  get openCount(): number {
    return this.openRequests;
  }

  /** Accepts no more connections; open ones are kept. */
  stopAccepting(): void {
    // The method of http.Server destroys connections with unflushed responses.
    net.Server.prototype.close.call(this.server);
  }

  /**
   * Closes connections that have been idle for at least `minIdleMs`. One that has
   * received a part of its next request is not idle.
   */
  closeIdle(minIdleMs: number): void {
    const now = performance.now();
    for (const [socket, state] of this.connections) {
      const isReceiving = socket.bytesRead > state.settledBytes;
      const isInUse = state.open.size > 0 || isReceiving;
      if (!isInUse && now - state.idleSince >= minIdleMs) {
        socket.destroy();
      }
    }
  }

  /**
   * Accepts no more connections and closes the others as they become idle.
   * Resolves when none is left, or after `timeoutMs`.
   */
  async drain(timeoutMs: number, minIdleMs = 0): Promise<void> {
    const endsAt = performance.now() + timeoutMs;
    this.stopAccepting();
    this.closeIdle(minIdleMs);
    while (this.size > 0 && performance.now() < endsAt) {
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
      this.closeIdle(minIdleMs);
    }
  }

  /** Closes the server and all connections at once. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private add(socket: net.Socket): void {
    if (!this.makeRoom()) {
      this.closeConnection(socket, 'connections');
      return;
    }
    const state: ConnectionState = {
      open: new Set(),
      settledBytes: 0,
      idleSince: performance.now(),
      queue: undefined,
    };
    this.connections.set(socket, state);
    socket.once('close', () => this.remove(socket, state));
    if (this.isHolding) {
      readingGate.pause(socket, this);
    }
  }

  /** Closes the connection that has been idle for longest if all are taken. */
  private makeRoom(): boolean {
    const max = this.options?.limits.maxConnections ?? Infinity;
    if (this.connections.size < max) {
      return true;
    }
    let idlest: [net.Socket, ConnectionState] | undefined;
    for (const one of this.connections) {
      if (
        one[1].open.size === 0 &&
        (idlest === undefined || one[1].idleSince < idlest[1].idleSince)
      ) {
        idlest = one;
      }
    }
    if (idlest === undefined) {
      return false;
    }
    const [socket] = idlest;
    this.connections.delete(socket);
    this.closeConnection(socket, 'idle');
    return true;
  }

  private remove(socket: net.Socket, state: ConnectionState): void {
    this.connections.delete(socket);
    state.queue?.close();
    for (const res of state.open) {
      // The runtime tells only the response that is being sent.
      if (res.socket === null) {
        res.destroy();
        res.emit('close');
      }
    }
  }

  private receive(req: http.IncomingMessage, res: http.ServerResponse): void {
    const {options} = this;
    const {socket} = req;
    const state = this.connections.get(socket);
    if (state === undefined || socket.destroyed) {
      // What was parsed after the connection had been closed.
      return;
    }
    this.noteRequest(state, req, res);
    if (options === undefined) {
      return;
    }
    const {length} = req.rawHeaders;
    if (length > options.limits.maxHeaderFields * 2) {
      this.refuseHead(req, res);
    } else if (state.open.size === 1 && length <= UNCOUNTED_HEADERS) {
      options.handler(req, res, performance.now());
    } else {
      state.queue ??= new RequestQueue(
        socket,
        {...options, onCut: reason => this.closeConnection(socket, reason)},
        () => state.open.size,
      );
      state.queue.receive(req, res);
    }
  }

  private refuseHead(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): void {
    const {options} = this;
    options?.onClose('header-fields', req.socket.remoteAddress ?? '');
    const text = `more than ${options?.limits.maxHeaderFields} header fields\n`;
    const body = Buffer.from(text);
    res.writeHead(HEADER_FIELDS_TOO_LARGE, {
      connection: 'close',
      'content-type': 'text/plain',
      'content-length': body.length,
    });
    closing.endAfterRequest(req, res, body);
  }

  private noteRequest(
    state: ConnectionState,
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): void {
    const {socket} = req;
    state.open.add(res);
    this.openRequests += 1;
    res.once('close', () => {
      state.open.delete(res);
      state.settledBytes = socket.bytesRead;
      state.idleSince = performance.now();
      this.openRequests -= 1;
      state.queue?.noteEnd(res);
      if (!req.complete && !socket.destroyed) {
        closing.limitRest(req, () =>
          this.closeConnection(socket, 'refused-body'),
        );
      }
    });
  }

  private closeConnection(socket: net.Socket, reason: CloseReason): void {
    if (socket.destroyed) {
      return;
    }
    this.options?.onClose(reason, socket.remoteAddress ?? '');
    socket.destroy();
    if (reason === 'memory' || reason === 'requests-ahead') {
      this.holdReads();
    }
  }

  /**
   * Reads no connection until those that were closed are gone. The runtime frees the
   * requests of a closed connection at the end of a turn of the event loop, and one
   * turn may read all connections.
   */
  private holdReads(): void {
    if (this.isHolding) {
      return;
    }
    this.isHolding = true;
    for (const socket of this.connections.keys()) {
      readingGate.pause(socket, this);
    }
    // Connections close after the first of them.
    setImmediate(() => setImmediate(() => this.resumeReads()));
  }

  private resumeReads(): void {
    this.isHolding = false;
    for (const socket of this.connections.keys()) {
      readingGate.resume(socket, this);
    }
  }
}
