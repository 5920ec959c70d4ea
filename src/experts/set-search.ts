/**
 * Greedy search for single copies that relieve the most loaded ranks of one
 * set of layers, without I/O. Each step tries only a few hot and cold ranks.
 */
import type {PlanLimits, Slowness} from './plan-types';

/**
 * Weight of a load in the sum to be reduced: dominated by the most loaded rank,
 * while those just below it still count.
 */
function eighthPower(load: number): number {
  const square = load * load;
  const fourth = square * square;
  return fourth * fourth;
}
const ROOT_EXPONENT = 1 / 8;
/** Most loaded ranks of a set that are tried as the source of a move. */
const HOT_RANKS = 2;
/** Least loaded ranks of a set that are tried as the destination of a move. */
const COLD_RANKS = 5;

/** In ascending order, so that equal maps compare equal. */
export function sortedExperts(experts: readonly number[]): number[] {
  return [...experts].sort((a, b) => a - b);
}

/** A copy of one expert to another rank, with the experts that make way for it. */
export interface Move {
  readonly expert: number;
  readonly from: number;
  readonly to: number;
  /** Whether the expert stays on `from` too. */
  readonly keepsSource: boolean;
  /** Expert with other holders that `to` drops; -1: none. */
  readonly evicted: number;
  /** Expert that moves from `to` to `from` in exchange; -1: none. */
  readonly swapped: number;
  /** Ranks that copy an expert, once per copy. */
  readonly copiesTo: readonly number[];
  /** Reduction of the loads' 8-norm per copy, in multiples of the mean load. */
  readonly relief: number;
}

/** The experts held in one set, and the resulting loads of its ranks. */
export class SetSearch {
  /** By rank: the experts that it holds. */
  readonly held: number[][];
  private readonly holders: number[][];
  /** By rank: demand times slowness. */
  private readonly loads: Float64Array;
  /** By rank: experts added by moves. */
  private readonly addedCounts: number[];
  private readonly meanLoad: number;
  /** Sum of the loads' eighth powers, in multiples of the mean load. */
  private powerSum: number;
  /** Change of load by a move, for the ranks in `changedRanks`; 0 elsewhere. */
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
    demand.forEach((expertDemand, expert) => {
      total += expertDemand;
      const ranks = this.holders[expert]!;
      const share = expertDemand / ranks.length;
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

  /**
   * The move with the greatest relief per copy within the limits; undefined if
   * none relieves. `copied` counts the copies already planned, by rank.
   */
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

  apply(move: Move): void {
    const {expert, from, to, keepsSource, evicted, swapped} = move;
    this.computeDeltas(expert, from, to, keepsSource, evicted, swapped);
    for (const rank of this.changedRanks) {
      this.loads[rank]! += this.loadDeltas[rank]!;
    }
    this.clearDeltas();
    this.powerSum = this.computePowerSum();
    this.add(expert, to);
    if (!keepsSource) {
      this.drop(expert, from);
    }
    if (evicted >= 0) {
      this.drop(evicted, to);
    }
    if (swapped >= 0) {
      this.drop(swapped, to);
      this.add(swapped, from);
    }
  }

  private searchBetween(
    from: number,
    to: number,
    limits: PlanLimits,
    copied: readonly number[],
  ): void {
    const sourceExperts = this.held[from]!;
    const destinationExperts = this.held[to]!;
    const hasRoom = destinationExperts.length < limits.places;
    const evictable = hasRoom ? -1 : this.leastLoadedReplica(to);
    const canSwap = this.canAdd(from, limits, copied);
    const minShare = limits.minRelief * this.meanLoad;
    for (const expert of sourceExperts) {
      const share = this.shareOf(expert);
      if (share < minShare || destinationExperts.includes(expert)) {
        continue;
      }
      if (hasRoom || (evictable >= 0 && evictable !== expert)) {
        this.evaluate(expert, from, to, true, evictable, -1);
        this.evaluate(expert, from, to, false, evictable, -1);
      }
      for (const swapped of canSwap ? destinationExperts : []) {
        if (this.shareOf(swapped) < share && !sourceExperts.includes(swapped)) {
          this.evaluate(expert, from, to, false, -1, swapped);
        }
      }
    }
  }

  /** Takes a move as the best one if its relief per copy is higher. */
  private evaluate(
    expert: number,
    from: number,
    to: number,
    keepsSource: boolean,
    evicted: number,
    swapped: number,
  ): void {
    this.computeDeltas(expert, from, to, keepsSource, evicted, swapped);
    const copies = swapped >= 0 ? 2 : 1;
    const relief = this.computeRelief() / copies;
    if (relief > this.bestRelief) {
      const copiesTo = swapped >= 0 ? [to, from] : [to];
      this.bestRelief = relief;
      this.best = {
        expert,
        from,
        to,
        keepsSource,
        evicted,
        swapped,
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

  /** The expert with the smallest share that has other holders; -1: none. */
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

  /** Reduction of the loads' 8-norm by `loadDeltas`, which it clears. */
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

  /** Writes a move's changes of load to `loadDeltas` and `changedRanks`. */
  private computeDeltas(
    expert: number,
    from: number,
    to: number,
    keepsSource: boolean,
    evicted: number,
    swapped: number,
  ): void {
    const expertDemand = this.demand[expert]!;
    const holders = this.holders[expert]!;
    const share = expertDemand / holders.length;
    if (keepsSource) {
      const after = expertDemand / (holders.length + 1);
      for (const rank of holders) {
        this.addDelta(rank, after - share);
      }
      this.addDelta(to, after);
    } else {
      this.addDelta(from, -share);
      this.addDelta(to, share);
    }
    if (evicted >= 0) {
      const others = this.holders[evicted]!;
      const before = this.demand[evicted]! / others.length;
      const after = this.demand[evicted]! / (others.length - 1);
      for (const rank of others) {
        this.addDelta(rank, rank === to ? -before : after - before);
      }
    }
    if (swapped >= 0) {
      const shared = this.demand[swapped]! / this.holders[swapped]!.length;
      this.addDelta(to, -shared);
      this.addDelta(from, shared);
    }
  }

  private addDelta(rank: number, change: number): void {
    if (this.loadDeltas[rank] === 0) {
      this.changedRanks.push(rank);
    }
    // A sum of exactly 0 would list the rank in `changedRanks` twice.
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
