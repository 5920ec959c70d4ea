/** All waiting requests of an entry, with the bytes of their bodies. */
import type {Result} from '../result';
import type {Admitted, Admittee} from './admittee';

const MAX_WAITING = 512;
const MAX_WAITING_BYTES = 8 * 1024 * 1024;

type Settle<V, R> = (result: Result<Admitted<V>, R>) => void;

export class WaitingSet<V, R> {
  private readonly settleOf = new Map<Admittee<V, R>, Settle<V, R>>();
  private bytes = 0;

  get size(): number {
    return this.settleOf.size;
  }

  /** More requests or bytes wait than an entry keeps. */
  get isOverBound(): boolean {
    return this.size > MAX_WAITING || this.bytes > MAX_WAITING_BYTES;
  }

  has(item: Admittee<V, R>): boolean {
    return this.settleOf.has(item);
  }

  items(): Admittee<V, R>[] {
    return [...this.settleOf.keys()];
  }

  add(item: Admittee<V, R>, settle: Settle<V, R>): void {
    this.settleOf.set(item, settle);
    this.bytes += item.bodyBytes;
  }

  /** Ends the wait of a request; false if it doesn't wait. */
  settle(item: Admittee<V, R>, result: Result<Admitted<V>, R>): boolean {
    const settle = this.settleOf.get(item);
    if (settle === undefined) {
      return false;
    }
    this.settleOf.delete(item);
    this.bytes -= item.bodyBytes;
    settle(result);
    return true;
  }
}
