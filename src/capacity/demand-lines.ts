/** Limits the number of demand lines in a report. */
import {MAX_LINES} from './app';
import type {DemandLine, PoolDemand} from './types';

/** Priorities are 0 to this one; less urgent ones are merged into it. */
const LOWEST_PRIORITY = 9;

/** Keeps the largest lines and merges the others by priority, without account. */
export function compact(lines: PoolDemand): DemandLine[] {
  if (lines.length <= MAX_LINES) {
    return [...lines];
  }
  const sorted = [...lines].sort(
    (a, b) => b.inFlight + b.waiting - (a.inFlight + a.waiting),
  );
  const keptCount = MAX_LINES - LOWEST_PRIORITY - 1;
  const merged = new Map<number, DemandLine>();
  for (const line of sorted.slice(keptCount)) {
    const priority = Math.min(line.priority, LOWEST_PRIORITY);
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
