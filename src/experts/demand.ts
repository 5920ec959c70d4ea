/** Demand for experts of a group, from its ranks' counters. */
import type {Demand} from './plan';

/** Sums growth of counters; older growth counts for less. */
export class RecentDemand {
  private readonly last = new Map<number, readonly number[]>();
  private sum: Float64Array | undefined;
  private lastAt = 0;
  private noted = 0;

  /** `halfLifeMs`: age at which growth counts for half. */
  constructor(
    private readonly sets: number,
    private readonly halfLifeMs: number,
  ) {}

  /** Takes one round of readings, by rank. */
  note(counts: ReadonlyMap<number, readonly number[]>, now: number): void {
    const keep = 0.5 ** ((now - this.lastAt) / this.halfLifeMs);
    this.lastAt = now;
    this.sum?.forEach((value, at) => (this.sum![at] = value * keep));
    for (const [rank, counters] of counts) {
      const before = this.last.get(rank);
      this.last.set(rank, counters);
      this.addGrowth(before, counters);
    }
  }

  /** Tokens noted, with older ones counting for less. */
  get total(): number {
    return this.sum?.reduce((sum, value) => sum + value, 0) ?? 0;
  }

  /** By set and expert; undefined until something has grown. */
  get demand(): Demand | undefined {
    const sum = this.sum;
    if (sum === undefined || this.noted === 0) {
      return undefined;
    }
    const experts = sum.length / this.sets;
    return Array.from({length: this.sets}, (_, set) =>
      sum.subarray(set * experts, (set + 1) * experts),
    );
  }

  private addGrowth(
    before: readonly number[] | undefined,
    counters: readonly number[],
  ): void {
    // Counters that have shrunk come from an engine that started again.
    if (
      before === undefined ||
      before.length !== counters.length ||
      counters.some((count, at) => count < before[at]!)
    ) {
      return;
    }
    this.sum ??= new Float64Array(counters.length);
    counters.forEach((count, at) => {
      const growth = count - before[at]!;
      this.noted += growth;
      this.sum![at]! += growth;
    });
  }
}
