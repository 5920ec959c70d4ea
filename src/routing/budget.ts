/**
 * The budget that retries draw on: a share of first tries, so that retries
 * can never multiply a failure's load.
 */
const MAX_SAVED = 20;

export class RetryBudget {
  private saved: number;

  /** `share`: retries per first try, in the long run. */
  constructor(private readonly share: () => number) {
    this.saved = MAX_SAVED / 2;
  }

  /** Notes a first try. */
  noteFirstTry(): void {
    this.saved = Math.min(this.saved + this.share(), MAX_SAVED);
  }

  /** True where a retry may go out; it is then paid for. */
  tryDraw(): boolean {
    if (this.saved < 1) {
      return false;
    }
    this.saved -= 1;
    return true;
  }
}
