/**
 * Detects responses whose connection was reset. Node treats a body without a
 * length as complete when its connection ends, and libuv reports a reset that
 * is read together with the last bytes as a plain end. A socket that was reset
 * has no remote address any more.
 *
 * Responses must be watched from their headers on, before the body is read.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';

interface ResetState {
  wasReset: boolean;
}

/** One state per connection, shared by all its responses. */
const stateBySocket = new WeakMap<net.Socket, ResetState>();
/** A response may outlive its use of the connection. */
const stateByResponse = new WeakMap<http.IncomingMessage, ResetState>();

/** Watches the connection of a response whose headers have just arrived. */
export function watch(res: http.IncomingMessage): void {
  const {socket} = res;
  let state = stateBySocket.get(socket);
  if (state === undefined) {
    state = {wasReset: false};
    stateBySocket.set(socket, state);
    detectReset(socket, state);
  }
  stateByResponse.set(res, state);
}

/** True if the connection of a watched response has been reset. */
export function wasReset(message: http.IncomingMessage): boolean {
  return stateByResponse.get(message)?.wasReset ?? false;
}

/** True if a message ended and its connection was not reset. */
export function isComplete(message: http.IncomingMessage): boolean {
  return message.complete && !wasReset(message);
}

function detectReset(socket: net.Socket, state: ResetState): void {
  socket.once('error', () => {
    state.wasReset = true;
  });
  // Must run before Node's own listener, which closes our side as well.
  socket.prependOnceListener('end', () => {
    state.wasReset ||= socket.remoteAddress === undefined;
  });
}
