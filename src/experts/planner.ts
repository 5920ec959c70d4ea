/**
 * Plans the expert map of one group while this process holds its seat: reads
 * the ranks several times a second, and changes the map where that relieves
 * them by more than it costs.
 */
import {Log} from '../observability/log';
import {Metrics} from '../observability/metrics';
import * as random from '../random';
import type {ExpertFigures} from '../routes/types';
import * as mapChange from './change';
import {RecentDemand} from './demand';
import type {GroupLinks, GroupRanks, GroupReading} from './group-links';
import {MOST_PASSES_AHEAD, PassClock} from './pass-clock';
import * as plans from './plan';
import type {ExpertMap, GroupView, RankReading, RankState} from './types';

/**
 * Milliseconds between readings of the ranks of a small group: about a pass,
 * so that a drift of demand is seen in the first pass that it lengthens.
 */
const PERIOD_MS = 50;
/** And of a large one, whose counters are many. */
const LARGE_PERIOD_MS = 200;
/** Tokens to be seen before a first plan, per expert. */
const MIN_TOKENS_PER_EXPERT = 40;
/**
 * Time that the copies of one change may take at a rank, in milliseconds:
 * copies slow passes down, and the worst should be relieved first.
 */
const COPY_TIME_MS = 100;
/** Least relief of a copy, in shares of the mean load of a set. */
const MIN_RELIEF = 0.03;
/** Least gain of a whole change, in shares of the mean load. */
const MIN_GAIN = 0.12;
/** Copies may take this much longer than computed. */
const COPY_SLACK = 2;
const COPY_SLACK_MS = 400;
/** Time that arming takes before it was measured, in milliseconds. */
const FIRST_ARM_MS = 30;
/** Part of the longest time that still counts at the next change. */
const ARM_KEEP = 0.85;
/** Arming may take this much longer than it has lately, unnoticed. */
const ARM_MARGIN = 1.2;
/**
 * Time between looks at the own rank while the map is changed, in
 * milliseconds: a part of a pass. They cost nothing on the own instance.
 */
const PASS_WATCH_MS = 10;
/** Entries are told of ranks that are slower than this. */
const SLOW = 1.1;
/** Low part of a version that tells planners' maps apart. */
const VERSION_UNIT = 2 ** 20;

/** What a planner needs of the member that runs it. */
export interface PlannerContext {
  /** Name for logs. */
  readonly group: string;
  /** Undefined until the configuration is known. */
  figures(): ExpertFigures | undefined;
  readonly links: GroupLinks;
  /** 0 while another process plans. */
  term(): number;
  /** The rank beside this process. */
  ownRank(): number;
  /** Its state, read on this instance. */
  ownState(): Promise<RankState | undefined>;
  /** Rank of the planner before this one; undefined: not known. */
  formerRank(): number | undefined;
  onDeposed(): void;
  /** Called before each look. */
  onTick(): void;
  readonly log: Log;
  readonly metrics: Metrics;
}

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
  private highestTried = 0;
  private readonly passes = new PassClock();
  private armMs = FIRST_ARM_MS;
  private spentEpoch = 0;
  private readonly trace: mapChange.ChangeTrace = {
    spentStep: 0,
    armMs: undefined,
  };
  private isClosed = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly context: PlannerContext) {}

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
    return this.context.links.isLarge ? LARGE_PERIOD_MS : PERIOD_MS;
  }

  start(): void {
    this.startIn(PERIOD_MS);
  }

  /** Looks at once, where no look is under way. */
  wake(): void {
    if (this.timer !== undefined && !this.isClosed) {
      clearTimeout(this.timer);
      this.startIn(0);
    }
  }

  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
  }

  private startIn(ms: number): void {
    this.timer = setTimeout(() => void this.tick(), ms);
  }

  private async tick(): Promise<void> {
    const begunAt = performance.now();
    this.timer = undefined;
    try {
      await this.look();
    } catch (err) {
      this.context.log.event('plannerFault', {
        error: String((err as Error).stack),
      });
    }
    if (!this.isClosed) {
      const tookMs = performance.now() - begunAt;
      this.startIn(Math.max(this.periodMs - tookMs, 0));
    }
  }

  private async look(): Promise<void> {
    this.context.onTick();
    if (this.context.term() === 0) {
      this.forget();
      return;
    }
    const figures = this.context.figures();
    if (figures === undefined) {
      // The others should hear at once that the seat is taken.
      await this.context.links.read({growth: false, held: false});
      return;
    }
    if (this.known === undefined && !this.isChanging) {
      await this.learn();
      return;
    }
    const reading = await this.context.links.read({growth: true, held: false});
    if (reading.isDeposed) {
      this.context.onDeposed();
      return;
    }
    this.noteStates(reading);
    const hasDrifted = this.noteDemand(figures, reading);
    this.lastView = undefined;
    if (hasDrifted) {
      // Entries should hear of it before the next reading.
      void this.context.links.read({growth: false, held: false});
    }
    if (!this.isChanging && this.known !== undefined) {
      await this.plan(figures, this.known, reading);
    }
  }

  /** What was known before the seat was lost may be wrong by now. */
  private forget(): void {
    this.known = undefined;
    this.demand = undefined;
    this.hasStarted = false;
  }

  /** Learns the map in force, and finishes what another planner left. */
  private async learn(): Promise<void> {
    const {links, log, group, ownRank, term} = this.contextParts();
    const reading = await links.readAll();
    if (reading.isDeposed) {
      this.context.onDeposed();
      return;
    }
    const ranks = links.ranksOf(reading);
    if (ranks === undefined) {
      await this.endOrphaned(reading);
      return;
    }
    const readings = byRank(reading);
    const end = await mapChange.finishChange(ranks, readings, ownRank, log);
    if (!this.hasStarted) {
      this.hasStarted = true;
      log.event('plannerStarted', {group, term, left: end});
    }
    if (end === 'nothing-left') {
      this.known = knownOf(ranks, readings);
      this.spareSteps(readings);
    } else if (end === 'stuck' || end === 'deposed') {
      this.giveUp();
    }
  }

  /**
   * A change that somebody else has given up may have left a release under
   * way; the passes that it may name are not held.
   */
  private spareSteps(readings: readonly RankReading[]): void {
    const isLeft = readings.some(
      ({state}) =>
        state.prepared !== null && state.prepared !== state.mapVersion,
    );
    const {step, epoch} = readings[0]!.state;
    if (epoch !== this.spentEpoch) {
      // Orders of another epoch are refused.
      this.spentEpoch = epoch;
      this.trace.spentStep = 0;
    }
    const spent = isLeft ? step + MOST_PASSES_AHEAD + 1 : step;
    this.trace.spentStep = Math.max(this.trace.spentStep, spent);
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
  private async endOrphaned(reading: GroupReading): Promise<void> {
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
      const ranks = links.someRanksOf(reading);
      const end = await mapChange.endOrphaned(ranks, readings, former, log);
      metrics.count('orphaned_changes_total', {end});
    }
  }

  private noteStates(reading: GroupReading): void {
    for (const {state} of reading.ranks.values()) {
      if (state.epoch === this.known?.epoch) {
        this.known.states[state.rank] = state;
      }
    }
  }

  /** True where demand has changed at once. */
  private noteDemand(figures: ExpertFigures, reading: GroupReading): boolean {
    this.demand ??= new RecentDemand(figures.sets);
    if (reading.growth === undefined) {
      return false;
    }
    const note = this.demand.note(reading.growth, performance.now());
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
    figures: ExpertFigures,
    known: KnownGroup,
    reading: GroupReading,
  ): Promise<void> {
    const demand = this.demand?.demand;
    const minTokens = figures.sets * figures.experts * MIN_TOKENS_PER_EXPERT;
    if (demand === undefined || this.demand!.total < minTokens) {
      return;
    }
    const own = await this.context.ownState();
    if (own === undefined || !this.isSettled(known, own, reading)) {
      return;
    }
    this.passes.note(own.step, performance.now());
    const copiesPerRank = Math.max(
      1,
      Math.floor(COPY_TIME_MS / Math.max(figures.copyMs, 1)),
    );
    const plan = plans.planMap(known.map, demand, slownessOf(known), {
      places: figures.places,
      spare: figures.spare,
      copiesPerRank,
      minRelief: MIN_RELIEF,
    });
    if (plan === undefined || plan.before - plan.after < MIN_GAIN) {
      return;
    }
    const version = nextVersion(
      Math.max(own.mapVersion, own.prepared ?? 0, this.highestTried),
    );
    this.highestTried = version;
    this.isChanging = true;
    void this.change(figures, known, version, plan);
  }

  /** False where the group isn't as this planner left it. */
  private isSettled(
    known: KnownGroup,
    own: RankState,
    reading: GroupReading,
  ): boolean {
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
    const isStray = [...reading.ranks.values()].some(
      ({state}) => state.held !== null,
    );
    if (isStray || own.mapVersion !== known.version) {
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
    figures: ExpertFigures,
    known: KnownGroup,
    version: number,
    plan: plans.MapPlan,
  ): Promise<void> {
    const begunAt = performance.now();
    const expectedMs = plan.mostCopies * figures.copyMs;
    const stopWatching = this.watchPasses();
    try {
      const own = this.context.ownRank();
      const end = await mapChange.changeMap(
        known.ranks,
        {
          epoch: known.epoch,
          version,
          map: plan.map,
          former: known.map,
          expectedMs,
          patienceMs: expectedMs * COPY_SLACK + COPY_SLACK_MS,
          passesAhead: () =>
            this.passes.passesIn(this.armMs * ARM_MARGIN, performance.now()),
        },
        {
          own,
          ...pickParts(known.ranks, own),
        },
        this.trace,
        this.context.log,
      );
      const ms = Math.round(performance.now() - begunAt);
      this.context.metrics.count('map_changes_total', {end});
      this.context.metrics.time('map_change', this.context.group, 'all', ms);
      this.context.log.event('mapChanged', {
        group: this.context.group,
        version,
        end,
        copies: plan.copies,
        before: Number(plan.before.toFixed(3)),
        after: Number(plan.after.toFixed(3)),
        armMs: Math.round(this.armMs),
        ms,
      });
      this.noteArming();
      this.afterChange(known, end, version, plan.map);
    } catch (err) {
      this.context.log.event('plannerFault', {
        error: String((err as Error).stack),
      });
      this.forget();
    }
    stopWatching();
    this.isChanging = false;
  }

  /**
   * Follows the own rank closely while the map is changed, so that the group
   * is held before a pass that has just enough time before it. A map that
   * takes effect a pass sooner spares the group one of its longest passes.
   * Together with readings each 50 ms instead of each 100: mean worth 0.684 to
   * 0.707 over 16 simulated days in which demand drifts every 3 s; readings
   * alone gave about a third of it.
   */
  private watchPasses(): () => void {
    const timer = setInterval(() => void this.notePass(), PASS_WATCH_MS);
    return () => clearInterval(timer);
  }

  private async notePass(): Promise<void> {
    const own = await this.context.ownState();
    if (own !== undefined) {
      this.passes.note(own.step, performance.now());
    }
  }

  private noteArming(): void {
    const {armMs} = this.trace;
    if (armMs !== undefined) {
      this.armMs = Math.max(armMs, this.armMs * ARM_KEEP);
    }
  }

  private afterChange(
    known: KnownGroup,
    end: mapChange.ChangeEnd,
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
        this.giveUp();
    }
  }

  private giveUp(): void {
    this.forget();
    this.context.onDeposed();
  }
}

function slownessOf(known: KnownGroup): number[] {
  return known.states.map(state => state.slowness);
}

function viewOf(known: KnownGroup, demand: plans.Demand): GroupView {
  const {states, map} = known;
  const imbalance = plans.imbalance(map, demand, slownessOf(known));
  return {
    requests: states.map(one => one.running + one.waiting),
    imbalance: Number(imbalance.toFixed(3)),
    slow: states.flatMap(({rank, slowness}) =>
      slowness > SLOW ? [{rank, slowness}] : [],
    ),
  };
}

/** Two other ranks whose sidecars answer: one to hold, one to help. */
function pickParts(
  ranks: GroupRanks,
  own: number,
): {holder: number; helper: number} {
  const heard = ranks.heard.filter(place => place !== own);
  const others = heard.length > 1 ? heard : ranks.all.filter(at => at !== own);
  const [holder = own, helper = holder] = random.sample(others, 2);
  return {holder, helper};
}

/** A reading in the order of the ranks. */
function byRank(reading: GroupReading): RankReading[] {
  return [...reading.ranks.values()].sort(
    (a, b) => a.state.rank - b.state.rank,
  );
}

/** The map in force, where all ranks tell the same version of it. */
function knownOf(
  ranks: GroupRanks,
  readings: readonly RankReading[],
): KnownGroup | undefined {
  const [first] = readings;
  const map = mapChange.mapOf(readings);
  const isArmed = readings.some(one => one.state.armed !== null);
  if (first?.held === undefined || map === undefined || isArmed) {
    return undefined;
  }
  const {epoch} = first.state;
  const states = readings.map(one => one.state);
  return {epoch, ranks, version: first.held.version, map, states};
}

/** Higher than all before, and never the same as another planner's. */
function nextVersion(highest: number): number {
  const unit = Math.floor(highest / VERSION_UNIT) + 1;
  return unit * VERSION_UNIT + random.below(VERSION_UNIT);
}
