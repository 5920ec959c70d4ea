/**
 * Tracks which groups of ranks accept requests. A lock-step group that has lost
 * a rank refuses everything until it has formed again, so requests to it would
 * only use up retries. Sidecars report when a group opens or closes; without
 * reports, one request per interval probes a closed group.
 */

import * as rxjs from 'rxjs';

/** Refusals by two ranks within this time close a group. */
const REFUSAL_WINDOW_MS = 150;
/** Interval between probes of a closed group. */
const PROBE_INTERVAL_MS = 60;
/** Without a probe or report for this time a closed group counts as open. */
const CLOSED_EXPIRY_MS = 1_000;
/**
 * A closed group is not probed for this time after a sidecar reported it as
 * closed. Longer than the interval between reports.
 */
const REPORT_VALID_MS = 700;

/** What a sidecar's report changed. */
export type ReportEffect = 'opened' | 'closed' | 'known';

interface GroupState {
  /** The last rank that refused; no rank has accepted a request since. */
  refusedBy: string;
  refusedAt: number;
  isClosed: boolean;
  closedAt: number;
  probedAt: number;
  /** When a sidecar last saw the group closed. */
  reportedClosedAt: number;
}

export class GroupGate {
  /** Emits the names of groups that open after a refusal. */
  readonly openings = new rxjs.Subject<string>();
  private readonly groups = new Map<string, GroupState>();
  /** When groups were last seen open. */
  private readonly lastOpenAt = new Map<string, number>();

  /** A rank accepted a request: the group is open. */
  noteAccepted(group: string, now: number): void {
    this.lastOpenAt.set(
      group,
      Math.max(now, this.lastOpenAt.get(group) ?? now),
    );
    this.open(group);
  }

  /**
   * Applies a sidecar's report on the group as of the monotonic time `at`. Ignored
   * if a request's outcome has shown a later state.
   */
  noteReport(group: string, isOpen: boolean, at: number): ReportEffect {
    const state = this.groups.get(group);
    if (isOpen) {
      const opens = state !== undefined && at > state.refusedAt;
      if (opens || state === undefined) {
        this.noteAccepted(group, at);
      }
      return opens && state.isClosed ? 'opened' : 'known';
    }
    if (at <= (this.lastOpenAt.get(group) ?? -Infinity)) {
      return 'known';
    }
    const closed = state ?? newState('', at);
    this.groups.set(group, closed);
    closed.reportedClosedAt = Math.max(closed.reportedClosedAt, at);
    const closes = !closed.isClosed;
    if (closes) {
      closed.isClosed = true;
      closed.closedAt = at;
    }
    return closes ? 'closed' : 'known';
  }

  /** True if the group has been open since this process started. */
  hasBeenOpen(group: string): boolean {
    return this.lastOpenAt.has(group);
  }

  private open(group: string): void {
    if (this.groups.delete(group)) {
      this.openings.next(group);
    }
  }

  /** A rank refused a request. True if that closed the group. */
  noteRefused(group: string, rank: string, now: number): boolean {
    const state = this.groups.get(group);
    if (state === undefined) {
      this.groups.set(group, newState(rank, now));
      return false;
    }
    const closes =
      !state.isClosed &&
      state.refusedBy !== rank &&
      now - state.refusedAt < REFUSAL_WINDOW_MS;
    if (closes) {
      state.isClosed = true;
      state.closedAt = now;
    }
    state.refusedBy = rank;
    state.refusedAt = now;
    return closes;
  }

  /** Milliseconds since the group closed; 0: it is open. */
  closedMs(group: string | undefined, now: number): number {
    const state = group === undefined ? undefined : this.groups.get(group);
    if (state === undefined || !state.isClosed) {
      return 0;
    }
    if (
      now - Math.max(state.probedAt, state.reportedClosedAt) >
      CLOSED_EXPIRY_MS
    ) {
      this.open(group!);
      return 0;
    }
    return Math.max(now - state.closedAt, 1);
  }

  /** True if a request may be sent to the group; records a probe if closed. */
  tryEnter(group: string | undefined, now: number): boolean {
    if (this.closedMs(group, now) === 0) {
      return true;
    }
    const state = this.groups.get(group!)!;
    if (
      now - state.reportedClosedAt < REPORT_VALID_MS ||
      now - state.probedAt < PROBE_INTERVAL_MS
    ) {
      return false;
    }
    state.probedAt = now;
    return true;
  }
}

function newState(rank: string, now: number): GroupState {
  return {
    refusedBy: rank,
    refusedAt: now,
    isClosed: false,
    closedAt: 0,
    probedAt: now,
    reportedClosedAt: -Infinity,
  };
}
