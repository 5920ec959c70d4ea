/**
 * Pauses the reading of callers' connections. The runtime resumes a paused socket
 * whenever it expects more of a body or another request, and a paused body keeps a
 * buffer for each chunk that was parsed; a gate stops the socket itself, and again
 * whenever the runtime resumes it.
 */
import type * as net from 'node:net';

/** By socket: those that want it paused. */
const pausersBySocket = new WeakMap<net.Socket, Set<object>>();

/** Stops the reading until each `pauser` has resumed it. */
export function pause(socket: net.Socket, pauser: object): void {
  let pausers = pausersBySocket.get(socket);
  if (pausers === undefined) {
    pausers = new Set();
    pausersBySocket.set(socket, pausers);
    keepPaused(socket, pausers);
  }
  pausers.add(pauser);
  socket.pause();
}

/** Does nothing if `pauser` has not paused the socket. */
export function resume(socket: net.Socket, pauser: object): void {
  const pausers = pausersBySocket.get(socket);
  if (pausers?.delete(pauser) === true && pausers.size === 0) {
    socket.resume();
  }
}

function keepPaused(socket: net.Socket, pausers: ReadonlySet<object>): void {
  socket.on('resume', () => {
    if (pausers.size > 0) {
      socket.pause();
    }
  });
}
