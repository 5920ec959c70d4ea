/** Starting and stopping HTTP servers. */
import * as http from 'node:http';
import * as net from 'node:net';
import {SILENT_LOG} from '../observability/log';
import {Metrics} from '../observability/metrics';
import {joinAddress, splitAddress} from './address';
import * as closing from './closing';
import {ClosureLog} from './closure-log';
import * as connectionLimits from './connection-limits';
import {ConnectionTracker} from './connection-tracker';
import {HeldBytes} from './held-bytes';
import * as portWait from './port-wait';
import type {QueuedHandler} from './request-queue';

const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
/** Interval of the checks for requests that are received too slowly. */
const CONNECTIONS_CHECK_INTERVAL_MS = 5_000;

/** Handles one request; a rejection is passed to `onFault`. */
export type Handler = (
  req: http.IncomingMessage,
  res: http.ServerResponse,
) => Promise<void>;

/** A listening server. */
export interface Listener {
  /** The address it is bound to. */
  readonly address: string;
  /**
   * Stops accepting and closes connections as they become idle. Resolves when none
   * is left, or after `timeoutMs`.
   */
  drain(timeoutMs: number): Promise<void>;
  /** Stops accepting and closes all connections at once. */
  close(): Promise<void>;
}

/** The limits on a server's connections and the log of those it closes. */
export interface ServerGuard {
  /** Name of the server in logs and metrics. */
  readonly listener: string;
  readonly limits: connectionLimits.ConnectionLimits;
  readonly held: HeldBytes;
  readonly closures: ClosureLog;
}

export interface GuardedServer {
  readonly server: http.Server;
  readonly connections: ConnectionTracker;
}

/** A server whose connections are bounded; it is not bound to an address yet. */
export function createServer(
  handler: QueuedHandler,
  guard: ServerGuard,
): GuardedServer {
  const server = http.createServer({
    connectionsCheckingInterval: CONNECTIONS_CHECK_INTERVAL_MS,
  });
  const {limits, held, closures, listener} = guard;
  const connections = new ConnectionTracker(server, {
    limits,
    held,
    handler,
    onClose: (reason, peer) => closures.note(listener, reason, peer),
  });
  return {server, connections};
}

/**
 * Listens on an address; port 0 picks a free one. Rejects with the system's
 * error, such as `EADDRINUSE`; with `wait`, only once that waits no longer.
 */
export async function listen(
  address: string,
  handler: Handler,
  onFault: (err: Error) => void,
  guard: ServerGuard = unguarded(),
  wait?: portWait.PortWait,
): Promise<Listener> {
  const {server, connections} = createServer((req, res) => {
    handler(req, res).catch(err => {
      onFault(err as Error);
      closing.closeConnectionOf(res);
    });
  }, guard);
  server.headersTimeout = HEADERS_TIMEOUT_MS;
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  await (wait?.bind(address, server) ?? bind(address, server));
  server.on('error', onFault);
  const bound = server.address() as net.AddressInfo;
  return {
    address: joinAddress(splitAddress(address).host, bound.port),
    drain: timeoutMs => connections.drain(timeoutMs),
    close: () => closeServer(server),
  };
}

/** For servers that only this system's own tests and stand-ins call. */
export function unguarded(): ServerGuard {
  return {
    listener: 'standin',
    limits: connectionLimits.DEFAULT_LIMITS,
    held: new HeldBytes(Infinity),
    closures: new ClosureLog(SILENT_LOG, new Metrics()),
  };
}

/** Binds a server to an address; fails at once if the port is held. */
export const bind = portWait.bindOnce;

function closeServer(server: http.Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
