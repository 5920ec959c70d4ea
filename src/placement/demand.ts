/**
 * Demand for experts as an exponentially decayed rate of the ranks' counters.
 */
import type {Demand} from './types';

const SECOND_MS = 1_000;

export class DecayedDemand {
  private lastCounts: number[][] | undefined;
  private lastAt = 0;
  private rates: Float64Array[] = [];

  /** `halfLifeMs`: age at which a reading's weight is halved. */
  constructor(private readonly halfLifeMs: number) {}

  /** True once two readings have been compared. */
  get isKnown(): boolean {
    return this.rates.length > 0;
  }

  /** Tokens per second by layer and expert. */
  get demand(): Demand {
    return this.rates;
  }

  /**
   * Records a reading at `now`, in milliseconds. The counters only grow until
   * an engine restarts; the reading after a restart yields no rate.
   */
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
        const increase = count - (before[at]?.[expert] ?? 0);
        const rate = (increase / elapsedMs) * SECOND_MS;
        return keep * (this.rates[at]?.[expert] ?? 0) + (1 - keep) * rate;
      }),
    );
  }
}

/** True if a counter has shrunk, which means that a rank has restarted. */
function hasCounterReset(
  before: readonly (readonly number[])[],
  after: readonly (readonly number[])[],
): boolean {
  return after.some((layer, at) =>
    layer.some((count, expert) => count < (before[at]?.[expert] ?? 0)),
  );
}

/** Sums the counters of all ranks by layer and expert. */
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
