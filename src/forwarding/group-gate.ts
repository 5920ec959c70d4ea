/**
 * Groups of ranks that take no requests for the moment. A group in lock-step
 * that has lost a rank refuses everything at every rank until it has formed
 * anew; asking them one after the other only costs tries. So requests stop
 * going there. Sidecars tell when the group opens; while none of them does, one
 * request now and then finds out. Entries that all found out for themselves would
 * spend the retries of all at once.
 */

/** Two ranks that refuse within this time close a group, in milliseconds. */
const REFUSAL_WINDOW_MS = 150;
/** Time between trials of a closed group: some passes. */
const PROBE_INTERVAL_MS = 60;
/** Without a trial or a word for so long a group counts as open again. */
const CLOSED_EXPIRY_MS = 1_000;
/**
 * While a sidecar's word that the group is closed is no older, nothing is sent
 * there to find out: longer than sidecars are silent.
 */
const REPORT_VALID_MS = 700;

/** What a sidecar's word changed. */
export type ReportEffect = 'opened' | 'closed' | 'known';

interface GroupState {
  /** The rank that refused last, with none that took a request since. */
  refusedBy: string;
  refusedAt: number;
  isClosed: boolean;
  closedAt: number;
  probedAt: number;
  /** When a sidecar last saw that the group is closed. */
  reportedClosedAt: number;
  readonly waiters: Set<() => void>;
}

export class GroupGate {
  private readonly groups = new Map<string, GroupState>();
  /** When groups were last known to be open. */
  private readonly lastOpenAt = new Map<string, number>();

  /** A rank took a request: the group is open. */
  noteAccepted(group: string, now: number): void {
    this.lastOpenAt.set(
      group,
      Math.max(now, this.lastOpenAt.get(group) ?? now),
    );
    this.open(group);
  }

  /**
   * What a sidecar saw of the group at a time; answers what that changed. Word
   * that is older than what was learnt by a request is passed over.
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

  /** True where the group was open at some time since this process began. */
  hasBeenOpen(group: string): boolean {
    return this.lastOpenAt.has(group);
  }

  private open(group: string): void {
    const state = this.groups.get(group);
    if (state !== undefined) {
      this.groups.delete(group);
      state.waiters.forEach(wake => wake());
    }
  }

  /** A rank refused a request. True where that closed the group. */
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

  /** Milliseconds for which a group has been closed; 0: it is open. */
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

  /** True where a request may go to the group; a closed one's trial is noted. */
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

  /**
   * Resolves when the group opens, the next trial is due, or at abort;
   * without a group after the time between trials.
   */
  waitForOpenOrProbe(
    group: string | undefined,
    signal: AbortSignal,
  ): Promise<void> {
    const state = group === undefined ? undefined : this.groups.get(group);
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        state?.waiters.delete(wake);
        signal.removeEventListener('abort', wake);
        resolve();
      };
      const timer = setTimeout(wake, PROBE_INTERVAL_MS);
      state?.waiters.add(wake);
      signal.addEventListener('abort', wake, {once: true});
    });
  }
}

/** A group of which a rank has refused, or nothing is known but that. */
function newState(rank: string, now: number): GroupState {
  return {
    refusedBy: rank,
    refusedAt: now,
    isClosed: false,
    closedAt: 0,
    probedAt: now,
    reportedClosedAt: -Infinity,
    waiters: new Set(),
  };
}
