/**
 * Puts a stream's events in order: doubles are dropped, early ones wait in a
 * small window, and a gap that does not close is reported.
 */

/** What became of an event that was offered. */
export type Offer<T> =
  | {readonly kind: 'deliver'; readonly events: readonly Sequenced<T>[]}
  | {readonly kind: 'double'}
  | {readonly kind: 'waiting'}
  /** Too far ahead: the missing events have to be asked for. */
  | {readonly kind: 'gap'; readonly missing: number};

/** An event with its number; the first is 1. */
export interface Sequenced<T> {
  readonly sequence: number;
  readonly event: T;
}

/** Events held back while one is missing. */
export const WINDOW = 32;

export class SequenceGate<T> {
  private readonly early = new Map<number, T>();
  private last: number;

  /** `after`: the last number that was already delivered. */
  constructor(after = 0) {
    this.last = after;
  }

  /** The last number delivered. */
  get delivered(): number {
    return this.last;
  }

  /** True while early events wait for a missing one. */
  get hasGap(): boolean {
    return this.early.size > 0;
  }

  offer(sequence: number, event: T): Offer<T> {
    if (sequence <= this.last || this.early.has(sequence)) {
      return {kind: 'double'};
    }
    if (sequence > this.last + WINDOW) {
      return {kind: 'gap', missing: this.last + 1};
    }
    this.early.set(sequence, event);
    const events = this.takeReady();
    return events.length > 0 ? {kind: 'deliver', events} : {kind: 'waiting'};
  }

  private takeReady(): Sequenced<T>[] {
    const events: Sequenced<T>[] = [];
    for (;;) {
      const sequence = this.last + 1;
      const event = this.early.get(sequence);
      if (event === undefined) {
        return events;
      }
      this.early.delete(sequence);
      this.last = sequence;
      events.push({sequence, event});
    }
  }
}
