/**
 * Plans the expert map of one group while this process is the group's planner:
 * reads the ranks several times a second and changes the map when the gain
 * exceeds the cost. Until the group is recovered, it has no view and no plans.
 */
import type {ExpertParameters} from '../routes/types';
import * as mapChange from './change';
import {RecentDemand} from './demand';
import type {DemandEstimate} from './demand-estimate';
import {BoundedRanks} from './bounded-ranks';
import * as groupClients from './group-client';
import type {GroupRanks, GroupReading} from './group-client';
import * as holdDecision from './hold-decision';
import {LargeGroupDemand} from './large-group-demand';
import * as mapChanger from './map-changer';
import * as plans from './plan';
import type {Demand} from './plan-types';
import type {ExpertMap, GroupView, RankReading, RankState} from './types';

/** Minimum time between readings of the ranks. */
const MIN_PERIOD_MS = 50;
/**
 * Interval for polling the own rank for a new pass. Counters do not change
 * before one, and a reading costs each sidecar of the group three calls, while
 * calls within the instance cost nothing.
 */
const PASS_POLL_INTERVAL_MS = 15;
/**
 * Periods after which the ranks are read without a new pass. Sidecars consider
 * the planner lost after more than four silent periods.
 */
const MAX_PERIODS_BETWEEN_READINGS = 2.5;
/** Time between checks while another process is the planner. */
const INACTIVE_PERIOD_MS = 400;
/**
 * Minimum period as a multiple of the time that a reading takes, so that
 * readings leave links and processors free for map changes.
 */
const PERIOD_READING_FACTOR = 2;
/** Maximum time between readings while passes begin. */
const MAX_PERIOD_MS = 400;
/** Weight of the newest reading in the moving average of reading times. */
const READING_TIME_WEIGHT = 0.2;
/** Minimum tokens per expert and set before planning. */
const MIN_TOKENS_PER_EXPERT = 40;
/**
 * Maximum time that a rank copies in one change. Copies slow passes down, so
 * the most valuable ones come first.
 */
const MAX_COPY_TIME_MS = 100;
/**
 * Minimum relief by a copy, in multiples of the mean load. It is divided by the
 * number of ranks, since one rank makes the copy and all ranks gain from it.
 */
const MIN_RELIEF = 0.36;
/** Minimum reduction of the imbalance by a whole change. */
const MIN_GAIN = 0.12;
/** Ranks from which a reading covers enough prompts to be compared with the next. */
const MIN_LARGE_GROUP = 32;
/** Slowness above which a rank is reported to entries. */
const SLOWNESS_THRESHOLD = 1.1;

/** The group as the planner has recovered it; needed to change the map. */
interface KnownGroup {
  readonly epoch: number;
  readonly ranks: GroupRanks;
  version: number;
  map: ExpertMap;
  /** By rank, as of the last reading. */
  readonly states: RankState[];
}

export class GroupPlanner {
  private demand: DemandEstimate | undefined;
  private known: KnownGroup | undefined;
  /** Cached until the next reading. */
  private lastView: GroupView | undefined;
  private isChanging = false;
  private hasStarted = false;
  private highestVersion = 0;
  private readonly changer: mapChanger.MapChanger;
  /** Moving average of the time that a reading takes. */
  private readingMs = 0;
  /** The own rank's pass at the last reading, and when that reading started. */
  private lastRead = {step: -1, at: -Infinity};
  private isClosed = false;
  private ticking: Promise<void> | undefined;
  private changing: Promise<void> | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly context: mapChanger.PlannerContext) {
    this.changer = new mapChanger.MapChanger(context);
  }

  /** Undefined while the group or its demand is unknown. */
  get view(): GroupView | undefined {
    const {known} = this;
    const demand = this.demand?.demand;
    if (known === undefined || demand === undefined) {
      return undefined;
    }
    this.lastView ??= viewOf(known, demand);
    return this.lastView;
  }

  /** Milliseconds between readings of the ranks. */
  get periodMs(): number {
    const ms = this.readingMs * PERIOD_READING_FACTOR;
    return Math.min(Math.max(ms, MIN_PERIOD_MS), MAX_PERIOD_MS);
  }

  start(): void {
    this.scheduleTick(MIN_PERIOD_MS);
  }

  /** Ticks at once unless a tick is running. */
  wake(): void {
    if (this.timer !== undefined && !this.isClosed) {
      clearTimeout(this.timer);
      this.scheduleTick(0);
    }
  }

  /** Starts no more changes; resolves when the one under way has ended. */
  async close(): Promise<void> {
    this.isClosed = true;
    clearTimeout(this.timer);
    await this.ticking;
    await this.changing;
  }

  private scheduleTick(ms: number): void {
    this.timer = setTimeout(() => {
      this.ticking = this.tick();
    }, ms);
  }

  private async tick(): Promise<void> {
    const startedAt = performance.now();
    this.timer = undefined;
    let nextMs = this.periodMs;
    try {
      nextMs = await this.readWhenDue();
    } catch (err) {
      this.context.log.event('plannerFault', {
        error: String((err as Error).stack),
      });
    }
    if (!this.isClosed) {
      const tookMs = performance.now() - startedAt;
      this.scheduleTick(Math.max(nextMs - tookMs, 0));
    }
  }

  /** Returns the time from the start of this tick to the next, in milliseconds. */
  private async readWhenDue(): Promise<number> {
    if (this.context.term() === 0) {
      this.context.onTick();
      this.reset();
      return INACTIVE_PERIOD_MS;
    }
    const now = performance.now();
    const maxMs = this.periodMs * MAX_PERIODS_BETWEEN_READINGS;
    if (this.known !== undefined && now - this.lastRead.at < maxMs) {
      const own = await this.context.ownState();
      if (own === undefined || own.step === this.lastRead.step) {
        return PASS_POLL_INTERVAL_MS;
      }
      this.changer.passes.record(own.step, now);
      this.lastRead.step = own.step;
    }
    this.lastRead.at = now;
    await this.readAndPlan();
    return this.periodMs;
  }

  private async readAndPlan(): Promise<void> {
    this.context.onTick();
    if (this.known === undefined && !this.isChanging) {
      // Also without a configuration: the group may be held.
      await this.recover();
      return;
    }
    const readAt = performance.now();
    const reading = await this.context.groupClient.read({
      ...groupClients.PLANNING_READ,
      planning: !this.isChanging,
    });
    this.recordReadingTime(performance.now() - readAt);
    if (reading.isDeposed) {
      this.context.onDeposed();
      return;
    }
    this.updateStates(reading);
    const figures = this.context.figures();
    const hasDrifted =
      figures !== undefined && this.updateDemand(figures, reading);
    this.lastView = undefined;
    if (hasDrifted) {
      // Passes the new view on to entries before the next reading.
      void this.context.groupClient.read(groupClients.STATES_ONLY);
    }
    // A reading that started during a change may show the group held.
    const isAfterChange = readAt > this.changer.endedAt;
    const {known} = this;
    if (this.isChanging || !isAfterChange || known === undefined) {
      return;
    }
    const isSettled = await this.settle(known, reading);
    if (isSettled && figures !== undefined) {
      await this.plan(figures, known);
    }
  }

  /**
   * Ends what the ranks report as left of any change. True if there is nothing
   * left; drops `known` if the group must be recovered.
   */
  private async settle(
    known: KnownGroup,
    reading: GroupReading,
  ): Promise<boolean> {
    const readings = [...reading.ranks.values()];
    const {lastChange} = this.changer;
    const {size} = known.ranks;
    const decision = holdDecision.decide(readings, size, lastChange);
    switch (decision) {
      case 'settled':
        return true;
      case 'wait':
        return false;
      case 'release':
        this.logStrayHold(decision, known.version);
        await this.changer.release(known.ranks, readings);
        return false;
      case 'revoke':
      case 'unknown':
        this.logStrayHold(decision, known.version);
        this.known = undefined;
        return false;
    }
  }

  private logStrayHold(decision: string, version: number): void {
    const {log, group} = this.context;
    log.event('strayHold', {group, decision, version});
  }

  /** Drops all knowledge of the group, which may be out of date. */
  private reset(): void {
    this.known = undefined;
    this.demand = undefined;
    this.hasStarted = false;
  }

  /** Finishes a change left by another planner, then reads the map in force. */
  private async recover(): Promise<void> {
    const {groupClient, log, group, ownRank, term} = this.contextParts();
    const reading = await groupClient.readAll();
    if (reading.isDeposed) {
      this.context.onDeposed();
      return;
    }
    const ranks = groupClient.ranksOf(reading);
    if (ranks === undefined) {
      await this.resolveOrphaned(reading);
      return;
    }
    const readings = sortedByRank(reading);
    this.changer.skipUsedSteps(readings);
    const bounded = new BoundedRanks(ranks, mapChanger.MAX_ORDERING_MS);
    const end = await mapChange.finishChange(bounded, readings, ownRank, log);
    bounded.close();
    if (!this.hasStarted) {
      this.hasStarted = true;
      log.event('plannerStarted', {group, term, left: end});
    }
    if (end === 'nothing-left') {
      this.known = knownGroupOf(ranks, readings);
    } else if (end === 'stuck' || end === 'deposed') {
      this.stepDown();
    }
  }

  private contextParts() {
    const {groupClient, log, group} = this.context;
    const ownRank = this.context.ownRank();
    return {groupClient, log, group, ownRank, term: this.context.term()};
  }

  /**
   * Ends the change of a predecessor whose rank is the only one that cannot be
   * read: the group may be held and must not wait for that rank.
   */
  private async resolveOrphaned(reading: GroupReading): Promise<void> {
    const {groupClient, log, metrics} = this.context;
    const previousRank = this.context.previousRank();
    const readings = [...reading.ranks.values()];
    const [first] = readings;
    const isOnlyPreviousMissing =
      !this.hasStarted &&
      first !== undefined &&
      previousRank !== undefined &&
      readings.length === first.state.size - 1 &&
      readings.every(one => one.state.rank !== previousRank);
    if (isOnlyPreviousMissing) {
      const ranks = new BoundedRanks(
        groupClient.partialRanksOf(reading),
        mapChanger.MAX_ORDERING_MS,
      );
      const end = await mapChange.resolveOrphaned(
        ranks,
        readings,
        previousRank,
        log,
      );
      ranks.close();
      metrics.count('orphaned_changes_total', {end});
    }
  }

  private recordReadingTime(ms: number): void {
    this.readingMs += READING_TIME_WEIGHT * (ms - this.readingMs);
    this.context.metrics.recordDuration(
      'reading',
      this.context.group,
      'all',
      ms,
    );
  }

  private updateStates(reading: GroupReading): void {
    for (const {state} of reading.ranks.values()) {
      if (this.known === undefined || state.epoch !== this.known.epoch) {
        continue;
      }
      if (state.born !== this.known.states[state.rank]?.born) {
        // A restarted rank has lost its map and anything prepared, even if its
        // group still reports the same epoch.
        this.known = undefined;
        return;
      }
      this.known.states[state.rank] = state;
    }
  }

  /** Returns whether demand has drifted. */
  private updateDemand(
    figures: ExpertParameters,
    reading: GroupReading,
  ): boolean {
    this.demand ??= makeDemand(figures.sets, reading);
    if (reading.growth === undefined) {
      return false;
    }
    const note = this.demand.update(reading.growth, performance.now());
    if (note.hasDrifted) {
      this.context.metrics.count('demand_drifts_total');
      this.context.log.event('demandDrifted', {
        group: this.context.group,
        distance: Number(note.distance.toFixed(3)),
      });
    }
    return note.hasDrifted;
  }

  private async plan(
    figures: ExpertParameters,
    known: KnownGroup,
  ): Promise<void> {
    const demand = this.demand?.demand;
    const minTokens = figures.sets * figures.experts * MIN_TOKENS_PER_EXPERT;
    if (demand === undefined || this.demand!.total < minTokens) {
      return;
    }
    const own = await this.context.ownState();
    if (own === undefined || !this.isAsLeft(known, own)) {
      return;
    }
    this.changer.passes.record(own.step, performance.now());
    const copiesPerRank = Math.max(
      1,
      Math.floor(MAX_COPY_TIME_MS / Math.max(figures.copyMs, 1)),
    );
    const plan = plans.planMap(known.map, demand, slownessOf(known), {
      places: figures.places,
      spare: figures.spare,
      copiesPerRank,
      minRelief: MIN_RELIEF / known.ranks.size,
    });
    if (
      this.isClosed ||
      plan === undefined ||
      plan.imbalanceBefore - plan.imbalanceAfter < MIN_GAIN
    ) {
      return;
    }
    const version = mapChanger.nextVersion(
      Math.max(own.mapVersion, own.prepared ?? 0, this.highestVersion),
    );
    this.highestVersion = version;
    this.isChanging = true;
    this.changing = this.change(figures, known, {version, plan});
  }

  /**
   * Whether the own rank is as this planner left it. Drops `known` if the group
   * must be recovered.
   */
  private isAsLeft(known: KnownGroup, own: RankState): boolean {
    if (own.armed !== null) {
      // The pass that switches the map has not begun, or the order is another's.
      this.known = own.armed.version === known.version ? known : undefined;
      return false;
    }
    const isOpen = own.isOpen && own.epoch === known.epoch;
    if (!isOpen || own.mapVersion !== known.version) {
      this.known = undefined;
      return false;
    }
    return true;
  }

  private async change(
    figures: ExpertParameters,
    known: KnownGroup,
    next: mapChanger.NextMap,
  ): Promise<void> {
    try {
      const end = await this.changer.run(figures, known, next);
      this.afterChange(known, end, next.version, next.plan.map);
    } catch (err) {
      this.context.log.event('plannerFault', {
        error: String((err as Error).stack),
      });
      this.reset();
    }
    this.isChanging = false;
  }

  private afterChange(
    known: KnownGroup,
    end: mapChange.ChangeOutcome,
    version: number,
    map: ExpertMap,
  ): void {
    switch (end) {
      case 'armed':
        known.version = version;
        known.map = map;
        return;
      case 'not-prepared':
      case 'not-held':
        return;
      case 'backed-out':
      case 'regrouped':
        this.known = undefined;
        return;
      case 'stuck':
      case 'deposed':
        this.stepDown();
    }
  }

  private stepDown(): void {
    this.reset();
    this.context.onDeposed();
  }
}

function makeDemand(sets: number, {ranks}: GroupReading): DemandEstimate {
  const [first] = ranks.values();
  const size = first?.state.size ?? 0;
  return size >= MIN_LARGE_GROUP
    ? new LargeGroupDemand(sets)
    : new RecentDemand(sets);
}

function slownessOf(known: KnownGroup): number[] {
  return known.states.map(state => state.slowness);
}

function viewOf(known: KnownGroup, demand: Demand): GroupView {
  const {states, map} = known;
  const imbalance = plans.imbalance(map, demand, slownessOf(known));
  return {
    requests: states.map(one => one.running + one.waiting),
    imbalance: Number(imbalance.toFixed(3)),
    slow: states.flatMap(({rank, slowness}) =>
      slowness > SLOWNESS_THRESHOLD ? [{rank, slowness}] : [],
    ),
  };
}

function sortedByRank(reading: GroupReading): RankReading[] {
  return [...reading.ranks.values()].sort(
    (a, b) => a.state.rank - b.state.rank,
  );
}

/** Undefined if a rank is armed or the ranks have no common map version. */
function knownGroupOf(
  ranks: GroupRanks,
  readings: readonly RankReading[],
): KnownGroup | undefined {
  const [first] = readings;
  const inForce = mapChange.mapInForce(readings);
  const isArmed = readings.some(one => one.state.armed !== null);
  if (first === undefined || inForce === undefined || isArmed) {
    return undefined;
  }
  const {epoch} = first.state;
  const states = readings.map(one => one.state);
  return {epoch, ranks, ...inForce, states};
}
