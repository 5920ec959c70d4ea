/**
 * Requests that can still be in time first, then late ones; within both by rank,
 * with a minimum share of the starts for each lower rank that waits.
 */
import {RankedBacklogs} from './ranked-backlogs';
import * as timing from './timing';
import {Ahead, AdmissionOrder, WaitingRequest, sumOf} from './types';

/** Each answer changes the measured pace a little. */
const PACE_TOLERANCE_MS = 1;

export class FairDeadlineOrder<
  T extends WaitingRequest,
> extends AdmissionOrder<T> {
  private readonly timely: RankedBacklogs<T>;
  private readonly late: RankedBacklogs<T>;
  private readonly lateItems = new Set<WaitingRequest>();
  private classifiedAt = -Infinity;
  private classifiedPaceMs = 0;
  /** When the next item becomes late, at that pace. */
  private nextLateAt = Infinity;

  /** `floorShare`: minimum share of the starts of each lower rank. */
  constructor(floorShare: number) {
    super();
    this.timely = new RankedBacklogs(floorShare);
    this.late = new RankedBacklogs(floorShare);
  }

  get size(): number {
    return this.timely.size + this.late.size;
  }

  /** A new item counts as one that can be in time until `classify`. */
  push(item: T): void {
    this.timely.push(item);
    this.noteLateTime(timing.lastTimelyStart(item, this.classifiedPaceMs));
  }

  classify(now: number, paceMs: number): void {
    if (!this.mustClassify(now, paceMs)) {
      return;
    }
    this.classifiedAt = now;
    this.classifiedPaceMs = paceMs;
    this.nextLateAt = Infinity;
    for (const item of this.items()) {
      const lateAt = timing.lastTimelyStart(item, paceMs);
      const isLate = lateAt < now;
      if (isLate !== this.lateItems.has(item)) {
        this.remove(item);
        this.add(item, isLate);
      }
      if (!isLate) {
        this.noteLateTime(lateAt);
      }
    }
  }

  remove(item: T): boolean {
    return this.lateItems.delete(item)
      ? this.late.remove(item)
      : this.timely.remove(item);
  }

  next(now: number, paceMs: number, skipped: ReadonlySet<T>): T | undefined {
    this.classify(now, paceMs);
    const mayStart = (item: T) => !skipped.has(item);
    return this.timely.next(mayStart) ?? this.late.next(mayStart);
  }

  start(item: T): void {
    const isLate = this.lateItems.delete(item);
    (isLate ? this.late : this.timely).start(item);
  }

  countAhead(item: WaitingRequest): Ahead {
    return this.lateItems.has(item)
      ? sumOf({higher: this.timely.size, same: 0}, this.late.countAhead(item))
      : this.timely.countAhead(item);
  }

  countLateAhead(item: WaitingRequest): Ahead {
    return this.late.countAhead(item);
  }

  last(now: number, paceMs: number): T | undefined {
    this.classify(now, paceMs);
    return this.late.last() ?? this.timely.last();
  }

  items(): T[] {
    return [...this.timely.items(), ...this.late.items()];
  }

  private noteLateTime(lateAt: number): void {
    this.nextLateAt = Math.min(this.nextLateAt, lateAt);
  }

  /** Items are sorted again only where the result may differ. */
  private mustClassify(now: number, paceMs: number): boolean {
    const paceChange = Math.abs(paceMs - this.classifiedPaceMs);
    return (
      now > this.nextLateAt ||
      now < this.classifiedAt ||
      paceChange > PACE_TOLERANCE_MS
    );
  }

  private add(item: T, isLate: boolean): void {
    (isLate ? this.late : this.timely).push(item);
    if (isLate) {
      this.lateItems.add(item);
    }
  }
}
