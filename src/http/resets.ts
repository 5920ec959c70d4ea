/**
 * Tells whether the connection of an answer was reset. Node takes a body
 * without a length for whole when its connection ends, also by a reset; and
 * where the last bytes and the reset are read together, libuv reports a plain
 * end instead of the error. A socket that was reset has no peer any more.
 *
 * Every answer is watched from its head on, before anything reads it, so that
 * no reader can take a half for a whole.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';

interface ResetState {
  wasReset: boolean;
}

/** One watch a connection, however many answers come over it. */
const stateBySocket = new WeakMap<net.Socket, ResetState>();
/** An answer may outlive its hold on the connection. */
const stateByResponse = new WeakMap<http.IncomingMessage, ResetState>();

/** Watches an answer's connection; to be called as its head comes. */
export function watch(res: http.IncomingMessage): void {
  const {socket} = res;
  let held = stateBySocket.get(socket);
  if (held === undefined) {
    held = {wasReset: false};
    stateBySocket.set(socket, held);
    detectReset(socket, held);
  }
  stateByResponse.set(res, held);
}

/** True where the connection of a watched answer was reset so far. */
export function wasReset(message: http.IncomingMessage): boolean {
  return stateByResponse.get(message)?.wasReset ?? false;
}

/** True where a message came to its end, and the end is that of its sender. */
export function isComplete(message: http.IncomingMessage): boolean {
  return message.complete && !wasReset(message);
}

function detectReset(socket: net.Socket, held: ResetState): void {
  socket.once('error', () => {
    held.wasReset = true;
  });
  // Before Node's own listener, which closes our side too.
  socket.prependOnceListener('end', () => {
    held.wasReset ||= socket.remoteAddress === undefined;
  });
}
