/**
 * Polls the sidecars of each group of ranks for the group's state and derives
 * its capacity. All entries poll, so they share a view of the group without
 * calling each other; a view may be up to `MAX_VIEW_AGE_MS` old.
 */
import * as rxjs from 'rxjs';
import * as expertsApp from '../experts/app';
import type {GroupView} from '../experts/types';
import * as random from '../random';
import type {EngineParameters} from '../routes/types';
import * as firstState from './first-state';
import type {GroupViewsContext} from './group-views-context';
import * as groupRequestLimit from './group-request-limit';
import * as openingLimit from './opening-limit';
import {PassObserver, TICK_MS} from './pass-observer';
import {RankIndex, keyOf} from './rank-index';
import type {Target} from './types';

/** Pause between long polls. */
const POLL_PAUSE_MS = 20;
/** Mean pause after a poll that returned nothing. */
const FAILED_POLL_PAUSE_MS = 150;
/** A sidecar waits for a new view for longer than a planner's interval. */
const LONG_POLL: firstState.CallTimes = {waitMs: 400, timeoutMs: 520};
/** Older views are ignored. */
const MAX_VIEW_AGE_MS = 900;
const NO_RANK = -1;
/** Maximum ratio of all entries' requests to this entry's. */
const MAX_ENTRIES = 16;

interface ReceivedView {
  readonly view: GroupView;
  /** Monotonic time to which the view applies. */
  readonly at: number;
  /** This entry's requests in flight at receipt, by target's lifetime. */
  readonly ownInFlight: ReadonlyMap<string, number>;
  /** Sum of these. */
  readonly ownTotal: number;
  /** Sum of the view's requests. */
  readonly reported: number;
}

/** Assumed imbalance of other groups without a view. */
const DEFAULT_IMBALANCE = 1.5;

/** Whether a group can take another request. Its fields are logged. */
export interface GroupCapacity extends groupRequestLimit.UsableLimit {
  readonly imbalance: number;
  /** Actual over expected duration on its slowest rank. */
  readonly slowness: number;
  /** Age of the view in milliseconds; Infinity: there is none. */
  readonly ageMs: number;
  /** Predicted duration of a pass with these requests, in milliseconds. */
  readonly passMs: number;
  /** Measured over predicted duration of passes, which `passMs` includes. */
  readonly correction: number;
}

/** State of a group without the correction by measured passes. */
interface GroupLoad extends groupRequestLimit.RequestCounts {
  readonly factors: groupRequestLimit.PassFactors;
  /** All requests when the view was made; without a view: now. */
  readonly counted: number;
}

export class GroupViews {
  /** Emits when a new view of any group arrived. */
  readonly updates = new rxjs.Subject<void>();
  private readonly views = new Map<string, ReceivedView>();
  /** When open groups were first seen open, by group key. */
  private readonly openedAt = new Map<string, number>();
  /** Of these, groups that were seen closed before. */
  private readonly formed = new Set<string>();
  private readonly rankIndex = new RankIndex(() => this.context.ranks());
  private readonly usableIndex = new RankIndex(() =>
    this.context.usableRanks(),
  );
  /** When the groups that are being polled became known, by key. */
  private readonly polledGroups = new Map<string, number>();
  private readonly passes = new PassObserver();
  private readonly startedAt = performance.now();
  /** Reasons of the last limits, by group key and then by allowed pause. */
  private readonly limitReasons = new Map<
    string,
    Map<number, groupRequestLimit.LimitReason>
  >();
  /** Runs once a pass was noted. */
  private tickTimer: NodeJS.Timeout | undefined;
  private isClosed = false;

  constructor(private readonly context: GroupViewsContext) {}

  /** Starts to poll groups that have become known. */
  pollNewGroups(): void {
    for (const target of this.context.ranks()) {
      const key = keyOf(target);
      if (!this.polledGroups.has(key) && !this.isClosed) {
        this.polledGroups.set(key, performance.now());
        void this.pollGroup(key);
      }
    }
  }

  /** When the ranks of a target's group became known; undefined: not yet. */
  knownSince(target: Target): number | undefined {
    return this.polledGroups.get(keyOf(target));
  }

  /**
   * Drops all views and measurements: after a suspension of this instance they
   * are outdated.
   */
  clear(): void {
    this.views.clear();
    this.passes.clear();
  }

  close(): void {
    this.isClosed = true;
    clearInterval(this.tickTimer);
    this.updates.complete();
  }

  /** The view of a target's group; undefined: none that is recent. */
  viewOf(target: Target, now: number): GroupView | undefined {
    return this.freshView(target, now)?.view;
  }

  /** Actual over expected duration of a target's work; 1 if unknown. */
  slownessOf(target: Target, now: number): number {
    const view = this.freshView(target, now)?.view;
    return view?.slow.find(one => one.rank === target.rank)?.slowness ?? 1;
  }

  /**
   * Requests of all entries at a target: the reported number, corrected by what
   * this entry has started and ended since. Undefined without a recent view.
   */
  requestsAt(target: Target, now: number): number | undefined {
    const received = this.freshView(target, now);
    const reported = received?.view.requests[target.rank ?? NO_RANK];
    if (received === undefined || reported === undefined) {
      return undefined;
    }
    const ownAtReceipt = received.ownInFlight.get(target.lifetime) ?? 0;
    return Math.max(
      reported + this.context.inFlight(target.lifetime) - ownAtReceipt,
      0,
    );
  }

  /** What this entry knows of a target's group, for the rule on its opening. */
  knowledgeOf(target: Target, now: number): openingLimit.GroupKnowledge {
    const key = keyOf(target);
    const view = this.freshView(target, now);
    return {
      size: this.rankIndex.of(key).length,
      usableRanks: this.usableIndex.of(key).length,
      openMs: this.formed.has(key)
        ? now - (this.openedAt.get(key) ?? now)
        : Infinity,
      viewAgeMs: view === undefined ? Infinity : now - view.at,
      knownEntries: this.context.knownEntryCount(),
      uptimeMs: now - this.startedAt,
    };
  }

  /** Events of a stream that follow those at `from` without interruption. */
  notePass(target: Target, from: number, now: number): void {
    this.tickTimer ??= setInterval(
      () => this.passes.tick(performance.now()),
      TICK_MS,
    ).unref();
    this.passes.note(keyOf(target), from, now);
  }

  /** Capacity of a target's group for what a route allows. */
  capacityOf(
    target: Target,
    engine: EngineParameters,
    allowed: groupRequestLimit.AllowedTimes,
    now: number,
  ): GroupCapacity {
    const key = keyOf(target);
    const received = this.freshView(target, now);
    const load =
      received === undefined
        ? this.estimateLoad(key, now)
        : this.reportedLoad(key, received);
    const {factors, requests, counted} = load;
    const size = Math.max(factors.size, 1);
    const predicted = {
      at: received?.at ?? now,
      fixedMs: groupRequestLimit.passMs(engine, factors, 0),
      // Requests that wait for a slot don't lengthen passes.
      passMs: groupRequestLimit.passMs(
        engine,
        factors,
        Math.min(counted / size, engine.slots),
      ),
    };
    const measurement = this.passes.compare(key, predicted, now);
    if (measurement !== undefined) {
      this.context.onPasses(target, measurement);
    }
    const correction = this.passes.correctionOf(key, now);
    const corrected = {...factors, correction};
    const reasons = this.limitReasons.get(key) ?? new Map();
    this.limitReasons.set(key, reasons);
    const limit = groupRequestLimit.limitRequests(
      engine,
      corrected,
      allowed,
      reasons.get(allowed.pauseMs),
    );
    reasons.set(allowed.pauseMs, limit.limitedBy);
    const usableRanks = this.usableIndex.of(key).length;
    const maxUsable = groupRequestLimit.slotLimit(engine, usableRanks);
    return {
      ...groupRequestLimit.limitToUsable(limit, maxUsable, load),
      imbalance: factors.imbalance,
      slowness: factors.slowness,
      correction,
      ageMs: received === undefined ? Infinity : now - received.at,
      passMs: groupRequestLimit.passMs(engine, corrected, requests / size),
    };
  }

  private reportedLoad(key: string, received: ReceivedView): GroupLoad {
    const {view, reported, ownTotal: ownAtReceipt} = received;
    const own = this.ownTotalOf(key);
    // Assumes that the other entries' requests changed in proportion to ours.
    const scale = Math.min(
      Math.max(reported / Math.max(ownAtReceipt, 1), 1),
      MAX_ENTRIES,
    );
    const requests = reported + (own - ownAtReceipt) * scale;
    const usable = this.usableIndex.of(key);
    const areAllUsable = usable.length >= view.requests.length;
    const requestsOf = ({rank, lifetime}: Target) => {
      const started = this.context.inFlight(lifetime);
      const atReceipt = received.ownInFlight.get(lifetime) ?? 0;
      const counted = view.requests[rank ?? NO_RANK] ?? 0;
      return counted + (started - atReceipt) * scale;
    };
    return {
      factors: {
        size: view.requests.length,
        imbalance: view.imbalance,
        slowness: Math.max(1, ...view.slow.map(one => one.slowness)),
        correction: 1,
      },
      requests,
      usableRequests: areAllUsable ? requests : sumOf(usable.map(requestsOf)),
      counted: reported,
    };
  }

  /**
   * Load without a recent view, as after a group has opened: assumes that each
   * entry has as many requests in flight as this one, and just after the start
   * that there are `MAX_ENTRIES`.
   */
  private estimateLoad(key: string, now: number): GroupLoad {
    const ownUsable = this.usableIndex
      .of(key)
      .map(({lifetime}) => this.context.inFlight(lifetime));
    const openMs = now - (this.openedAt.get(key) ?? -Infinity);
    const imbalance =
      openMs < openingLimit.NEW_GROUP_MS
        ? openingLimit.NEW_GROUP_IMBALANCE
        : DEFAULT_IMBALANCE;
    // After a restart of all entries each would take the others' part too.
    const hasStarted = now - this.startedAt >= openingLimit.START_MS;
    const entries = hasStarted
      ? Math.min(this.context.knownEntryCount(), MAX_ENTRIES)
      : MAX_ENTRIES;
    const requests = this.ownTotalOf(key) * entries;
    const size = this.rankIndex.of(key).length;
    return {
      factors: {size, imbalance, slowness: 1, correction: 1},
      requests,
      usableRequests: sumOf(ownUsable) * entries,
      counted: requests,
    };
  }

  private freshView(target: Target, now: number): ReceivedView | undefined {
    const received = this.views.get(keyOf(target));
    return received !== undefined && now - received.at < MAX_VIEW_AGE_MS
      ? received
      : undefined;
  }

  /** Polls a group's sidecars until the group has no ranks. */
  private async pollGroup(key: string): Promise<void> {
    await firstState.request(
      () => (this.isClosed ? [] : this.rankIndex.of(key)),
      this.context.hall,
      (rank, signal) => this.poll(key, rank, firstState.CALL, signal),
    );
    await pause(POLL_PAUSE_MS);
    while (!this.isClosed) {
      const ranks = this.rankIndex.of(key);
      if (ranks.length === 0) {
        break;
      }
      const near = ranks.filter(rank => rank.hall === this.context.hall);
      const rank = random.pick(near.length > 0 ? near : ranks);
      const result = await this.poll(key, rank, LONG_POLL);
      await pause(
        result === 'none' ? random.jitter(FAILED_POLL_PAUSE_MS) : POLL_PAUSE_MS,
      );
    }
    this.polledGroups.delete(key);
    this.views.delete(key);
    this.openedAt.delete(key);
    this.formed.delete(key);
    this.passes.forget(key);
    this.limitReasons.delete(key);
  }

  /** Polls the sidecar of one rank. */
  private async poll(
    key: string,
    rank: Target,
    {waitMs, timeoutMs}: firstState.CallTimes,
    signal?: AbortSignal,
  ): Promise<firstState.PollResult> {
    const {rpc, rpcPort} = this.context;
    const [host] = rank.address.split(':', 1);
    const response = await rpc.call(
      `${host}:${rpcPort}`,
      expertsApp.view,
      {waitMs},
      timeoutMs,
      signal,
    );
    if (!response.ok || signal?.aborted === true) {
      return 'none';
    }
    this.context.reach.recordAnswer();
    const {known, seen} = response.value;
    if (seen !== undefined) {
      const seenAt = performance.now() - seen.ageMs;
      this.noteGroupState(key, seen.isOpen, seenAt);
      this.context.onGroupState(rank, seen.isOpen, seenAt);
    }
    const at = known && performance.now() - known.ageMs;
    if (at !== undefined && at > (this.views.get(key)?.at ?? 0)) {
      const {view} = known!;
      const ownInFlight = this.ownInFlightOf(key);
      const ownTotal = sumOf([...ownInFlight.values()]);
      const reported = sumOf(view.requests);
      this.views.set(key, {view, at, ownInFlight, ownTotal, reported});
      this.updates.next();
    }
    return seen !== undefined ? 'state' : known !== undefined ? 'view' : 'none';
  }

  private noteGroupState(key: string, isOpen: boolean, at: number): void {
    if (!isOpen) {
      this.openedAt.delete(key);
      this.formed.add(key);
    } else if (!this.openedAt.has(key)) {
      this.openedAt.set(key, at);
    }
  }

  private ownInFlightOf(key: string): Map<string, number> {
    return new Map(
      this.rankIndex
        .of(key)
        .map(rank => [rank.lifetime, this.context.inFlight(rank.lifetime)]),
    );
  }

  /** This entry's requests in flight in a group; each capacity asks for it. */
  private ownTotalOf(key: string): number {
    let total = 0;
    for (const {lifetime} of this.rankIndex.of(key)) {
      total += this.context.inFlight(lifetime);
    }
    return total;
  }
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
