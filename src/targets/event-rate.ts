/** Mean rate of events, as an average that decays exponentially. */

const TIME_CONSTANT_MS = 1_000;
const SECOND_MS = 1_000;

export class EventRate {
  private perSecond = 0;
  private updatedAt = 0;

  /** Counts an event; returns the events per second, this one included. */
  note(now: number): number {
    const elapsedMs = Math.max(now - this.updatedAt, 0);
    this.perSecond =
      this.perSecond * Math.exp(-elapsedMs / TIME_CONSTANT_MS) +
      SECOND_MS / TIME_CONSTANT_MS;
    this.updatedAt = now;
    return this.perSecond;
  }
}
