/**
 * The budget that retries draw on: a share of first tries, so that retries
 * can never multiply a failure's load.
 */
const MAX_TOKENS = 20;

export class RetryBudget {
  private tokens: number;

  /** `share`: retries per first try, in the long run. */
  constructor(private readonly share: () => number) {
    this.tokens = MAX_TOKENS / 2;
  }

  /** Notes a first try. */
  noteFirstAttempt(): void {
    this.tokens = Math.min(this.tokens + this.share(), MAX_TOKENS);
  }

  /** True where a retry may go out; it is then paid for. */
  tryDraw(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
