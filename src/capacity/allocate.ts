/**
 * Divides the capacity of a pool among the entries that use it: by rank
 * (`priority` of the lines), then fairly among client accounts, then by where an
 * account's requests are. Pure.
 */
import type {PoolDemand} from './types';

/** One entry's demand for a pool. */
export interface EntryDemand {
  /** RPC address of the entry. */
  readonly entry: string;
  readonly lines: PoolDemand;
}

export interface AllocationRules {
  /** Weight of a client account in the division; above 0. */
  weightOf(account: string): number;
  /** Part of the capacity that each lower priority gets if it has demand. */
  readonly floorShare: number;
}

/** Demand by entry of one account. */
interface AccountDemand {
  readonly weight: number;
  total: number;
  readonly byEntry: Map<string, number>;
}

interface PriorityLevel {
  readonly priority: number;
  total: number;
  readonly accounts: Map<string, AccountDemand>;
}

const MIN_WEIGHT = 1e-6;

/** Requests in flight and waiting. */
export function demandOf(lines: PoolDemand): number {
  return lines.reduce((sum, line) => sum + line.inFlight + line.waiting, 0);
}

/**
 * Requests that each entry may have in flight. The sum is the capacity, rounded
 * down, unless more entries have demand: each of these gets at least one.
 */
export function allocate(
  capacity: number,
  reports: readonly EntryDemand[],
  rules: AllocationRules,
): Map<string, number> {
  const whole = Math.max(Math.floor(capacity), 0);
  const parts = new Map(reports.map(({entry}) => [entry, 0]));
  const levels = groupByPriority(reports, rules);
  // The highest priority never gets a smaller floor than a lower one.
  const floor = Math.min(rules.floorShare, 1 / levels.length) * whole;
  const floorOf = (level: PriorityLevel) => Math.min(level.total, floor);
  let left = whole;
  let reserved = levels.reduce((sum, level) => sum + floorOf(level), 0);
  for (const level of levels) {
    reserved -= floorOf(level);
    const granted = Math.min(level.total, Math.max(left - reserved, 0));
    divideAmongAccounts(level, granted, parts);
    left -= granted;
  }
  const remainder = Math.max(left, 0) / Math.max(reports.length, 1);
  const wanted = reports.map(({entry, lines}) => ({
    entry,
    part: parts.get(entry)! + remainder,
    min: demandOf(lines) > 0 ? 1 : 0,
  }));
  return round(wanted, whole);
}

/** Levels in descending urgency. */
function groupByPriority(
  reports: readonly EntryDemand[],
  rules: AllocationRules,
): PriorityLevel[] {
  const levels = new Map<number, PriorityLevel>();
  for (const {entry, lines} of reports) {
    for (const {priority, account, inFlight, waiting} of lines) {
      const amount = inFlight + waiting;
      if (amount === 0) {
        continue;
      }
      const level = levels.get(priority) ?? {
        priority,
        total: 0,
        accounts: new Map<string, AccountDemand>(),
      };
      levels.set(priority, level);
      level.total += amount;
      const demand = level.accounts.get(account) ?? {
        weight: Math.max(rules.weightOf(account), MIN_WEIGHT),
        total: 0,
        byEntry: new Map<string, number>(),
      };
      level.accounts.set(account, demand);
      demand.total += amount;
      demand.byEntry.set(entry, (demand.byEntry.get(entry) ?? 0) + amount);
    }
  }
  return [...levels.values()].sort((a, b) => a.priority - b.priority);
}

/** Weighted max-min fair: no account gets more than it asks for. */
function divideAmongAccounts(
  level: PriorityLevel,
  granted: number,
  parts: Map<string, number>,
): void {
  const accounts = [...level.accounts.values()].sort(
    (a, b) => a.total / a.weight - b.total / b.weight,
  );
  let left = granted;
  let weightLeft = accounts.reduce((sum, {weight}) => sum + weight, 0);
  for (const {weight, total, byEntry} of accounts) {
    const part = Math.min(total, (left * weight) / weightLeft);
    left -= part;
    weightLeft -= weight;
    for (const [entry, amount] of byEntry) {
      parts.set(entry, parts.get(entry)! + (part * amount) / total);
    }
  }
}

/** Whole numbers by largest remainder, with a minimum for each entry. */
function round(
  wanted: ReadonlyArray<{entry: string; part: number; min: number}>,
  whole: number,
): Map<string, number> {
  const rounded = wanted.map(({entry, part, min}) => ({
    entry,
    part,
    min,
    share: Math.max(Math.floor(part), min),
  }));
  let left = whole - rounded.reduce((sum, {share}) => sum + share, 0);
  rounded.sort((a, b) => b.part - b.share - (a.part - a.share));
  for (const one of rounded) {
    if (left <= 0) {
      break;
    }
    one.share += 1;
    left -= 1;
  }
  // What the minimum of one has added is taken from the largest shares.
  while (left < 0) {
    const largest = rounded.reduce((a, b) => (b.share > a.share ? b : a));
    if (largest.share <= Math.max(largest.min, 1)) {
      break;
    }
    largest.share -= 1;
    left += 1;
  }
  return new Map(rounded.map(({entry, share}) => [entry, share]));
}
