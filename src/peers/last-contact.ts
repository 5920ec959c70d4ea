/** Time since another process of the site last answered this one. */
export class LastContact {
  private answeredAt = -Infinity;

  recordAnswer(): void {
    this.answeredAt = performance.now();
  }

  /** Makes the last answer older by the time of a suspension. */
  age(suspendedMs: number): void {
    this.answeredAt -= suspendedMs;
  }

  /** Milliseconds since the last answer; `now` is monotonic. */
  elapsedMs(now: number): number {
    return now - this.answeredAt;
  }
}
