/** When another process of the site last answered this one. */
export class Reach {
  private at = -Infinity;

  /** Another process has answered. */
  note(): void {
    this.at = performance.now();
  }

  /** This instance was suspended: the last answer is older by so much. */
  age(lostMs: number): void {
    this.at -= lostMs;
  }

  /** Milliseconds of silence from all others; `now` is monotonic. */
  silentMs(now: number): number {
    return now - this.at;
  }
}
