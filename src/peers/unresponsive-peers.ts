/**
 * Peers that did not answer. A peer counts as unresponsive until it answers or
 * calls; it is retried with exponential backoff. Reads no clock: callers pass
 * milliseconds of the monotonic clock.
 */
import * as bounded from '../bounded';

const INITIAL_RETRY_INTERVAL_MS = 1_000;
const MAX_RETRY_INTERVAL_MS = 8_000;
const MAX_UNRESPONSIVE_PEERS = 256;

interface RetryState {
  triedAt: number;
  retryIntervalMs: number;
}

export class UnresponsivePeers {
  private readonly retries = new Map<string, RetryState>();

  /** The peer has answered or called, or another peer has heard from it. */
  markResponsive(address: string): void {
    this.retries.delete(address);
  }

  /** A call to the peer got no answer. */
  markUnresponsive(address: string, now: number): void {
    const before = this.retries.get(address);
    this.retries.set(address, {
      triedAt: now,
      retryIntervalMs:
        before === undefined
          ? INITIAL_RETRY_INTERVAL_MS
          : Math.min(before.retryIntervalMs * 2, MAX_RETRY_INTERVAL_MS),
    });
    bounded.dropOldest(this.retries, MAX_UNRESPONSIVE_PEERS);
  }

  get isEmpty(): boolean {
    return this.retries.size === 0;
  }

  isUnresponsive(address: string): boolean {
    return this.retries.has(address);
  }

  /** True if an unresponsive peer is due for a retry, which then counts as made. */
  takeDueRetry(address: string, now: number): boolean {
    const retry = this.retries.get(address);
    const isDue =
      retry !== undefined && now - retry.triedAt >= retry.retryIntervalMs;
    if (isDue) {
      retry.triedAt = now;
    }
    return isDue;
  }
}
