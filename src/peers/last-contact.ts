/** When another process of the site last answered this one. */
export class LastContact {
  private answeredAt = -Infinity;

  /** Another process has answered. */
  recordAnswer(): void {
    this.answeredAt = performance.now();
  }

  /** This instance was suspended: the last answer is older by so much. */
  age(lostMs: number): void {
    this.answeredAt -= lostMs;
  }

  /** Milliseconds of silence from all others; `now` is monotonic. */
  elapsedMs(now: number): number {
    return now - this.answeredAt;
  }
}
