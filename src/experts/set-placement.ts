/**
 * Packing the experts of one set of layers onto ranks from what they hold, so
 * that the ranks are even and few experts have to be copied. Pure.
 *
 * Experts that are asked for so much that one rank could not bear them get
 * several holders. The largest shares are placed first, on ranks that hold the
 * expert already where these have room, or else on the least loaded ranks with
 * a place that nobody else needs. What is asked for little stays where it is.
 */

/** What one set's packing starts from. */
export interface PlacementInput {
  /** By rank: the experts that it holds. */
  readonly held: readonly (readonly number[])[];
  /** By expert, in any one unit. */
  readonly demand: Float64Array;
  /** By rank: how many times as long as it should its work takes. */
  readonly slowness: readonly number[];
  /** Experts that a rank holds at most. */
  readonly places: number;
  /** By rank: experts that may be new to it. */
  readonly maxNew: readonly number[];
}

/**
 * Largest share of an expert at one of its holders, and load up to which a rank
 * keeps what it holds, in loads of a rank that has its fair part: evener ranks cost
 * more copies, and fewer copies make each pass longer.
 */
const MAX_SHARE = 0.9;
const MAX_KEPT_LOAD = 1.2;
/** A move must make its expert's rank this much emptier. */
const MIN_MOVE_RATIO = 1.04;

/** By rank: the experts that it should hold; undefined where they won't fit. */
export function placeExperts(task: PlacementInput): number[][] | undefined {
  return new Placement(task).placeAll();
}

class Placement {
  private readonly ranks: number;
  private readonly holders: number[][];
  private readonly holderCounts: number[];
  private readonly placed: number[][];
  private readonly loads: Float64Array;
  /** By rank: experts that have no other holder and are not placed yet. */
  private readonly reserved: Int32Array;
  private readonly addedCounts: Int32Array;
  /** Load of a rank that has its fair part, by rank. */
  private readonly fairLoads: Float64Array;

  constructor(private readonly task: PlacementInput) {
    const {held, demand, slowness} = task;
    this.ranks = held.length;
    this.holders = Array.from({length: demand.length}, () => []);
    held.forEach((experts, rank) =>
      experts.forEach(expert => this.holders[expert]!.push(rank)),
    );
    const total = demand.reduce((sum, one) => sum + one, 0);
    const speed = slowness.reduce((sum, slow) => sum + 1 / slow, 0);
    this.fairLoads = Float64Array.from(slowness, slow => total / speed / slow);
    const usual = total / this.ranks;
    this.holderCounts = holderCountsFor(demand, usual * MAX_SHARE, this.ranks);
    this.placed = held.map(() => []);
    this.loads = new Float64Array(this.ranks);
    this.reserved = new Int32Array(this.ranks);
    this.addedCounts = new Int32Array(this.ranks);
  }

  placeAll(): number[][] | undefined {
    const {demand, places} = this.task;
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

  /** Experts with one holder keep their place until they are placed. */
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
    return this.task.demand[expert]! / this.holderCounts[expert]!;
  }

  private place(expert: number): boolean {
    const share = this.shareOf(expert);
    const own = this.holders[expert]!;
    const isReserved = own.length === 1 && this.holderCounts[expert] === 1;
    if (isReserved) {
      this.reserved[own[0]!]! -= 1;
      this.loads[own[0]!]! -= share;
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
      this.addedCounts[rank]! += own.includes(rank) ? 0 : 1;
    }
    return true;
  }

  /** Holders that can keep an expert, the least loaded first. */
  private holdersToKeep(expert: number, share: number): number[] {
    return this.holders[expert]!.filter(
      rank =>
        this.hasFreePlace(rank) &&
        this.loads[rank]! + share <= this.fairLoads[rank]! * MAX_KEPT_LOAD,
    )
      .sort((a, b) => this.relativeLoad(a) - this.relativeLoad(b))
      .slice(0, this.holderCounts[expert]);
  }

  /** The rank that a new holder would fill least, without anybody's place. */
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
    // Moving an expert is worth nothing where its holder is no fuller.
    const own = this.holders[expert]!.filter(
      rank => this.hasFreePlace(rank) && !this.placed[rank]!.includes(expert),
    );
    for (const rank of own) {
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
      taken < this.task.places &&
      this.addedCounts[rank]! < this.task.maxNew[rank]! &&
      !this.placed[rank]!.includes(expert) &&
      !this.task.held[rank]!.includes(expert)
    );
  }

  /** Where an expert must go somewhere: its holders first. */
  private fallbackHolder(expert: number): number | undefined {
    const isFree = (rank: number) =>
      this.hasFreePlace(rank) && !this.placed[rank]!.includes(expert);
    const own = this.holders[expert]!.filter(isFree);
    if (own.length > 0) {
      return own.reduce((a, b) =>
        this.relativeLoad(b) < this.relativeLoad(a) ? b : a,
      );
    }
    return undefined;
  }

  private hasFreePlace(rank: number): boolean {
    return this.placed[rank]!.length < this.task.places;
  }

  private relativeLoad(rank: number): number {
    return this.loads[rank]! / this.fairLoads[rank]!;
  }

  private assign(expert: number, rank: number, share: number): void {
    this.placed[rank]!.push(expert);
    this.loads[rank]! += share;
  }
}

/** By expert: how many ranks should hold it. */
function holderCountsFor(
  demand: Float64Array,
  largest: number,
  ranks: number,
): number[] {
  return Array.from(demand, asked =>
    Math.min(Math.max(Math.ceil(asked / largest), 1), ranks),
  );
}
