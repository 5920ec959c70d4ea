/**
 * Fingerprints whose requests are refused because they crash targets. Each attempt
 * by a caller to send one renews its quarantine, which ends early once a request
 * with it is served. Takes the time as an argument.
 */
import * as bounded from '../bounded';

/** Counted from the latest attempt to send the request. */
export const QUARANTINE_MS = 600_000;
/** The fingerprint added longest ago is dropped first. */
const MAX_QUARANTINED = 1_024;
/** Peers are notified again of a fingerprint whose requests still arrive. */
const NOTIFY_INTERVAL_MS = 30_000;
/** Least time from the start of a quarantine until a request may be tried. */
export const FIRST_TRIAL_MS = 1_000;

interface QuarantineEntry {
  endsAt: number;
  /** When peers were last notified. */
  notifiedAt: number;
  /** When to ask the arbiter for a trial; Infinity while it is asked. */
  trialRequestAt: number;
}

/** A quarantined fingerprint, as sent to peers. */
export interface QuarantineNotice {
  readonly digest: string;
  readonly leftMs: number;
}

export class Quarantine {
  private readonly entries = new Map<string, QuarantineEntry>();
  /** Latest end of all entries. */
  private lastEndsAt = -Infinity;

  /** Quarantines a fingerprint; true if it was not quarantined before. */
  add(fingerprint: string, leftMs: number, now: number): boolean {
    const isNew = !this.has(fingerprint, now);
    const endsAt = now + Math.min(leftMs, QUARANTINE_MS);
    const before = this.entries.get(fingerprint);
    this.lastEndsAt = Math.max(this.lastEndsAt, endsAt);
    const trialRequestAt = before?.trialRequestAt ?? now + FIRST_TRIAL_MS;
    this.entries.delete(fingerprint);
    this.entries.set(fingerprint, {
      endsAt: Math.max(endsAt, before?.endsAt ?? 0),
      notifiedAt: now,
      trialRequestAt,
    });
    bounded.dropOldest(this.entries, MAX_QUARANTINED);
    return isNew;
  }

  /** True if a request must be refused; renews its quarantine. */
  checkAndRenew(fingerprint: string, now: number): boolean {
    const isQuarantined = this.has(fingerprint, now);
    if (isQuarantined) {
      this.lastEndsAt = now + QUARANTINE_MS;
      this.entries.get(fingerprint)!.endsAt = this.lastEndsAt;
    }
    return isQuarantined;
  }

  /** True if peers must be notified again; records the notification. */
  takeNotification(fingerprint: string, now: number): boolean {
    const entry = this.entries.get(fingerprint);
    const isDue =
      entry !== undefined && now - entry.notifiedAt > NOTIFY_INTERVAL_MS;
    if (isDue) {
      entry.notifiedAt = now;
    }
    return isDue;
  }

  /** True if the arbiter must be asked now whether the request may be tried. */
  takeTrialRequest(fingerprint: string, now: number): boolean {
    const entry = this.entries.get(fingerprint);
    const isDue = entry !== undefined && now >= entry.trialRequestAt;
    if (isDue) {
      entry.trialRequestAt = Infinity;
    }
    return isDue;
  }

  /** Sets when to ask the arbiter again. */
  scheduleTrialRequest(fingerprint: string, at: number): void {
    const entry = this.entries.get(fingerprint);
    if (entry !== undefined) {
      entry.trialRequestAt = at;
    }
  }

  /** Ends the quarantine of a fingerprint; true if it was quarantined. */
  release(fingerprint: string, now: number): boolean {
    const wasQuarantined = this.has(fingerprint, now);
    this.entries.delete(fingerprint);
    if (this.entries.size === 0) {
      this.lastEndsAt = -Infinity;
    }
    return wasQuarantined;
  }

  /** All active entries, for a process that has just started. */
  notices(now: number): QuarantineNotice[] {
    return [...this.entries]
      .filter(([, {endsAt}]) => endsAt > now)
      .map(([fingerprint, {endsAt}]) => ({
        digest: fingerprint,
        leftMs: endsAt - now,
      }));
  }

  /** True if the request is quarantined; does not renew that. */
  has(fingerprint: string, now: number): boolean {
    const entry = this.entries.get(fingerprint);
    if (entry !== undefined && entry.endsAt <= now) {
      this.entries.delete(fingerprint);
      return false;
    }
    return entry !== undefined;
  }

  /** True if no quarantine is active. */
  isEmpty(now: number): boolean {
    return now >= this.lastEndsAt;
  }

  get size(): number {
    return this.entries.size;
  }
}
