/**
 * This entry's part of the retries that all entries may make together in a
 * sliding window: a share of its own requests, and a part of the fixed extra, so
 * that an entry with few requests can retry too. Needs no coordination.
 */
import type {RetryBudgetSettings} from '../roles/site-settings';

/** Part of the allowed share that is used; the rest covers clock skew. */
const USED_SHARE = 0.9;
/** Minimum number of parts into which the extra is divided. */
const MIN_PARTS = 24;
/** Parts of the extra per known entry: a starting entry may not know them all. */
const ENTRY_COUNT_FACTOR = 2;

/** Recorded requests above which outdated ones are removed. */
const MIN_PRUNE_LENGTH = 1_024;

/** What this process counts in the window, and how many retries that allows. */
export interface RetryBudgetState {
  readonly requests: number;
  readonly retries: number;
  readonly allowed: number;
}

export class RetryBudget {
  private requests: number[] = [];
  private retries: number[] = [];
  private pruneLength = MIN_PRUNE_LENGTH;

  /** `knownEntryCount` includes this entry. */
  constructor(
    private readonly settings: () => RetryBudgetSettings,
    private readonly knownEntryCount: () => number = () => 1,
  ) {}

  /** Records a request, before its first send; `now` is monotonic. */
  noteRequest(now: number): void {
    this.requests.push(now);
    if (this.requests.length > this.pruneLength) {
      this.prune(now);
      this.pruneLength = MIN_PRUNE_LENGTH + 2 * this.requests.length;
    }
  }

  /** True if a retry is allowed; it is then counted. */
  tryDraw(now: number): boolean {
    const {retries, allowed} = this.stateAt(now);
    if (retries + 1 > allowed) {
      return false;
    }
    this.retries.push(now);
    return true;
  }

  stateAt(now: number): RetryBudgetState {
    const {share, extra} = this.settings();
    this.prune(now);
    const parts = Math.max(
      MIN_PARTS,
      this.knownEntryCount() * ENTRY_COUNT_FACTOR,
    );
    const requests = this.requests.length;
    const allowed = requests * share * USED_SHARE + extra / parts;
    return {requests, retries: this.retries.length, allowed};
  }

  private prune(now: number): void {
    const limit = now - this.settings().windowMs;
    this.requests = dropBefore(this.requests, limit);
    this.retries = dropBefore(this.retries, limit);
  }
}

function dropBefore(times: readonly number[], limit: number): number[] {
  return times.filter(time => time > limit);
}
