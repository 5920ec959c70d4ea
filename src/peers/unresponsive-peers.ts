/**
 * Peers that have not answered lately. One that was silent counts as such until
 * it answers or calls itself; it is tried now and then, at growing intervals.
 * Pure over a clock reading.
 */
import * as bounded from '../bounded';

/** Time until a silent peer is tried again, in milliseconds, and the longest. */
const INITIAL_RETRY_INTERVAL_MS = 1_000;
const MAX_RETRY_INTERVAL_MS = 8_000;
/** Peers that are remembered as silent. */
const MAX_UNRESPONSIVE_PEERS = 256;

interface RetryState {
  triedAt: number;
  retryIntervalMs: number;
}

export class UnresponsivePeers {
  private readonly retries = new Map<string, RetryState>();

  /** The peer has answered or called, or another one has heard it. */
  markResponsive(address: string): void {
    this.retries.delete(address);
  }

  /** A call to the peer brought no answer. */
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

  isUnresponsive(address: string): boolean {
    return this.retries.has(address);
  }

  /** True where a silent peer is to be tried now; the trial is noted. */
  takeDueRetry(address: string, now: number): boolean {
    const silence = this.retries.get(address);
    const isDue =
      silence !== undefined && now - silence.triedAt >= silence.retryIntervalMs;
    if (isDue) {
      silence.triedAt = now;
    }
    return isDue;
  }
}
