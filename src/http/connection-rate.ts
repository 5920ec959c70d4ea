/** New connections per second of this process, over the last seconds. */
const SLOT_MS = 500;
const SLOTS = 4;

export class ConnectionRate {
  /** Connections of each slot, by its number since the monotonic clock's start. */
  private readonly counts = new Map<number, number>();

  note(now: number): void {
    const slot = Math.floor(now / SLOT_MS);
    this.counts.set(slot, (this.counts.get(slot) ?? 0) + 1);
    for (const one of this.counts.keys()) {
      if (one <= slot - SLOTS) {
        this.counts.delete(one);
      }
    }
  }

  perSecond(now: number): number {
    const oldest = Math.floor(now / SLOT_MS) - SLOTS;
    let sum = 0;
    for (const [slot, count] of this.counts) {
      sum += slot > oldest ? count : 0;
    }
    return (sum * 1_000) / (SLOTS * SLOT_MS);
  }
}
