/** Plain statistics for benches. */
import * as random from '../src/random';

/** The value below which the share of the values lies; 0 for none. */
export function quantile(values: readonly number[], share: number): number {
  if (values.length === 0) {
    return 0;
  }
  const sorted = [...values].sort((a, b) => a - b);
  const at = Math.min(sorted.length - 1, Math.floor(share * sorted.length));
  return sorted[at]!;
}

export function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / (values.length || 1);
}

/** Jain's index: 1 where all are equal, 1/n where one has all. */
export function jain(values: readonly number[]): number {
  const sum = values.reduce((a, b) => a + b, 0);
  const squares = values.reduce((a, b) => a + b * b, 0);
  return squares === 0 ? 1 : (sum * sum) / (values.length * squares);
}

/** A draw from the standard normal distribution (Box and Muller). */
export function normal(): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.uniform()));
  return radius * Math.cos(2 * Math.PI * random.uniform());
}
