/**
 * When a request with a quarantined fingerprint may be sent again, to find out
 * whether it still crashes targets. Trials of one fingerprint are spaced further
 * apart each time. Takes the time as an argument.
 */
import * as bounded from '../bounded';
import {FIRST_TRIAL_MS} from './quarantine';

/** Each delay between trials is this many times the one before. */
const DELAY_FACTOR = 4;
const MAX_DELAY_MS = 3_600_000;
/** Later, a fingerprint starts with the first delay again. */
const TTL_MS = 2 * MAX_DELAY_MS;
/** The fingerprint whose latest trial is oldest is dropped first. */
const MAX_REQUESTS = 1_024;

interface Trials {
  delayMs: number;
  dueAt: number;
}

/** The schedule of one fingerprint, as sent to peers. */
export interface TrialState {
  readonly delayMs: number;
  /** Milliseconds until the next trial. */
  readonly leftMs: number;
}

export class TrialSchedule {
  private readonly trials = new Map<string, Trials>();

  /** Schedules the next trial of a fingerprint that is quarantined now. */
  schedule(
    fingerprint: string,
    now: number,
    firstDelayMs: number = FIRST_TRIAL_MS,
  ): void {
    const before = this.unexpired(fingerprint, now);
    const delayMs = before?.delayMs ?? firstDelayMs;
    const dueAt = Math.max(before?.dueAt ?? 0, now + delayMs);
    this.set(fingerprint, {delayMs, dueAt});
  }

  /** Grants a trial if one is due, and schedules the next. */
  take(fingerprint: string, now: number): boolean {
    const next = this.unexpired(fingerprint, now);
    if (next === undefined) {
      this.schedule(fingerprint, now);
      return false;
    }
    if (next.dueAt > now) {
      return false;
    }
    const delayMs = Math.min(next.delayMs * DELAY_FACTOR, MAX_DELAY_MS);
    this.set(fingerprint, {delayMs, dueAt: now + delayMs});
    return true;
  }

  /** Takes over a peer's schedule, unless this one's trials are further apart. */
  adopt(fingerprint: string, {delayMs, leftMs}: TrialState, now: number): void {
    const before = this.unexpired(fingerprint, now);
    if (before === undefined || before.delayMs <= delayMs) {
      const dueAt = Math.max(before?.dueAt ?? 0, now + leftMs);
      this.set(fingerprint, {delayMs: Math.min(delayMs, MAX_DELAY_MS), dueAt});
    }
  }

  /** Undefined: none is scheduled. */
  stateOf(fingerprint: string, now: number): TrialState | undefined {
    const next = this.unexpired(fingerprint, now);
    return (
      next && {delayMs: next.delayMs, leftMs: this.waitMs(fingerprint, now)}
    );
  }

  /** Milliseconds until the next trial is due. */
  waitMs(fingerprint: string, now: number): number {
    const next = this.unexpired(fingerprint, now);
    return Math.max((next?.dueAt ?? now + FIRST_TRIAL_MS) - now, 0);
  }

  private set(fingerprint: string, next: Trials): void {
    this.trials.delete(fingerprint);
    this.trials.set(fingerprint, next);
    bounded.dropOldest(this.trials, MAX_REQUESTS);
  }

  private unexpired(fingerprint: string, now: number): Trials | undefined {
    const next = this.trials.get(fingerprint);
    if (next !== undefined && now - next.dueAt > TTL_MS) {
      this.trials.delete(fingerprint);
      return undefined;
    }
    return next;
  }
}
