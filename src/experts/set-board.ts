/**
 * One set's experts on ranks, and the single copies that relieve the most
 * loaded of them. Pure.
 */
import type {PlanLimits, Slowness} from './plan-types';

/**
 * Loads count by their eighth power, so that the most loaded ranks weigh most
 * and ranks just beneath them are not forgotten.
 */
function weigh(load: number): number {
  const square = load * load;
  const fourth = square * square;
  return fourth * fourth;
}
const ROOT = 1 / 8;
/** Hot ranks of a set that are tried to be relieved. */
const HOT_RANKS = 2;
/** Lightly loaded ranks of a set that are tried as places. */
const COLD_RANKS = 5;

/** In rising order, so that equal maps are told alike. */
export function sortedExperts(experts: readonly number[]): number[] {
  return [...experts].sort((a, b) => a - b);
}

/** One change of places within a set. */
export interface Action {
  readonly expert: number;
  readonly from: number;
  readonly to: number;
  /** True: the expert stays on `from` too. */
  readonly keeps: boolean;
  /** Dropped by `to`, where it has other holders; -1: none. */
  readonly drops: number;
  /** Goes from `to` to `from`; -1: none. */
  readonly back: number;
  readonly copiesTo: readonly number[];
  /** Fall of the weighted load per copy, in shares of the mean load. */
  readonly relief: number;
}

/** One set's places, and the loads that follow from them, by slowness. */
export class SetBoard {
  readonly held: number[][];
  private readonly holders: number[][];
  private readonly loads: Float64Array;
  private readonly brought: number[];
  private readonly mean: number;
  /** Sum of weighed loads, a smooth stand-in for the most loaded rank. */
  private weighted: number;
  /** What an action would change, for the ranks that it touches. */
  private readonly delta: Float64Array;
  private readonly touched: number[] = [];
  private best: Action | undefined;
  private bestRelief = 0;

  constructor(
    held: readonly (readonly number[])[],
    private readonly demand: Float64Array,
    private readonly slowness: Slowness,
  ) {
    this.held = held.map(experts => [...experts]);
    this.holders = Array.from({length: demand.length}, () => []);
    this.held.forEach((experts, rank) =>
      experts.forEach(expert => this.holders[expert]!.push(rank)),
    );
    this.loads = new Float64Array(held.length);
    this.brought = new Array<number>(held.length).fill(0);
    let total = 0;
    demand.forEach((asked, expert) => {
      total += asked;
      const ranks = this.holders[expert]!;
      const share = asked / ranks.length;
      ranks.forEach(rank => (this.loads[rank]! += share * slowness[rank]!));
    });
    this.mean = total / held.length || 1;
    this.delta = new Float64Array(held.length);
    this.weighted = this.weighAll();
  }

  get sorted(): number[][] {
    return this.held.map(sortedExperts);
  }

  get imbalance(): number {
    return Math.max(...this.loads) / this.mean;
  }

  /** The action with the greatest relief per copy. */
  bestAction(
    limits: PlanLimits,
    copied: readonly number[],
  ): Action | undefined {
    const order = [...this.loads.keys()].sort(
      (a, b) => this.loads[b]! - this.loads[a]!,
    );
    const hot = order.slice(0, HOT_RANKS);
    const cold = order
      .filter(rank => this.mayBring(rank, limits, copied))
      .slice(-COLD_RANKS);
    this.best = undefined;
    this.bestRelief = 0;
    for (const from of hot) {
      for (const to of cold) {
        if (to !== from) {
          this.searchBetween(from, to, limits, copied);
        }
      }
    }
    return this.best;
  }

  apply(action: Action): void {
    const {expert, from, to, keeps, drops, back} = action;
    this.changeLoads(expert, from, to, keeps, drops, back);
    for (const rank of this.touched) {
      this.loads[rank]! += this.delta[rank]!;
    }
    this.resetChange();
    this.weighted = this.weighAll();
    this.add(expert, to);
    if (!keeps) {
      this.drop(expert, from);
    }
    if (drops >= 0) {
      this.drop(drops, to);
    }
    if (back >= 0) {
      this.drop(back, to);
      this.add(back, from);
    }
  }

  private searchBetween(
    from: number,
    to: number,
    limits: PlanLimits,
    copied: readonly number[],
  ): void {
    const ours = this.held[from]!;
    const theirs = this.held[to]!;
    const hasRoom = theirs.length < limits.places;
    const dropped = hasRoom ? -1 : this.leastReplica(to);
    const maySwap = this.mayBring(from, limits, copied);
    const leastShare = limits.minRelief * this.mean;
    for (const expert of ours) {
      const share = this.shareOf(expert);
      if (share < leastShare || theirs.includes(expert)) {
        continue;
      }
      if (hasRoom || (dropped >= 0 && dropped !== expert)) {
        this.rate(expert, from, to, true, dropped, -1);
        this.rate(expert, from, to, false, dropped, -1);
      }
      for (const back of maySwap ? theirs : []) {
        if (this.shareOf(back) < share && !ours.includes(back)) {
          this.rate(expert, from, to, false, -1, back);
        }
      }
    }
  }

  /** Keeps an action where it relieves more than the best so far. */
  private rate(
    expert: number,
    from: number,
    to: number,
    keeps: boolean,
    drops: number,
    back: number,
  ): void {
    this.changeLoads(expert, from, to, keeps, drops, back);
    const copies = back >= 0 ? 2 : 1;
    const relief = this.takeRelief() / copies;
    if (relief > this.bestRelief) {
      const copiesTo = back >= 0 ? [to, from] : [to];
      this.bestRelief = relief;
      this.best = {expert, from, to, keeps, drops, back, copiesTo, relief};
    }
  }

  private shareOf(expert: number): number {
    return this.demand[expert]! / this.holders[expert]!.length;
  }

  private mayBring(
    rank: number,
    limits: PlanLimits,
    copied: readonly number[],
  ): boolean {
    return (
      this.brought[rank]! < limits.spare && copied[rank]! < limits.copiesPerRank
    );
  }

  /** The expert of a rank with other holders and the least load; -1: none. */
  private leastReplica(rank: number): number {
    let best = -1;
    let least = Infinity;
    for (const expert of this.held[rank]!) {
      const share = this.shareOf(expert);
      if (this.holders[expert]!.length > 1 && share < least) {
        best = expert;
        least = share;
      }
    }
    return best;
  }

  /** What the change in `delta` relieves, in shares of the mean load. */
  private takeRelief(): number {
    let sum = this.weighted;
    for (const rank of this.touched) {
      const now = this.loads[rank]!;
      const then = now + this.delta[rank]!;
      sum += weigh(then / this.mean) - weigh(now / this.mean);
    }
    this.resetChange();
    return this.weighted ** ROOT - Math.max(sum, 0) ** ROOT;
  }

  /** Puts into `delta` how an action changes the loads of `touched` ranks. */
  private changeLoads(
    expert: number,
    from: number,
    to: number,
    keeps: boolean,
    drops: number,
    back: number,
  ): void {
    const asked = this.demand[expert]!;
    const holders = this.holders[expert]!;
    const share = asked / holders.length;
    if (keeps) {
      const after = asked / (holders.length + 1);
      for (const rank of holders) {
        this.touch(rank, after - share);
      }
      this.touch(to, after);
    } else {
      this.touch(from, -share);
      this.touch(to, share);
    }
    if (drops >= 0) {
      const others = this.holders[drops]!;
      const before = this.demand[drops]! / others.length;
      const after = this.demand[drops]! / (others.length - 1);
      for (const rank of others) {
        this.touch(rank, rank === to ? -before : after - before);
      }
    }
    if (back >= 0) {
      const shared = this.demand[back]! / this.holders[back]!.length;
      this.touch(to, -shared);
      this.touch(from, shared);
    }
  }

  private touch(rank: number, change: number): void {
    if (this.delta[rank] === 0) {
      this.touched.push(rank);
    }
    // Never exactly zero again, so that a rank is listed once.
    const weighted = change * this.slowness[rank]!;
    this.delta[rank] = this.delta[rank]! + weighted || Number.MIN_VALUE;
  }

  private resetChange(): void {
    for (const rank of this.touched) {
      this.delta[rank] = 0;
    }
    this.touched.length = 0;
  }

  private weighAll(): number {
    let sum = 0;
    for (const load of this.loads) {
      sum += weigh(load / this.mean);
    }
    return sum;
  }

  private add(expert: number, rank: number): void {
    this.held[rank]!.push(expert);
    this.holders[expert]!.push(rank);
    this.brought[rank]! += 1;
  }

  private drop(expert: number, rank: number): void {
    const held = this.held[rank]!;
    held.splice(held.indexOf(expert), 1);
    const holders = this.holders[expert]!;
    holders.splice(holders.indexOf(rank), 1);
  }
}
