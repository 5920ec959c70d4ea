/** Limits the number of demand lines in a report. */
import {MAX_LINES} from './app';
import type {DemandLine, PoolDemand} from './types';

/** Ranks of merged lines; less urgent ones are merged into the last of these. */
const MERGED_RANKS = 10;

/** Keeps the largest lines and merges the others by rank, without account. */
export function compact(lines: PoolDemand): DemandLine[] {
  if (lines.length <= MAX_LINES) {
    return [...lines];
  }
  const sorted = [...lines].sort(
    (a, b) => b.inFlight + b.waiting - (a.inFlight + a.waiting),
  );
  const keptCount = MAX_LINES - MERGED_RANKS;
  const others = sorted.slice(keptCount);
  const ranks = [...new Set(others.map(({priority}) => priority))]
    .sort((a, b) => a - b)
    .slice(0, MERGED_RANKS);
  const lowest = ranks[ranks.length - 1]!;
  const merged = new Map<number, DemandLine>();
  for (const line of others) {
    const priority = Math.min(line.priority, lowest);
    const before = merged.get(priority);
    merged.set(priority, {
      priority,
      account: '',
      inFlight: line.inFlight + (before?.inFlight ?? 0),
      waiting: line.waiting + (before?.waiting ?? 0),
    });
  }
  return [...sorted.slice(0, keptCount), ...merged.values()];
}
