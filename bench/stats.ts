/** Statistics for benchmarks. */
import * as random from '../src/random';

/** Returns the value at a quantile, given as a share of 1; 0 if empty. */
export function quantile(values: readonly number[], share: number): number {
  if (values.length === 0) {
    return 0;
  }
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.floor(share * sorted.length));
  return sorted[index]!;
}

export function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / (values.length || 1);
}

/** Jain's fairness index: 1 if all are equal, 1/n if one has everything. */
export function jainIndex(values: readonly number[]): number {
  const sum = values.reduce((a, b) => a + b, 0);
  const squares = values.reduce((a, b) => a + b * b, 0);
  return squares === 0 ? 1 : (sum * sum) / (values.length * squares);
}

/** Draws from the standard normal distribution by the Box-Muller method. */
export function normal(): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.uniform()));
  return radius * Math.cos(2 * Math.PI * random.uniform());
}
