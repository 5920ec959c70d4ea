/**
 * Gaps between the events of one caller's stream that show the duration of its
 * group's passes. Pure.
 */
export class EventGaps {
  private lastAt = 0;
  private lastSend: number | undefined;

  /** The caller reads slowly: the current gap includes a wait for it. */
  interrupt(): void {
    this.lastSend = undefined;
  }

  /**
   * Records events at `now` of the stream's send with number `send`. Returns
   * when the gap before them began; undefined if it doesn't show a pass, as
   * after a move or a resume.
   */
  next(send: number, now: number): number | undefined {
    const from = this.lastSend === send ? this.lastAt : undefined;
    this.lastAt = now;
    this.lastSend = send;
    return from;
  }
}
