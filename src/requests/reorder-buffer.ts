/**
 * Puts a stream's events in order: doubles are dropped, early ones wait in a
 * small window, and a gap that does not close is reported.
 */

/** What became of an event that was offered. */
export type OfferResult<T> =
  | {readonly kind: 'deliver'; readonly events: readonly SequencedEvent<T>[]}
  | {readonly kind: 'double'}
  | {readonly kind: 'waiting'}
  /** Too far ahead: the missing events have to be asked for. */
  | {readonly kind: 'gap'; readonly missing: number};

/** An event with its number; the first is 1. */
export interface SequencedEvent<T> {
  readonly sequence: number;
  readonly event: T;
}

/** Events held back while one is missing. */
export const WINDOW_EVENTS = 32;

export class ReorderBuffer<T> {
  private readonly pending = new Map<number, T>();
  private lastDelivered: number;

  /** `after`: the last number that was already delivered. */
  constructor(after = 0) {
    this.lastDelivered = after;
  }

  /** The last number delivered. */
  get delivered(): number {
    return this.lastDelivered;
  }

  /** True while early events wait for a missing one. */
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
