/**
 * Peers that have not answered lately. One that was silent counts as such until
 * it answers or calls itself; it is tried now and then, at growing intervals.
 * Pure over a clock reading.
 */
import * as bounded from '../bounded';

/** Time until a silent peer is tried again, in milliseconds, and the longest. */
const FIRST_TRIAL_MS = 1_000;
const LONGEST_TRIAL_MS = 8_000;
/** Peers that are remembered as silent. */
const MOST_SILENT = 256;

interface Silence {
  triedAt: number;
  trialMs: number;
}

export class SilentPeers {
  private readonly silent = new Map<string, Silence>();

  /** The peer has answered or called, or another one has heard it. */
  noteHeard(address: string): void {
    this.silent.delete(address);
  }

  /** A call to the peer brought no answer. */
  noteSilent(address: string, now: number): void {
    const before = this.silent.get(address);
    this.silent.set(address, {
      triedAt: now,
      trialMs:
        before === undefined
          ? FIRST_TRIAL_MS
          : Math.min(before.trialMs * 2, LONGEST_TRIAL_MS),
    });
    bounded.dropOldest(this.silent, MOST_SILENT);
  }

  isSilent(address: string): boolean {
    return this.silent.has(address);
  }

  /** True where a silent peer is to be tried now; the trial is noted. */
  takeTrial(address: string, now: number): boolean {
    const silence = this.silent.get(address);
    const isDue =
      silence !== undefined && now - silence.triedAt >= silence.trialMs;
    if (isDue) {
      silence.triedAt = now;
    }
    return isDue;
  }
}
