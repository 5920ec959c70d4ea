/**
 * This entry's part of the retries that all entries may make together. It
 * stays under the common share without asking anybody, and takes a little of
 * the extra, so that even a quiet entry can send a request again.
 */
import type {RetryBudgetSettings} from '../roles/site-settings';

/** Part of the common share that is used; the rest is for clock skew. */
const USED_SHARE = 0.9;
/** Entries that the extra is divided among at least. */
const MIN_PARTS = 24;
/**
 * And so many times those that are known: a process that has just started may
 * know of few.
 */
const ENTRY_COUNT_FACTOR = 2;

/** Requests noted before the first look for old ones. */
const MIN_PRUNE_LENGTH = 1_024;

export class RetryBudget {
  private requests: number[] = [];
  private retries: number[] = [];
  private pruneLength = MIN_PRUNE_LENGTH;

  /** `entries`: how many are known, this one among them. */
  constructor(
    private readonly settings: () => RetryBudgetSettings,
    private readonly knownEntryCount: () => number = () => 1,
  ) {}

  /** Notes a request's first send; `now` is monotonic. */
  noteRequest(now: number): void {
    this.requests.push(now);
    if (this.requests.length > this.pruneLength) {
      this.prune(now);
      this.pruneLength = MIN_PRUNE_LENGTH + 2 * this.requests.length;
    }
  }

  /** True where a request may be sent again; it is then counted. */
  tryDraw(now: number): boolean {
    const {share, extra} = this.settings();
    this.prune(now);
    const parts = Math.max(
      MIN_PARTS,
      this.knownEntryCount() * ENTRY_COUNT_FACTOR,
    );
    const allowed = this.requests.length * share * USED_SHARE + extra / parts;
    if (this.retries.length + 1 > allowed) {
      return false;
    }
    this.retries.push(now);
    return true;
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
