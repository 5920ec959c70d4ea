/**
 * One set's experts on ranks, and the single copies that relieve the most
 * loaded of them. Pure.
 */
import type {PlanLimits, Slowness} from './plan-types';

/**
 * Loads count by their eighth power, so that the most loaded ranks weigh most
 * and ranks just beneath them are not forgotten.
 */
function eighthPower(load: number): number {
  const square = load * load;
  const fourth = square * square;
  return fourth * fourth;
}
const ROOT_EXPONENT = 1 / 8;
/** Hot ranks of a set that are tried to be relieved. */
const HOT_RANKS = 2;
/** Lightly loaded ranks of a set that are tried as places. */
const COLD_RANKS = 5;

/** In rising order, so that equal maps are told alike. */
export function sortedExperts(experts: readonly number[]): number[] {
  return [...experts].sort((a, b) => a - b);
}

/** One change of places within a set. */
export interface Move {
  readonly expert: number;
  readonly from: number;
  readonly to: number;
  /** True: the expert stays on `from` too. */
  readonly keepsSource: boolean;
  /** Dropped by `to`, where it has other holders; -1: none. */
  readonly evicted: number;
  /** Goes from `to` to `from`; -1: none. */
  readonly swapped: number;
  readonly copiesTo: readonly number[];
  /** Fall of the weighted load per copy, in shares of the mean load. */
  readonly relief: number;
}

/** One set's places, and the loads that follow from them, by slowness. */
export class SetSearch {
  readonly held: number[][];
  private readonly holders: number[][];
  private readonly loads: Float64Array;
  private readonly addedCounts: number[];
  private readonly meanLoad: number;
  /** Sum of weighed loads, a smooth stand-in for the most loaded rank. */
  private powerSum: number;
  /** What an action would change, for the ranks that it touches. */
  private readonly loadDeltas: Float64Array;
  private readonly changedRanks: number[] = [];
  private best: Move | undefined;
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
    this.addedCounts = new Array<number>(held.length).fill(0);
    let total = 0;
    demand.forEach((asked, expert) => {
      total += asked;
      const ranks = this.holders[expert]!;
      const share = asked / ranks.length;
      ranks.forEach(rank => (this.loads[rank]! += share * slowness[rank]!));
    });
    this.meanLoad = total / held.length || 1;
    this.loadDeltas = new Float64Array(held.length);
    this.powerSum = this.computePowerSum();
  }

  get sorted(): number[][] {
    return this.held.map(sortedExperts);
  }

  get imbalance(): number {
    return Math.max(...this.loads) / this.meanLoad;
  }

  /** The action with the greatest relief per copy. */
  bestMove(limits: PlanLimits, copied: readonly number[]): Move | undefined {
    const order = [...this.loads.keys()].sort(
      (a, b) => this.loads[b]! - this.loads[a]!,
    );
    const hot = order.slice(0, HOT_RANKS);
    const cold = order
      .filter(rank => this.canAdd(rank, limits, copied))
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

  apply(action: Move): void {
    const {
      expert,
      from,
      to,
      keepsSource: keeps,
      evicted: drops,
      swapped: back,
    } = action;
    this.computeDeltas(expert, from, to, keeps, drops, back);
    for (const rank of this.changedRanks) {
      this.loads[rank]! += this.loadDeltas[rank]!;
    }
    this.clearDeltas();
    this.powerSum = this.computePowerSum();
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
    const dropped = hasRoom ? -1 : this.leastLoadedReplica(to);
    const maySwap = this.canAdd(from, limits, copied);
    const leastShare = limits.minRelief * this.meanLoad;
    for (const expert of ours) {
      const share = this.shareOf(expert);
      if (share < leastShare || theirs.includes(expert)) {
        continue;
      }
      if (hasRoom || (dropped >= 0 && dropped !== expert)) {
        this.evaluate(expert, from, to, true, dropped, -1);
        this.evaluate(expert, from, to, false, dropped, -1);
      }
      for (const back of maySwap ? theirs : []) {
        if (this.shareOf(back) < share && !ours.includes(back)) {
          this.evaluate(expert, from, to, false, -1, back);
        }
      }
    }
  }

  /** Keeps an action where it relieves more than the best so far. */
  private evaluate(
    expert: number,
    from: number,
    to: number,
    keeps: boolean,
    drops: number,
    back: number,
  ): void {
    this.computeDeltas(expert, from, to, keeps, drops, back);
    const copies = back >= 0 ? 2 : 1;
    const relief = this.computeRelief() / copies;
    if (relief > this.bestRelief) {
      const copiesTo = back >= 0 ? [to, from] : [to];
      this.bestRelief = relief;
      this.best = {
        expert,
        from,
        to,
        keepsSource: keeps,
        evicted: drops,
        swapped: back,
        copiesTo,
        relief,
      };
    }
  }

  private shareOf(expert: number): number {
    return this.demand[expert]! / this.holders[expert]!.length;
  }

  private canAdd(
    rank: number,
    limits: PlanLimits,
    copied: readonly number[],
  ): boolean {
    return (
      this.addedCounts[rank]! < limits.spare &&
      copied[rank]! < limits.copiesPerRank
    );
  }

  /** The expert of a rank with other holders and the least load; -1: none. */
  private leastLoadedReplica(rank: number): number {
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
  private computeRelief(): number {
    let sum = this.powerSum;
    for (const rank of this.changedRanks) {
      const now = this.loads[rank]!;
      const then = now + this.loadDeltas[rank]!;
      sum +=
        eighthPower(then / this.meanLoad) - eighthPower(now / this.meanLoad);
    }
    this.clearDeltas();
    return this.powerSum ** ROOT_EXPONENT - Math.max(sum, 0) ** ROOT_EXPONENT;
  }

  /** Puts into `delta` how an action changes the loads of `touched` ranks. */
  private computeDeltas(
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
        this.addDelta(rank, after - share);
      }
      this.addDelta(to, after);
    } else {
      this.addDelta(from, -share);
      this.addDelta(to, share);
    }
    if (drops >= 0) {
      const others = this.holders[drops]!;
      const before = this.demand[drops]! / others.length;
      const after = this.demand[drops]! / (others.length - 1);
      for (const rank of others) {
        this.addDelta(rank, rank === to ? -before : after - before);
      }
    }
    if (back >= 0) {
      const shared = this.demand[back]! / this.holders[back]!.length;
      this.addDelta(to, -shared);
      this.addDelta(from, shared);
    }
  }

  private addDelta(rank: number, change: number): void {
    if (this.loadDeltas[rank] === 0) {
      this.changedRanks.push(rank);
    }
    // Never exactly zero again, so that a rank is listed once.
    const weighted = change * this.slowness[rank]!;
    this.loadDeltas[rank] =
      this.loadDeltas[rank]! + weighted || Number.MIN_VALUE;
  }

  private clearDeltas(): void {
    for (const rank of this.changedRanks) {
      this.loadDeltas[rank] = 0;
    }
    this.changedRanks.length = 0;
  }

  private computePowerSum(): number {
    let sum = 0;
    for (const load of this.loads) {
      sum += eighthPower(load / this.meanLoad);
    }
    return sum;
  }

  private add(expert: number, rank: number): void {
    this.held[rank]!.push(expert);
    this.holders[expert]!.push(rank);
    this.addedCounts[rank]! += 1;
  }

  private drop(expert: number, rank: number): void {
    const held = this.held[rank]!;
    held.splice(held.indexOf(expert), 1);
    const holders = this.holders[expert]!;
    holders.splice(holders.indexOf(rank), 1);
  }
}
