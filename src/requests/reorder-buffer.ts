/**
 * Restores the order of a stream's events: drops duplicates, holds early events
 * back in a window of WINDOW_EVENTS, and reports a gap wider than the window.
 */

export type OfferResult<T> =
  | {readonly kind: 'deliver'; readonly events: readonly SequencedEvent<T>[]}
  | {readonly kind: 'double'}
  | {readonly kind: 'waiting'}
  /** Beyond the window: events from `missing` on must be requested again. */
  | {readonly kind: 'gap'; readonly missing: number};

/** An event with its sequence number; the first is 1. */
export interface SequencedEvent<T> {
  readonly sequence: number;
  readonly event: T;
}

export const WINDOW_EVENTS = 32;

export class ReorderBuffer<T> {
  private readonly pending = new Map<number, T>();
  private lastDelivered: number;

  /** `after`: the last sequence number already delivered. */
  constructor(after = 0) {
    this.lastDelivered = after;
  }

  /** The last sequence number delivered. */
  get delivered(): number {
    return this.lastDelivered;
  }

  /** True while events are held back for a missing one. */
  get hasGap(): boolean {
    return this.pending.size > 0;
  }

  offer(sequence: number, event: T): OfferResult<T> {
    if (sequence <= this.lastDelivered || this.pending.has(sequence)) {
      return {kind: 'double'};
    }
    if (sequence > this.lastDelivered + WINDOW_EVENTS) {
      return {kind: 'gap', missing: this.lastDelivered + 1};
    }
    this.pending.set(sequence, event);
    const events = this.takeReady();
    return events.length > 0 ? {kind: 'deliver', events} : {kind: 'waiting'};
  }

  private takeReady(): SequencedEvent<T>[] {
    const events: SequencedEvent<T>[] = [];
    for (;;) {
      const sequence = this.lastDelivered + 1;
      const event = this.pending.get(sequence);
      if (event === undefined) {
        return events;
      }
      this.pending.delete(sequence);
      this.lastDelivered = sequence;
      events.push({sequence, event});
    }
  }
}
