/**
 * Priority, then arrival; started streams precede all others. Requests hold up
 * later ones only where permits are short: those that wait for a closed or full
 * group don't.
 */
import {Ahead, AdmissionOrder, WaitingRequest} from './types';

export class ArrivalOrder<T extends WaitingRequest> extends AdmissionOrder<T> {
  private readonly queue: T[] = [];

  get size(): number {
    return this.queue.length;
  }

  push(item: T): void {
    this.queue.splice(this.positionOf(item), 0, item);
  }

  /** Nothing is late without an objective. */
  classify(): void {}

  remove(item: T): boolean {
    const at = this.queue.indexOf(item);
    if (at >= 0) {
      this.queue.splice(at, 1);
    }
    return at >= 0;
  }

  next(_now: number, _paceMs: number, skipped: ReadonlySet<T>): T | undefined {
    return this.queue.find(item => !skipped.has(item));
  }

  start(item: T): void {
    this.remove(item);
  }

  countAhead(item: WaitingRequest): Ahead {
    const at = this.queue.findIndex(one => one === item);
    const ahead = this.queue.slice(0, at < 0 ? this.positionOf(item) : at);
    const counted = ahead.filter(({needsPermit}) => needsPermit);
    const higher = counted.filter(other => classOf(other) < classOf(item));
    return {higher: higher.length, same: counted.length - higher.length};
  }

  countLateAhead(): Ahead {
    return {higher: 0, same: 0};
  }

  last(): T | undefined {
    return this.queue[this.queue.length - 1];
  }

  items(): T[] {
    return [...this.queue];
  }

  /** Position behind the items that a new one doesn't precede. */
  private positionOf(item: WaitingRequest): number {
    const at = this.queue.findIndex(other => classOf(other) > classOf(item));
    return at < 0 ? this.queue.length : at;
  }
}

const STARTED_RANK = -1;

/** Lower ranks are served first; started streams precede all. */
export function rankOf(item: WaitingRequest): number {
  return item.isStarted ? STARTED_RANK : item.rank;
}

/** The same without the route's priority where an account has one. */
function classOf(item: WaitingRequest): number {
  return item.isStarted ? STARTED_RANK : item.priority;
}
