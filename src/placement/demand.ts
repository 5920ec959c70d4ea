/** Demand for experts, from the ranks' counters, decayed over time. */
import type {Demand} from './types';

const SECOND_MS = 1_000;

export class DecayedDemand {
  private lastCounts: number[][] | undefined;
  private lastAt = 0;
  private rates: Float64Array[] = [];

  /** `halfLifeMs`: age at which a reading counts for half. */
  constructor(private readonly halfLifeMs: number) {}

  /** True once there are two readings to compare. */
  get isKnown(): boolean {
    return this.rates.length > 0;
  }

  get demand(): Demand {
    return this.rates;
  }

  /** Notes a reading of counters that only grow while an engine lives. */
  record(counts: readonly (readonly number[])[], now: number): void {
    const before = this.lastCounts;
    const elapsedMs = now - this.lastAt;
    this.lastCounts = counts.map(layer => [...layer]);
    this.lastAt = now;
    if (
      before === undefined ||
      elapsedMs <= 0 ||
      hasCounterReset(before, counts)
    ) {
      return;
    }
    const keep =
      this.rates.length === 0 ? 0 : 0.5 ** (elapsedMs / this.halfLifeMs);
    this.rates = counts.map((layer, at) =>
      Float64Array.from(layer, (count, expert) => {
        const grown = count - (before[at]?.[expert] ?? 0);
        const rate = (grown / elapsedMs) * SECOND_MS;
        return keep * (this.rates[at]?.[expert] ?? 0) + (1 - keep) * rate;
      }),
    );
  }
}

/** Counters that have shrunk come from a rank that started again. */
function hasCounterReset(
  before: readonly (readonly number[])[],
  after: readonly (readonly number[])[],
): boolean {
  return after.some((layer, at) =>
    layer.some((count, expert) => count < (before[at]?.[expert] ?? 0)),
  );
}

/** Adds up the counters of all ranks. */
export function sumCounts(
  ranks: readonly (readonly (readonly number[])[])[],
): number[][] {
  const [first] = ranks;
  return (first ?? []).map((layer, at) =>
    layer.map((_, expert) =>
      ranks.reduce((sum, counts) => sum + (counts[at]?.[expert] ?? 0), 0),
    ),
  );
}
