/**
 * Tracks which groups of ranks accept requests. A lock-step group that has lost
 * a rank refuses everything until it has formed again, so requests to it would
 * only use up retries. Sidecars report when a group opens or closes; without
 * reports, one request per interval probes a closed group. A group of which nothing
 * is known yet is treated as closed for a time.
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
/**
 * Time after its ranks became known in which a group without a report is not
 * probed. Requests wait for at most 700 ms: what waits is tried every 60 ms.
 */
export const UNKNOWN_MS = 640;

/** What a sidecar's report changed. */
export type ReportEffect = 'opened' | 'closed' | 'known';

interface GroupState {
  /** The last rank that refused; no rank has accepted a request since. */
  refusedBy: string;
  refusedAt: number;
  isClosed: boolean;
  /** Counts as closed only because nothing has been reported or refused. */
  isUnknown: boolean;
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
  /** Groups whose ranks have become known. */
  private readonly known = new Set<string>();

  /** True once `noteKnown` was called for the group. */
  isKnown(group: string): boolean {
    return this.known.has(group);
  }

  /**
   * The ranks of a group became known at `knownAt`. The first time, it counts as
   * closed unless its state is known.
   */
  noteKnown(group: string, knownAt: number): void {
    if (this.isKnown(group)) {
      return;
    }
    this.known.add(group);
    if (!this.groups.has(group) && !this.lastOpenAt.has(group)) {
      this.groups.set(group, {
        ...newState('', -Infinity),
        isClosed: true,
        isUnknown: true,
        closedAt: knownAt,
        probedAt: knownAt,
      });
    }
  }

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
      const wasClosed = opens && state.isClosed && !state.isUnknown;
      return wasClosed ? 'opened' : 'known';
    }
    if (at <= (this.lastOpenAt.get(group) ?? -Infinity)) {
      return 'known';
    }
    const closed = state ?? newState('', at);
    this.groups.set(group, closed);
    closed.reportedClosedAt = Math.max(closed.reportedClosedAt, at);
    const closes = !closed.isClosed || closed.isUnknown;
    if (closes) {
      close(closed, at);
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
      (!state.isClosed || state.isUnknown) &&
      state.refusedBy !== rank &&
      now - state.refusedAt < REFUSAL_WINDOW_MS;
    if (closes) {
      close(state, now);
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

  /** True if the group counts as closed only because its state is not known. */
  isUnknown(group: string, now: number): boolean {
    return (
      this.closedMs(group, now) > 0 &&
      this.groups.get(group)?.isUnknown === true
    );
  }

  /** True if a request may be sent to the group; records a probe if closed. */
  tryEnter(group: string | undefined, now: number): boolean {
    if (this.closedMs(group, now) === 0) {
      return true;
    }
    const state = this.groups.get(group!)!;
    if (
      (state.isUnknown && now - state.closedAt < UNKNOWN_MS) ||
      now - state.reportedClosedAt < REPORT_VALID_MS ||
      now - state.probedAt < PROBE_INTERVAL_MS
    ) {
      return false;
    }
    state.probedAt = now;
    return true;
  }
}

function close(state: GroupState, now: number): void {
  state.isClosed = true;
  state.isUnknown = false;
  state.closedAt = now;
}

function newState(rank: string, now: number): GroupState {
  return {
    refusedBy: rank,
    refusedAt: now,
    isClosed: false,
    isUnknown: false,
    closedAt: 0,
    probedAt: now,
    reportedClosedAt: -Infinity,
  };
}
