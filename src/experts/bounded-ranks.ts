/**
 * Ranks with a time limit for all orders of one map change together. A group may
 * be held meanwhile, so a planner that makes no progress must leave it to another.
 */
import type {Order, OrderResult, RankState} from './types';
import {Ranks} from './types';

export class BoundedRanks extends Ranks {
  private isOver = false;
  private timer: NodeJS.Timeout | undefined;
  private readonly over: Promise<void>;

  /** After `limitMs`, calls end as `deposed` and send nothing. */
  constructor(
    private readonly ranks: Ranks,
    limitMs: number,
  ) {
    super();
    this.over = new Promise(resolve => {
      this.timer = setTimeout(() => {
        this.isOver = true;
        resolve();
      }, limitMs);
    });
  }

  get size(): number {
    return this.ranks.size;
  }

  readStates(ranks: readonly number[]): Promise<(RankState | undefined)[]> {
    return this.bound(
      ranks.map(() => undefined),
      () => this.ranks.readStates(ranks),
    );
  }

  order(ranks: readonly number[], order: Order): Promise<OrderResult[]> {
    return this.bound(
      ranks.map(() => 'deposed'),
      () => this.ranks.order(ranks, order),
    );
  }

  orderRemotely(
    ranks: readonly number[],
    order: Order,
  ): Promise<OrderResult[]> {
    return this.bound(
      ranks.map(() => 'deposed'),
      () => this.ranks.orderRemotely(ranks, order),
    );
  }

  orderThrough(
    helper: number,
    rank: number,
    order: Order,
  ): Promise<OrderResult> {
    return this.bound('deposed', () =>
      this.ranks.orderThrough(helper, rank, order),
    );
  }

  /** Ends the time limit; later calls send nothing. */
  close(): void {
    clearTimeout(this.timer);
    this.isOver = true;
  }

  private bound<T>(late: T, call: () => Promise<T>): Promise<T> {
    return this.isOver
      ? Promise.resolve(late)
      : Promise.race([call(), this.over.then(() => late)]);
  }
}
