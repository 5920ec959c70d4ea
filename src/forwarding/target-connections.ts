/**
 * Connections to targets. A kept connection that says anything while it is
 * idle is closed: the bytes belong to no request. It is also closed well
 * before its target would close it, so that no request crosses that.
 */
import * as http from 'node:http';
import type * as net from 'node:net';

/** Idle connections kept to one target. */
const MAX_IDLE_CONNECTIONS = 32;
/** Longest idle time where the target names none, in milliseconds. */
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;
/** Part of the target's own idle time that is used. */
const IDLE_TIMEOUT_SHARE = 0.7;
const SECOND_MS = 1_000;

/** Keeps connections for the next request. */
class KeepAliveAgent extends http.Agent {
  private readonly onIdleData = new WeakMap<net.Socket, () => void>();

  constructor() {
    super({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_CONNECTIONS,
      scheduling: 'lifo',
    });
  }

  keepSocketAlive(socket: net.Socket): boolean {
    const hint = keepAliveSecondsOf(socket);
    socket.setKeepAlive(true, SECOND_MS);
    socket.unref();
    const idleMs =
      hint === undefined
        ? DEFAULT_IDLE_TIMEOUT_MS
        : hint * SECOND_MS * IDLE_TIMEOUT_SHARE;
    if (idleMs <= 0) {
      return false;
    }
    const close = () => socket.destroy();
    this.onIdleData.set(socket, close);
    socket.once('data', close);
    socket.setTimeout(idleMs);
    return true;
  }

  reuseSocket(socket: net.Socket, req: http.ClientRequest): void {
    const close = this.onIdleData.get(socket);
    if (close !== undefined) {
      socket.removeListener('data', close);
      this.onIdleData.delete(socket);
    }
    super.reuseSocket(socket, req);
  }
}

/** Seconds that the target keeps an idle connection, from its last answer. */
function keepAliveSecondsOf(socket: net.Socket): number | undefined {
  const last = (socket as {_httpMessage?: {res?: http.IncomingMessage}})
    ._httpMessage;
  const header = last?.res?.headers['keep-alive'];
  const text = Array.isArray(header) ? header[0] : header;
  const seconds = /timeout=(\d+)/.exec(String(text ?? ''))?.[1];
  return seconds === undefined ? undefined : Number(seconds);
}

/** The connections of an entry to its targets. */
export class TargetConnections {
  /** For requests that may be repeated. */
  readonly kept: http.Agent = new KeepAliveAgent();
  /**
   * For requests that may not: a connection of their own meets neither a
   * late answer to another request nor a close that crosses it.
   */
  readonly fresh: http.Agent = new http.Agent({keepAlive: false});

  close(): void {
    this.kept.destroy();
    this.fresh.destroy();
  }
}
