/** Ends responses whose request is still being received, and connections. */
import * as http from 'node:http';
import {finished} from 'node:stream';
import type {Writable} from 'node:stream';
import * as readingTurns from './reading-turns';

/** What is read and dropped of a request that was refused, framing included. */
const MAX_DROPPED_BYTES = 8 * 1024 * 1024;
const MAX_DROP_MS = 5_000;
const CHECK_INTERVAL_MS = 100;

/**
 * Sends the last bytes of a response, and ends it once its request has been
 * received: if the connection closed before that, it would be reset, and the peer
 * might lose the response. Closes the connection if too much is to be received.
 */
export function endAfterRequest(
  req: http.IncomingMessage,
  res: http.ServerResponse,
  last: Buffer,
): void {
  if (req.complete) {
    res.end(last);
    return;
  }
  res.write(last);
  readingTurns.dropBody(req);
  limitRest(req, () => res.end());
  finished(req, () => res.end());
}

/**
 * Calls `onExceeded` if what follows of a refused request takes more bytes or more
 * time than is read and dropped.
 */
export function limitRest(
  req: http.IncomingMessage,
  onExceeded: () => void,
): void {
  const {socket} = req;
  const startBytes = socket.bytesRead;
  const endsAt = performance.now() + MAX_DROP_MS;
  const timer = setInterval(() => {
    const droppedBytes = socket.bytesRead - startBytes;
    if (req.complete || socket.destroyed) {
      clearInterval(timer);
    } else if (droppedBytes > MAX_DROPPED_BYTES || performance.now() > endsAt) {
      clearInterval(timer);
      onExceeded();
    }
  }, CHECK_INTERVAL_MS);
  timer.unref();
}

/**
 * Closes the connection of a response at once. Destroying a response that waits for
 * earlier ones on its connection would close nothing.
 */
export function closeConnectionOf(res: Writable): void {
  if (res instanceof http.ServerResponse) {
    res.req.socket.destroy();
  }
  res.destroy();
}
