/**
 * Places the experts of one set of layers on ranks, balancing load with few
 * copies. Pure.
 *
 * An expert with more demand than one rank should carry gets several holders.
 * Shares are placed in descending order: on current holders that have room, or
 * else on the least loaded ranks with an unreserved place. The search is greedy
 * and may find no placement although one exists.
 */

export interface PlacementInput {
  /** By rank: the experts that it holds. */
  readonly held: readonly (readonly number[])[];
  /** By expert, in any unit. */
  readonly demand: Float64Array;
  /** By rank: factor by which its work takes longer than normal; 1 is normal. */
  readonly slowness: readonly number[];
  /** Maximum experts that a rank holds. */
  readonly places: number;
  /** By rank: maximum experts that are new to it. */
  readonly maxNew: readonly number[];
}

/**
 * Maximum load of an expert at one holder, as a multiple of the mean load.
 * Lower values balance better but need more copies; with fewer copies each pass
 * is longer.
 */
const MAX_SHARE = 0.9;
/**
 * Load up to which a rank keeps the experts it holds, as a multiple of its fair
 * load. Lower values balance better but need more copies.
 */
const MAX_KEPT_LOAD = 1.2;
/** Ratio of relative loads, current holder to new rank, above which an expert moves. */
const MIN_MOVE_RATIO = 1.04;

/** By rank: the experts that it should hold; undefined if no placement is found. */
export function placeExperts(input: PlacementInput): number[][] | undefined {
  return new Placement(input).placeAll();
}

class Placement {
  private readonly ranks: number;
  private readonly holders: number[][];
  /** By expert: how many ranks should hold it. */
  private readonly holderCounts: number[];
  private readonly placed: number[][];
  private readonly loads: Float64Array;
  /** By rank: places kept for experts that it alone holds and are not yet placed. */
  private readonly reserved: Int32Array;
  /** By rank: experts placed that are new to it. */
  private readonly addedCounts: Int32Array;
  /** By rank: its part of the total demand, in proportion to its speed. */
  private readonly fairLoads: Float64Array;

  constructor(private readonly input: PlacementInput) {
    const {held, demand, slowness} = input;
    this.ranks = held.length;
    this.holders = Array.from({length: demand.length}, () => []);
    held.forEach((experts, rank) =>
      experts.forEach(expert => this.holders[expert]!.push(rank)),
    );
    const total = demand.reduce((sum, one) => sum + one, 0);
    const speed = slowness.reduce((sum, slow) => sum + 1 / slow, 0);
    this.fairLoads = Float64Array.from(slowness, slow => total / speed / slow);
    const meanLoad = total / this.ranks;
    this.holderCounts = holderCountsFor(
      demand,
      meanLoad * MAX_SHARE,
      this.ranks,
    );
    this.placed = held.map(() => []);
    this.loads = new Float64Array(this.ranks);
    this.reserved = new Int32Array(this.ranks);
    this.addedCounts = new Int32Array(this.ranks);
  }

  placeAll(): number[][] | undefined {
    const {demand, places} = this.input;
    const sum = this.holderCounts.reduce((total, count) => total + count, 0);
    if (sum > places * this.ranks) {
      return undefined;
    }
    this.reserve();
    const order = [...demand.keys()].sort(
      (a, b) => this.shareOf(b) - this.shareOf(a),
    );
    return order.every(expert => this.place(expert)) ? this.placed : undefined;
  }

  /** Reserves the current place of each expert with a single holder. */
  private reserve(): void {
    this.holders.forEach((ranks, expert) => {
      const [only] = ranks;
      if (ranks.length === 1 && this.holderCounts[expert] === 1) {
        this.reserved[only!]! += 1;
        this.loads[only!]! += this.shareOf(expert);
      }
    });
  }

  private shareOf(expert: number): number {
    return this.input.demand[expert]! / this.holderCounts[expert]!;
  }

  private place(expert: number): boolean {
    const share = this.shareOf(expert);
    const current = this.holders[expert]!;
    const isReserved = current.length === 1 && this.holderCounts[expert] === 1;
    if (isReserved) {
      this.reserved[current[0]!]! -= 1;
      this.loads[current[0]!]! -= share;
    }
    const kept = this.holdersToKeep(expert, share);
    kept.forEach(rank => this.assign(expert, rank, share));
    for (
      let count = kept.length;
      count < this.holderCounts[expert]!;
      count += 1
    ) {
      const rank =
        this.bestHolder(expert, share) ?? this.fallbackHolder(expert);
      if (rank === undefined) {
        return false;
      }
      this.assign(expert, rank, share);
      this.addedCounts[rank]! += current.includes(rank) ? 0 : 1;
    }
    return true;
  }

  /** Current holders with room for an expert's share, least loaded first. */
  private holdersToKeep(expert: number, share: number): number[] {
    return this.holders[expert]!.filter(
      rank =>
        this.hasFreePlace(rank) &&
        this.loads[rank]! + share <= this.fairLoads[rank]! * MAX_KEPT_LOAD,
    )
      .sort((a, b) => this.relativeLoad(a) - this.relativeLoad(b))
      .slice(0, this.holderCounts[expert]);
  }

  /** The least loaded rank that may add an expert or, if nearly as good, a holder. */
  private bestHolder(expert: number, share: number): number | undefined {
    let best: number | undefined;
    let least = Infinity;
    for (let rank = 0; rank < this.ranks; rank += 1) {
      if (!this.canAdd(expert, rank)) {
        continue;
      }
      const then = (this.loads[rank]! + share) / this.fairLoads[rank]!;
      if (then < least) {
        least = then;
        best = rank;
      }
    }
    // Staying at a current holder costs no copy.
    const current = this.holders[expert]!.filter(
      rank => this.hasFreePlace(rank) && !this.placed[rank]!.includes(expert),
    );
    for (const rank of current) {
      const then = (this.loads[rank]! + share) / this.fairLoads[rank]!;
      if (then <= least * MIN_MOVE_RATIO) {
        least = then;
        best = rank;
      }
    }
    return best;
  }

  private canAdd(expert: number, rank: number): boolean {
    const taken = this.placed[rank]!.length + this.reserved[rank]!;
    return (
      taken < this.input.places &&
      this.addedCounts[rank]! < this.input.maxNew[rank]! &&
      !this.placed[rank]!.includes(expert) &&
      !this.input.held[rank]!.includes(expert)
    );
  }

  /** The least loaded current holder with a free place, reserved or not. */
  private fallbackHolder(expert: number): number | undefined {
    const isFree = (rank: number) =>
      this.hasFreePlace(rank) && !this.placed[rank]!.includes(expert);
    const current = this.holders[expert]!.filter(isFree);
    if (current.length > 0) {
      return current.reduce((a, b) =>
        this.relativeLoad(b) < this.relativeLoad(a) ? b : a,
      );
    }
    return undefined;
  }

  private hasFreePlace(rank: number): boolean {
    return this.placed[rank]!.length < this.input.places;
  }

  private relativeLoad(rank: number): number {
    return this.loads[rank]! / this.fairLoads[rank]!;
  }

  private assign(expert: number, rank: number, share: number): void {
    this.placed[rank]!.push(expert);
    this.loads[rank]! += share;
  }
}

function holderCountsFor(
  demand: Float64Array,
  maxShare: number,
  ranks: number,
): number[] {
  return Array.from(demand, expertDemand =>
    Math.min(Math.max(Math.ceil(expertDemand / maxShare), 1), ranks),
  );
}
