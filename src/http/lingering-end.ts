/** Ends responses to requests that are still being received. */
import type * as http from 'node:http';
import {finished} from 'node:stream';
import * as readingTurns from './reading-turns';

/**
 * Sends the last bytes of a response, and ends it once its request has been
 * received: if the connection closed before that, it would be reset, and the peer
 * might lose the response.
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
  finished(req, () => res.end());
}
