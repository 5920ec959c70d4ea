/**
 * Token bucket that limits retries to a share of the first attempts, so that
 * retries don't multiply the load during a failure.
 */
const MAX_TOKENS = 20;

export class RetryBudget {
  private tokens: number;

  /** `share`: tokens that a first attempt adds. */
  constructor(private readonly share: () => number) {
    this.tokens = MAX_TOKENS / 2;
  }

  noteFirstAttempt(): void {
    this.tokens = Math.min(this.tokens + this.share(), MAX_TOKENS);
  }

  /** True if a retry is allowed; takes one token for it. */
  tryDraw(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
