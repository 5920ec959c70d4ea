/**
 * Plans the expert map of one group while this process holds its seat: reads
 * the ranks several times a second, and changes the map where that relieves
 * them by more than it costs.
 */
import type {ExpertParameters} from '../routes/types';
import * as mapChange from './change';
import {RecentDemand} from './demand';
import * as links from './group-client';
import type {GroupRanks, GroupReading} from './group-client';
import * as mapChanger from './map-changer';
import * as plans from './plan';
import type {Demand} from './plan-types';
import type {ExpertMap, GroupView, RankReading, RankState} from './types';

/** Least time between readings of the ranks, in milliseconds. */
const MIN_PERIOD_MS = 50;
/**
 * Time between looks whether a pass has begun, in milliseconds: until then the
 * ranks have counted nothing new. These looks cost nothing on the own instance,
 * a reading costs each sidecar of the group three calls.
 */
const PASS_POLL_INTERVAL_MS = 15;
/**
 * Periods after which the ranks are read though no pass has begun: sidecars
 * miss a planner after more than four.
 */
const MAX_PERIODS_BETWEEN_READINGS = 2.5;
/** Time between looks whether this process holds the seat, in milliseconds. */
const INACTIVE_PERIOD_MS = 400;
/**
 * And at least so many times as long as readings take: what carries them, the
 * links and processors beside the ranks, carries map changes too.
 */
const PERIOD_READING_FACTOR = 2;
/** Longest time between readings, in milliseconds. */
const MAX_PERIOD_MS = 400;
/** Weight of the newest reading in how long they take. */
const READING_TIME_WEIGHT = 0.2;
/** Tokens to be seen before a first plan, per expert. */
const MIN_TOKENS_PER_EXPERT = 40;
/**
 * Time that the copies of one change may take at a rank, in milliseconds:
 * copies slow passes down, and the worst should be relieved first.
 */
const MAX_COPY_TIME_MS = 100;
/**
 * Least relief of a copy, in loads of a rank that has its fair part: a copy is
 * made by one rank, and what it relieves all ranks gain, so that it is worth
 * the more the larger the group is.
 */
const MIN_RELIEF = 0.36;
/** Least gain of a whole change, in shares of the mean load. */
const MIN_GAIN = 0.12;
/** Entries are told of ranks that are slower than this. */
const SLOWNESS_THRESHOLD = 1.1;

/** What a planner that may change the map knows of its group. */
interface KnownGroup {
  readonly epoch: number;
  readonly ranks: GroupRanks;
  version: number;
  map: ExpertMap;
  /** By rank, as read last. */
  readonly states: RankState[];
}

export class GroupPlanner {
  private demand: RecentDemand | undefined;
  private known: KnownGroup | undefined;
  /** Until the next reading. */
  private lastView: GroupView | undefined;
  private isChanging = false;
  private hasStarted = false;
  private highestVersion = 0;
  private readonly changer: mapChanger.MapChanger;
  /** Milliseconds that a reading takes. */
  private readingMs = 0;
  /** The own rank's pass at the last reading, and when that was begun. */
  private lastRead = {step: -1, at: -Infinity};
  private isClosed = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly context: mapChanger.PlannerContext) {
    this.changer = new mapChanger.MapChanger(context);
  }

  /** What is known of the group; undefined: nothing certain. */
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

  /** Looks at once, where no look is under way. */
  wake(): void {
    if (this.timer !== undefined && !this.isClosed) {
      clearTimeout(this.timer);
      this.scheduleTick(0);
    }
  }

  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
  }

  private scheduleTick(ms: number): void {
    this.timer = setTimeout(() => void this.tick(), ms);
  }

  private async tick(): Promise<void> {
    const begunAt = performance.now();
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
      const tookMs = performance.now() - begunAt;
      this.scheduleTick(Math.max(nextMs - tookMs, 0));
    }
  }

  /** Answers the time from its begin to the next one, in milliseconds. */
  private async readWhenDue(): Promise<number> {
    if (this.context.term() === 0) {
      this.context.onTick();
      this.reset();
      return INACTIVE_PERIOD_MS;
    }
    const now = performance.now();
    const longestMs = this.periodMs * MAX_PERIODS_BETWEEN_READINGS;
    if (this.known !== undefined && now - this.lastRead.at < longestMs) {
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
    const figures = this.context.figures();
    if (figures === undefined) {
      // The others should hear at once that the seat is taken.
      await this.context.links.read(links.STATES_ONLY);
      return;
    }
    if (this.known === undefined && !this.isChanging) {
      await this.recover();
      return;
    }
    const askedAt = performance.now();
    const reading = await this.context.links.read(links.PLANNING_READ);
    this.recordReadingTime(performance.now() - askedAt);
    if (reading.isDeposed) {
      this.context.onDeposed();
      return;
    }
    this.updateStates(reading);
    const hasDrifted = this.updateDemand(figures, reading);
    this.lastView = undefined;
    if (hasDrifted) {
      // Entries should hear of it before the next reading.
      void this.context.links.read(links.STATES_ONLY);
    }
    // What was asked for during a change shows the group as it was held.
    const isSince = askedAt > this.changer.endedAt;
    if (!this.isChanging && isSince && this.known !== undefined) {
      await this.plan(figures, this.known, reading);
    }
  }

  /** What was known before the seat was lost may be wrong by now. */
  private reset(): void {
    this.known = undefined;
    this.demand = undefined;
    this.hasStarted = false;
  }

  /** Learns the map in force, and finishes what another planner left. */
  private async recover(): Promise<void> {
    const {links, log, group, ownRank, term} = this.contextParts();
    const reading = await links.readAll();
    if (reading.isDeposed) {
      this.context.onDeposed();
      return;
    }
    const ranks = links.ranksOf(reading);
    if (ranks === undefined) {
      await this.resolveOrphaned(reading);
      return;
    }
    const readings = sortedByRank(reading);
    const end = await mapChange.finishChange(ranks, readings, ownRank, log);
    if (!this.hasStarted) {
      this.hasStarted = true;
      log.event('plannerStarted', {group, term, left: end});
    }
    if (end === 'nothing-left') {
      this.known = knownGroupOf(ranks, readings);
      this.changer.skipUsedSteps(readings);
    } else if (end === 'stuck' || end === 'deposed') {
      this.stepDown();
    }
  }

  private contextParts() {
    const {links, log, group} = this.context;
    const ownRank = this.context.ownRank();
    return {links, log, group, ownRank, term: this.context.term()};
  }

  /**
   * A new planner that can read all ranks but its predecessor's must not wait
   * for that one: the group may be held.
   */
  private async resolveOrphaned(reading: GroupReading): Promise<void> {
    const {links, log, metrics} = this.context;
    const former = this.context.formerRank();
    const readings = [...reading.ranks.values()];
    const [first] = readings;
    const isMissing =
      !this.hasStarted &&
      first !== undefined &&
      former !== undefined &&
      readings.length === first.state.size - 1 &&
      readings.every(one => one.state.rank !== former);
    if (isMissing) {
      const ranks = links.partialRanksOf(reading);
      const end = await mapChange.resolveOrphaned(ranks, readings, former, log);
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
        // A rank that started again holds no map and nothing prepared, even
        // where its group still names the epoch of before.
        this.known = undefined;
        return;
      }
      this.known.states[state.rank] = state;
    }
  }

  /** True where demand has changed at once. */
  private updateDemand(
    figures: ExpertParameters,
    reading: GroupReading,
  ): boolean {
    this.demand ??= new RecentDemand(figures.sets);
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
    reading: GroupReading,
  ): Promise<void> {
    const demand = this.demand?.demand;
    const minTokens = figures.sets * figures.experts * MIN_TOKENS_PER_EXPERT;
    if (demand === undefined || this.demand!.total < minTokens) {
      return;
    }
    const own = await this.context.ownState();
    if (own === undefined || !(await this.isSettled(known, own, reading))) {
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
    void this.change(figures, known, {version, plan});
  }

  /** False where the group isn't as this planner left it. */
  private async isSettled(
    known: KnownGroup,
    own: RankState,
    reading: GroupReading,
  ): Promise<boolean> {
    if (!own.isOpen || own.epoch !== known.epoch) {
      this.known = undefined;
      return false;
    }
    if (own.armed !== null) {
      // The pass that takes the map has not begun yet, or a change was given
      // up whose order came late.
      this.known = own.armed.version === known.version ? known : undefined;
      return false;
    }
    const readings = [...reading.ranks.values()];
    const isStray = readings.some(({state}) => state.held !== null);
    const isVersion = own.mapVersion === known.version;
    if (isStray && isVersion) {
      // A helper that freezes as it holds the group leaves this behind; the
      // group then works on with what is known of it, and is not learnt anew,
      // which would wait for the helper: 4 s without a view of the group.
      if (await this.changer.releaseLateHold(known.ranks, readings)) {
        return false;
      }
    }
    if (isStray || !isVersion) {
      this.context.log.event('strayHold', {
        group: this.context.group,
        isHeld: isStray,
        version: own.mapVersion,
      });
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

/** A reading in the order of the ranks. */
function sortedByRank(reading: GroupReading): RankReading[] {
  return [...reading.ranks.values()].sort(
    (a, b) => a.state.rank - b.state.rank,
  );
}

/** The map in force, where all ranks tell the same version of it. */
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
