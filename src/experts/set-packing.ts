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
export interface SetTask {
  /** By rank: the experts that it holds. */
  readonly held: readonly (readonly number[])[];
  /** By expert, in any one unit. */
  readonly demand: Float64Array;
  /** By rank: how many times as long as it should its work takes. */
  readonly slowness: readonly number[];
  /** Experts that a rank holds at most. */
  readonly places: number;
  /** By rank: experts that may be new to it. */
  readonly room: readonly number[];
}

/**
 * Largest share of an expert at one of its holders, and load up to which a rank
 * keeps what it holds, in loads of a rank that has its fair part: evener ranks cost
 * more copies, and fewer copies make each pass longer.
 */
const LARGEST_SHARE = 0.9;
const KEEP_UP_TO = 1.2;
/** A move must make its expert's rank this much emptier. */
const MOVE_GAIN = 1.04;

/** By rank: the experts that it should hold; undefined where they won't fit. */
export function packSet(task: SetTask): number[][] | undefined {
  return new Packing(task).pack();
}

class Packing {
  private readonly ranks: number;
  private readonly holders: number[][];
  private readonly wanted: number[];
  private readonly packed: number[][];
  private readonly loads: Float64Array;
  /** By rank: experts that have no other holder and are not placed yet. */
  private readonly reserved: Int32Array;
  private readonly brought: Int32Array;
  /** Load of a rank that has its fair part, by rank. */
  private readonly fair: Float64Array;

  constructor(private readonly task: SetTask) {
    const {held, demand, slowness} = task;
    this.ranks = held.length;
    this.holders = Array.from({length: demand.length}, () => []);
    held.forEach((experts, rank) =>
      experts.forEach(expert => this.holders[expert]!.push(rank)),
    );
    const total = demand.reduce((sum, one) => sum + one, 0);
    const speed = slowness.reduce((sum, slow) => sum + 1 / slow, 0);
    this.fair = Float64Array.from(slowness, slow => total / speed / slow);
    const usual = total / this.ranks;
    this.wanted = wantedHolders(demand, usual * LARGEST_SHARE, this.ranks);
    this.packed = held.map(() => []);
    this.loads = new Float64Array(this.ranks);
    this.reserved = new Int32Array(this.ranks);
    this.brought = new Int32Array(this.ranks);
  }

  pack(): number[][] | undefined {
    const {demand, places} = this.task;
    const sum = this.wanted.reduce((total, count) => total + count, 0);
    if (sum > places * this.ranks) {
      return undefined;
    }
    this.reserve();
    const order = [...demand.keys()].sort(
      (a, b) => this.shareOf(b) - this.shareOf(a),
    );
    return order.every(expert => this.place(expert)) ? this.packed : undefined;
  }

  /** Experts with one holder keep their place until they are placed. */
  private reserve(): void {
    this.holders.forEach((ranks, expert) => {
      const [only] = ranks;
      if (ranks.length === 1 && this.wanted[expert] === 1) {
        this.reserved[only!]! += 1;
        this.loads[only!]! += this.shareOf(expert);
      }
    });
  }

  private shareOf(expert: number): number {
    return this.task.demand[expert]! / this.wanted[expert]!;
  }

  private place(expert: number): boolean {
    const share = this.shareOf(expert);
    const own = this.holders[expert]!;
    const isReserved = own.length === 1 && this.wanted[expert] === 1;
    if (isReserved) {
      this.reserved[own[0]!]! -= 1;
      this.loads[own[0]!]! -= share;
    }
    const kept = this.keepers(expert, share);
    kept.forEach(rank => this.put(expert, rank, share));
    for (let count = kept.length; count < this.wanted[expert]!; count += 1) {
      const rank = this.newHolder(expert, share) ?? this.anyHolder(expert);
      if (rank === undefined) {
        return false;
      }
      this.put(expert, rank, share);
      this.brought[rank]! += own.includes(rank) ? 0 : 1;
    }
    return true;
  }

  /** Holders that can keep an expert, the least loaded first. */
  private keepers(expert: number, share: number): number[] {
    return this.holders[expert]!.filter(
      rank =>
        this.hasPlace(rank) &&
        this.loads[rank]! + share <= this.fair[rank]! * KEEP_UP_TO,
    )
      .sort((a, b) => this.fullness(a) - this.fullness(b))
      .slice(0, this.wanted[expert]);
  }

  /** The rank that a new holder would fill least, without anybody's place. */
  private newHolder(expert: number, share: number): number | undefined {
    let best: number | undefined;
    let least = Infinity;
    for (let rank = 0; rank < this.ranks; rank += 1) {
      if (!this.mayBring(expert, rank)) {
        continue;
      }
      const then = (this.loads[rank]! + share) / this.fair[rank]!;
      if (then < least) {
        least = then;
        best = rank;
      }
    }
    // Moving an expert is worth nothing where its holder is no fuller.
    const own = this.holders[expert]!.filter(
      rank => this.hasPlace(rank) && !this.packed[rank]!.includes(expert),
    );
    for (const rank of own) {
      const then = (this.loads[rank]! + share) / this.fair[rank]!;
      if (then <= least * MOVE_GAIN) {
        least = then;
        best = rank;
      }
    }
    return best;
  }

  private mayBring(expert: number, rank: number): boolean {
    const taken = this.packed[rank]!.length + this.reserved[rank]!;
    return (
      taken < this.task.places &&
      this.brought[rank]! < this.task.room[rank]! &&
      !this.packed[rank]!.includes(expert) &&
      !this.task.held[rank]!.includes(expert)
    );
  }

  /** Where an expert must go somewhere: its holders first. */
  private anyHolder(expert: number): number | undefined {
    const isFree = (rank: number) =>
      this.hasPlace(rank) && !this.packed[rank]!.includes(expert);
    const own = this.holders[expert]!.filter(isFree);
    if (own.length > 0) {
      return own.reduce((a, b) =>
        this.fullness(b) < this.fullness(a) ? b : a,
      );
    }
    return undefined;
  }

  private hasPlace(rank: number): boolean {
    return this.packed[rank]!.length < this.task.places;
  }

  private fullness(rank: number): number {
    return this.loads[rank]! / this.fair[rank]!;
  }

  private put(expert: number, rank: number, share: number): void {
    this.packed[rank]!.push(expert);
    this.loads[rank]! += share;
  }
}

/** By expert: how many ranks should hold it. */
function wantedHolders(
  demand: Float64Array,
  largest: number,
  ranks: number,
): number[] {
  return Array.from(demand, asked =>
    Math.min(Math.max(Math.ceil(asked / largest), 1), ranks),
  );
}
