/** Headers and limits of the data path between own processes. */
import {createHash, timingSafeEqual} from 'node:crypto';

/** The client account, from an entry that has authenticated it. */
export const ACCOUNT_HEADER = 'ferrycleat-account';
/** Milliseconds left until the caller's deadline. */
export const TIMEOUT_HEADER = 'ferrycleat-timeout-ms';
/** The engine's name of a stream. */
export const STREAM_HEADER = 'ferrycleat-stream';
/** Priority towards an engine: a lower number goes first. */
export const PRIORITY_HEADER = 'ferrycleat-priority';
/** The caller's key of a call that may not be repeated. */
export const KEY_HEADER = 'idempotency-key';
/**
 * In a refusal: the target that keeps a place for the caller. A caller that
 * comes back sends it along.
 */
export const RETURN_HEADER = 'ferrycleat-return';
/** Set on an answer that was kept from an earlier call with the key. */
export const REPLAYED_HEADER = 'ferrycleat-replayed';

/** Cap on the body of a request. */
export const MAX_REQUEST_BYTES = 4 * 1024 * 1024;

const ACCOUNT_DIGEST_DIGITS = 16;

/** SHA-256 in hex. */
export function sha256Hex(text: string | Buffer): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Compares two digests in constant time. */
export function equalDigests(a: string, b: string): boolean {
  return (
    a.length === b.length && timingSafeEqual(Buffer.from(a), Buffer.from(b))
  );
}

/**
 * The engine's name of a stream. It is bound to the account, so that another
 * account's resume finds nothing, also after a sidecar lost its memory.
 */
export function streamNameOf(request: string, account: string): string {
  return `${request}-${sha256Hex(account).slice(0, ACCOUNT_DIGEST_DIGITS)}`;
}

/** A timeout in milliseconds, no more than `limit`; undefined if malformed. */
export function parseTimeoutMs(
  text: string | undefined,
  limit: number,
): number | undefined {
  if (text === undefined) {
    return limit;
  }
  return /^\d{1,9}$/.test(text) ? Math.min(Number(text), limit) : undefined;
}
