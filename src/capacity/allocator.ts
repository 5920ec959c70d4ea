/**
 * The allocator's accounting of pools: the latest report of each entry, what
 * each may use, and which entries are missing. Takes the time as an argument.
 *
 * A share rises only by what no other entry may use, so that the sum stays within
 * the capacity whatever messages are lost. A new allocator, or one that was
 * suspended, raises no share above an equal part until the shares granted by the
 * former one have expired.
 */
import {AllocationRules, allocate, demandOf} from './allocate';
import type {PoolReport, ShareGrant} from './app';
import * as bounded from '../bounded';
import {MissingEntries} from './missing-entries';
import * as timing from './timing';

/** Wait of an entry whose share was lowered while another needs it. */
const RELEASE_DELAY_MS = 40;
/**
 * Wait of an entry whose share is about to rise, or that has more in flight than
 * its share while another needs it.
 */
const RAISE_DELAY_MS = 100;
/** Missing part of a share, relative to it, for which an entry reports earlier. */
const MIN_RAISE_SHARE = 0.1;
/** Targets are reused for this long: 40 divisions per second at most. */
const TARGETS_TTL_MS = 25;
/**
 * A pool whose demand exceeds this part of its capacity is short. Reports stand for
 * 200 ms: requests that have ended meanwhile still count, so it is not lower.
 */
const SHORT_DEMAND = 0.75;
/** A pool without reports is removed after this time. */
const IDLE_TIMEOUT_MS = 30_000;
const MAX_ENTRIES = 128;

/** What the allocator knows of the other entries. */
export interface KnownEntries {
  /** RPC addresses, including this process. */
  readonly addresses: readonly string[];
  /** Assumed number of entries; at least the number of addresses. */
  readonly count: number;
  /** The capacity divided by this is the equal part of an entry. */
  readonly parts: number;
  /** No other entry has been in contact: others may be allocating. */
  readonly isIsolated: boolean;
}

export interface Reporter {
  readonly entry: string;
  readonly incarnation: string;
}

interface EntryRecord extends Reporter {
  readonly report: PoolReport;
  readonly inFlight: number;
  readonly demand: number;
  readonly share: number;
  readonly at: number;
}

interface PoolState {
  /** Monotonic time at which the handover ends. */
  opensAt: number;
  readonly records: Map<string, EntryRecord>;
  readonly missing: MissingEntries;
  targets: Map<string, number>;
  targetsAt: number;
  reportedAt: number;
  /** Monotonic time of the last grant at which the pool was short. */
  shortAt: number;
}

export class CapacityAllocator {
  private readonly pools = new Map<string, PoolState>();

  constructor(private readonly rules: AllocationRules) {}

  get allocating(): string[] {
    return [...this.pools.keys()];
  }

  isAllocating(pool: string): boolean {
    return this.pools.has(pool);
  }

  /** Takes a report and grants a share; undefined if it is out of date. */
  report(
    reporter: Reporter,
    report: PoolReport,
    known: KnownEntries,
    now: number,
  ): ShareGrant | undefined {
    const state = this.stateOf(report.pool, now);
    this.expire(state, now);
    const {entry, incarnation} = reporter;
    const before = state.records.get(entry);
    const isOutdated =
      before?.incarnation === incarnation &&
      before.report.sequence >= report.sequence;
    const isFull = before === undefined && state.records.size >= MAX_ENTRIES;
    if (isOutdated || isFull) {
      return undefined;
    }
    state.missing.remove(entry);
    if (report.isLast) {
      state.records.delete(entry);
      return {share: 0, isShort: false, waitMs: 0};
    }
    const inFlight = report.lines.reduce((sum, line) => sum + line.inFlight, 0);
    const demand = demandOf(report.lines);
    const record = {...reporter, report, inFlight, demand, share: 0, at: now};
    state.records.set(entry, record);
    state.reportedAt = now;
    const grant = this.grant(state, record, known, now);
    state.records.set(entry, {...record, share: grant.share});
    state.shortAt = grant.isShort ? now : state.shortAt;
    return grant;
  }

  /** Call when another process has become the allocator. */
  stop(pool: string): void {
    this.pools.delete(pool);
  }

  /** Forgets all pools: others may have granted shares meanwhile. */
  restart(): void {
    this.pools.clear();
  }

  /** Removes pools without reports for IDLE_TIMEOUT_MS. */
  removeIdle(now: number): void {
    for (const [pool, {reportedAt}] of this.pools) {
      if (now - reportedAt > IDLE_TIMEOUT_MS) {
        this.pools.delete(pool);
      }
    }
  }

  /** True while the pool is short, and directly after it. */
  isShort(pool: string, now: number): boolean {
    const state = this.pools.get(pool);
    return state !== undefined && now - state.shortAt < timing.LEASE_MS;
  }

  /** Entries that don't report and are due for an announcement. */
  takeDueAnnouncements(
    pool: string,
    known: KnownEntries,
    now: number,
  ): string[] {
    const state = this.pools.get(pool);
    if (state === undefined) {
      return [];
    }
    this.expire(state, now);
    return known.addresses.filter(
      one => !state.records.has(one) && state.missing.takeDue(one, now),
    );
  }

  /** An entry has answered an announcement; it may use `held`. */
  noteHeld(pool: string, entry: string, held: number, now: number): void {
    this.missingOf(pool, entry)?.noteHeld(entry, held, now);
  }

  /** Nothing listens at the entry's address. */
  noteGone(pool: string, entry: string, now: number): void {
    this.missingOf(pool, entry)?.noteHeld(entry, 0, now);
  }

  /** An announcement got no answer. */
  noteUnreachable(pool: string, entry: string, now: number): void {
    this.missingOf(pool, entry)?.noteUnreachable(entry, now);
  }

  private missingOf(pool: string, entry: string): MissingEntries | undefined {
    const state = this.pools.get(pool);
    return state?.records.has(entry) ? undefined : state?.missing;
  }

  private stateOf(pool: string, now: number): PoolState {
    let state = this.pools.get(pool);
    if (state === undefined) {
      state = {
        opensAt: now + timing.HANDOVER_MS,
        records: new Map(),
        missing: new MissingEntries(),
        targets: new Map(),
        targetsAt: -Infinity,
        reportedAt: now,
        shortAt: -Infinity,
      };
      this.pools.set(pool, state);
      bounded.dropOldest(this.pools, timing.MAX_POOLS);
    }
    return state;
  }

  private expire(state: PoolState, now: number): void {
    for (const [entry, record] of state.records) {
      if (now - record.at >= timing.LEASE_MS) {
        state.records.delete(entry);
        state.missing.noteLapsed(entry, maxUse(record), now);
      }
    }
  }

  private grant(
    state: PoolState,
    record: EntryRecord,
    known: KnownEntries,
    now: number,
  ): ShareGrant {
    const {records} = state;
    const capacity = Math.floor(capacityOf([...records.values()]));
    const equalPart = capacity / Math.max(known.parts, records.size);
    const isHandover = now < state.opensAt || known.isIsolated;
    const missing = known.addresses.filter(one => !records.has(one));
    const reserved = missing.reduce(
      (sum, one) => sum + state.missing.reservedFor(one, equalPart, now),
      0,
    );
    const available = Math.max(capacity - reserved, 0);
    this.updateTargets(state, record, available, now);
    const target = state.targets.get(record.entry)!;
    const others = [...records.values()].filter(
      one => one.entry !== record.entry,
    );
    const used = others.reduce((sum, one) => sum + maxUse(one), 0);
    const {held} = record.report;
    const limit = isHandover
      ? Math.floor(Math.max(record.inFlight, equalPart))
      : Infinity;
    // In a handover, an entry not heard of may hold more than an equal part.
    const mayRise =
      !isHandover || missing.every(one => state.missing.isKnown(one));
    const free = mayRise ? Math.floor(available - used) : 0;
    const min = record.demand > 0 ? 1 : 0;
    const share = Math.max(Math.min(target, limit, Math.max(held, free)), min);
    return {
      share,
      isShort: isShort([...records.values()], capacity),
      waitMs: waitMs(state, record, others, share),
    };
  }

  /** Divides again unless that was done for the same entries just before. */
  private updateTargets(
    state: PoolState,
    {entry}: EntryRecord,
    available: number,
    now: number,
  ): void {
    const isFresh = now - state.targetsAt < TARGETS_TTL_MS;
    if (!isFresh || !state.targets.has(entry)) {
      const reports = [...state.records.values()].map(one => ({
        entry: one.entry,
        lines: one.report.lines,
      }));
      state.targets = allocate(available, reports, this.rules);
      state.targetsAt = now;
    }
  }
}

/** Lower median: views of a group differ in age. */
function capacityOf(records: readonly EntryRecord[]): number {
  const sorted = records
    .map(({report}) => report.capacity)
    .sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)]!;
}

/** Requests that an entry may have in flight, whether or not it got the answer. */
function maxUse({report, share, inFlight}: EntryRecord): number {
  return Math.max(report.held, share, inFlight);
}

function isShort(records: readonly EntryRecord[], capacity: number): boolean {
  const total = (of: (one: EntryRecord) => number) =>
    records.reduce((sum, one) => sum + of(one), 0);
  const demand = total(one => one.demand);
  const waiting = demand - total(one => one.inFlight);
  return waiting > 0 || demand > SHORT_DEMAND * capacity;
}

/** Entries report earlier while a part of a share moves from one to another. */
function waitMs(
  state: PoolState,
  record: EntryRecord,
  others: readonly EntryRecord[],
  share: number,
): number {
  const targetOf = (one: EntryRecord) => state.targets.get(one.entry) ?? 0;
  const lacks = (missing: number, target: number) =>
    missing >= Math.max(1, target * MIN_RAISE_SHARE);
  const isNeeded = others.some(one =>
    lacks(targetOf(one) - one.share, targetOf(one)),
  );
  if (isNeeded && share < record.report.held) {
    return RELEASE_DELAY_MS;
  }
  const target = targetOf(record);
  const canRise = others.some(one => maxUse(one) > targetOf(one));
  return (isNeeded && share < record.inFlight) ||
    (canRise && lacks(target - share, target))
    ? RAISE_DELAY_MS
    : timing.REPORT_INTERVAL_MS;
}
