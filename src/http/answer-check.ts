/** Decides whether the head of a response can be an answer to a request. Pure. */
import type * as http from 'node:http';

/** Source: RFC 9110, section 15; interim responses are no answers. */
const MIN_STATUS = 200;
const MAX_STATUS = 599;
const NO_CONTENT = 204;
const RESET_CONTENT = 205;

/**
 * False if the status is no final one, or if a body is announced where none may be
 * (RFC 9112, section 6.3). The runtime reads that body but writes none with such a
 * status, so a caller that goes by the length would wait for its bytes.
 */
export function isAnswer({
  statusCode = 0,
  headers,
}: Pick<http.IncomingMessage, 'statusCode' | 'headers'>): boolean {
  if (statusCode < MIN_STATUS || statusCode > MAX_STATUS) {
    return false;
  }
  const hasLength = Number(headers['content-length'] ?? 0) !== 0;
  switch (statusCode) {
    case NO_CONTENT:
      return !hasLength && headers['transfer-encoding'] === undefined;
    case RESET_CONTENT:
      return !hasLength;
    default:
      return true;
  }
}
