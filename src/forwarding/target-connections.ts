/**
 * HTTP agents for connections to targets. An idle connection is closed when it
 * receives data, which belongs to no request, and well before the target's own
 * idle timeout, so that no request races with the target's close.
 */
import * as http from 'node:http';
import type * as net from 'node:net';

/** Idle connections kept per target. */
const MAX_IDLE_CONNECTIONS = 32;
/** Idle timeout if the target states none. */
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;
/** Share of the target's idle timeout after which a connection is closed. */
const IDLE_TIMEOUT_SHARE = 0.7;
/** Source: 32-bit signed milliseconds, the longest timers of the runtime. */
const MAX_IDLE_MS = 2 ** 31 - 1;
const SECOND_MS = 1_000;

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
    const seconds = keepAliveSecondsOf(socket);
    socket.setKeepAlive(true, SECOND_MS);
    socket.unref();
    const idleMs =
      seconds === undefined
        ? DEFAULT_IDLE_TIMEOUT_MS
        : Math.min(seconds * SECOND_MS * IDLE_TIMEOUT_SHARE, MAX_IDLE_MS);
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

/** Idle timeout in seconds from the Keep-Alive header of the last response. */
function keepAliveSecondsOf(socket: net.Socket): number | undefined {
  const last = (socket as {_httpMessage?: {res?: http.IncomingMessage}})
    ._httpMessage;
  const header = last?.res?.headers['keep-alive'];
  const text = Array.isArray(header) ? header[0] : header;
  const seconds = /timeout=(\d+)/.exec(String(text ?? ''))?.[1];
  return seconds === undefined ? undefined : Number(seconds);
}

/** Counts the sockets of agents, idle ones included. */
class SocketCounter {
  count = 0;

  watch(agent: http.Agent): http.Agent {
    const connecting = agent as unknown as ConnectingAgent;
    const {createConnection} = connecting;
    connecting.createConnection = (...args) => {
      const socket = createConnection.apply(agent, args);
      this.count += 1;
      socket.once('close', () => (this.count -= 1));
      return socket;
    };
    return agent;
  }
}

/** The method that opens an agent's sockets, which its type does not declare. */
interface ConnectingAgent {
  createConnection(...args: unknown[]): net.Socket;
}

export class TargetConnections {
  private readonly sockets = new SocketCounter();
  /** For requests that may be repeated: reuses connections. */
  readonly kept = this.sockets.watch(new KeepAliveAgent());
  /**
   * For requests that may not: a new connection each, which carries no late
   * response to another request and is not being closed by the target.
   */
  readonly fresh = this.sockets.watch(new http.Agent({keepAlive: false}));

  /** `maxSockets`: descriptors that connections to targets may take. */
  constructor(private readonly maxSockets = Infinity) {}

  /** False if all descriptors for targets are in use. */
  hasRoom(): boolean {
    if (this.sockets.count < this.maxSockets) {
      return true;
    }
    const idle = Object.values(this.kept.freeSockets).flatMap(
      sockets => sockets ?? [],
    );
    idle.forEach(socket => socket.destroy());
    return idle.length > 0;
  }

  close(): void {
    this.kept.destroy();
    this.fresh.destroy();
  }
}
