/** Headers, body limit and digests used between entries and sidecars. */
import {createHash, timingSafeEqual} from 'node:crypto';

/** The client account, authenticated by the entry. */
export const ACCOUNT_HEADER = 'ferrycleat-account';
/** Milliseconds left until the caller's deadline. */
export const TIMEOUT_HEADER = 'ferrycleat-timeout-ms';
/** Name that identifies a request's response stream at the engine. */
export const STREAM_HEADER = 'ferrycleat-stream';
/** Priority at the engine; lower numbers are served first. */
export const PRIORITY_HEADER = 'ferrycleat-priority';
/** The caller's key for a call that may not be repeated. */
export const KEY_HEADER = 'idempotency-key';
/**
 * In a refusal: the target that has reserved a time for a retry. The caller
 * sends it back with the retry.
 */
export const RETURN_HEADER = 'ferrycleat-return';
/** Set on a stored response of an earlier call with the same key. */
export const REPLAYED_HEADER = 'ferrycleat-replayed';

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
 * The engine's name of a stream. It contains a digest of the account, so that
 * one account cannot resume another's stream even after a restart of the
 * sidecar.
 */
export function streamNameOf(request: string, account: string): string {
  return `${request}-${sha256Hex(account).slice(0, ACCOUNT_DIGEST_DIGITS)}`;
}

/** The timeout in milliseconds, at most `limitMs`; undefined if malformed. */
export function parseTimeoutMs(
  text: string | undefined,
  limitMs: number,
): number | undefined {
  if (text === undefined) {
    return limitMs;
  }
  return /^\d{1,9}$/.test(text) ? Math.min(Number(text), limitMs) : undefined;
}
