/**
 * Groups of ranks that take no requests for the moment. A group in lock-step
 * that has lost a rank refuses everything at every rank until it has formed
 * anew; asking them one after the other only costs tries. So requests stop
 * going there, but for one now and then that finds out whether it is open.
 */

/** Two ranks that refuse within this time close a group, in milliseconds. */
const CLOSING_MS = 150;
/** Time between trials of a closed group: some passes. */
const TRIAL_MS = 60;
/** Without a trial for so long a group counts as open again. */
const FORGET_MS = 1_000;

interface GroupState {
  /** The rank that refused last, with none that took a request since. */
  refusedBy: string;
  refusedAt: number;
  isClosed: boolean;
  closedAt: number;
  triedAt: number;
  readonly waiting: Set<() => void>;
}

export class GroupGate {
  private readonly groups = new Map<string, GroupState>();

  /** A rank took a request: the group is open. */
  noteTaken(group: string): void {
    const state = this.groups.get(group);
    if (state !== undefined) {
      this.groups.delete(group);
      state.waiting.forEach(wake => wake());
    }
  }

  /** A rank refused a request. True where that closed the group. */
  noteRefused(group: string, rank: string, now: number): boolean {
    const state = this.groups.get(group);
    if (state === undefined) {
      this.groups.set(group, {
        refusedBy: rank,
        refusedAt: now,
        isClosed: false,
        closedAt: 0,
        triedAt: now,
        waiting: new Set(),
      });
      return false;
    }
    const closes =
      !state.isClosed &&
      state.refusedBy !== rank &&
      now - state.refusedAt < CLOSING_MS;
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
    if (now - state.triedAt > FORGET_MS) {
      this.noteTaken(group!);
      return 0;
    }
    return Math.max(now - state.closedAt, 1);
  }

  /** True where a request may go to the group; a closed one's trial is noted. */
  mayEnter(group: string | undefined, now: number): boolean {
    if (this.closedMs(group, now) === 0) {
      return true;
    }
    const state = this.groups.get(group!)!;
    if (now - state.triedAt < TRIAL_MS) {
      return false;
    }
    state.triedAt = now;
    return true;
  }

  /**
   * Resolves when the group opens, the next trial is due, or at abort;
   * without a group after the time between trials.
   */
  waitForTurn(group: string | undefined, signal: AbortSignal): Promise<void> {
    const state = group === undefined ? undefined : this.groups.get(group);
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        state?.waiting.delete(wake);
        signal.removeEventListener('abort', wake);
        resolve();
      };
      const timer = setTimeout(wake, TRIAL_MS);
      state?.waiting.add(wake);
      signal.addEventListener('abort', wake, {once: true});
    });
  }
}
