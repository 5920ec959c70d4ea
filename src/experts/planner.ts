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
import type {SidecarLink} from './links';
import * as plans from './plan';
import type {ExpertMap, RankReading, RankState} from './types';

/** Milliseconds between readings of the ranks. */
const PERIOD_MS = 100;
/** Age at which demand counts for half. */
const HALF_LIFE_MS = 300;
/** Tokens to be seen before a first plan, per expert. */
const MIN_TOKENS_PER_EXPERT = 40;
/** Copies of a rank in one change: each takes the link for some 100 ms. */
const COPIES_PER_RANK = 2;
/** Least relief of a copy, in shares of the mean load of a set. */
const MIN_RELIEF = 0.03;
/** Least gain of a whole change, in shares of the mean load. */
const MIN_GAIN = 0.12;
/** Copies may take this much longer than computed. */
const COPY_SLACK = 2;
const COPY_SLACK_MS = 400;
/** Low part of a version that tells planners' maps apart. */
const VERSION_UNIT = 2 ** 20;

/** One round of readings that covers every rank. */
interface Round {
  readonly states: readonly RankState[];
  readonly links: readonly SidecarLink[];
}

/** What a planner needs of the member that runs it. */
export interface PlannerContext {
  /** Name for logs. */
  readonly group: string;
  /** Undefined until the configuration is known. */
  figures(): ExpertFigures | undefined;
  /** Every member of the group. */
  links(): readonly SidecarLink[];
  /** 0 while another process plans. */
  term(): number;
  /** The rank beside this process. */
  ownRank(): number;
  /** Rank of the planner before this one; undefined: not known. */
  formerRank(): number | undefined;
  onDeposed(): void;
  /** Called before each look. */
  onTick(): void;
  readonly log: Log;
  readonly metrics: Metrics;
}

export class GroupPlanner {
  private demand: RecentDemand | undefined;
  private map: {version: number; epoch: number; experts: ExpertMap} | undefined;
  private isChanging = false;
  private isFresh = true;
  /** Changes that have ended; tells readings from before an end. */
  private changes = 0;
  private isClosed = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly context: PlannerContext) {}

  start(): void {
    this.timer = setTimeout(() => void this.tick(), PERIOD_MS);
  }

  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
  }

  private async tick(): Promise<void> {
    try {
      await this.look();
    } catch (err) {
      this.context.log.event('plannerFault', {
        error: String((err as Error).stack),
      });
    }
    if (!this.isClosed) {
      this.start();
    }
  }

  /** Reads the ranks, and plans where nothing is under way. */
  private async look(): Promise<void> {
    this.context.onTick();
    const figures = this.context.figures();
    if (this.context.term() === 0 || figures === undefined) {
      this.forget();
      return;
    }
    const {changes: before} = this;
    const round = await this.readRanks(figures);
    // What was read while a change ended may be from before its end.
    const isOld = this.isChanging || this.changes !== before;
    if (round === undefined || isOld) {
      return;
    }
    if (this.isFresh) {
      this.isFresh = false;
      await this.takeOver(round);
      return;
    }
    await this.plan(figures, round);
  }

  /** What was known before the seat was lost may be wrong by now. */
  private forget(): void {
    this.isFresh = true;
    this.map = undefined;
    this.demand = undefined;
  }

  private async readRanks(figures: ExpertFigures): Promise<Round | undefined> {
    const links = this.context.links();
    const wantsHeld = this.map === undefined;
    const wish = {counts: true, held: wantsHeld};
    const readings = await Promise.all(
      links.map(async link => {
        const read = await link.read(wish);
        const isSilent = read === undefined && !link.isHeard;
        // Past a silent sidecar only where the round can't do without.
        return isSilent && !this.isChanging ? link.readDirect(wish) : read;
      }),
    );
    if (readings.includes('deposed')) {
      this.context.onDeposed();
      return undefined;
    }
    const known = readings.flatMap((reading, at) =>
      reading === undefined || reading === 'deposed'
        ? []
        : [{reading, link: links[at]!}],
    );
    await this.undoFormer(known);
    const byRank = known.sort(
      (a, b) => a.reading.state.rank - b.reading.state.rank,
    );
    this.noteDemand(
      figures,
      byRank.map(one => one.reading),
    );
    if (!isWhole(byRank.map(one => one.reading.state))) {
      return undefined;
    }
    this.noteMap(byRank.map(one => one.reading));
    return {
      states: byRank.map(one => one.reading.state),
      links: byRank.map(one => one.link),
    };
  }

  /**
   * A new planner that can read all ranks but its predecessor's must not wait
   * for that one: the group may be held.
   */
  private async undoFormer(
    known: readonly {reading: RankReading; link: SidecarLink}[],
  ): Promise<void> {
    const former = this.context.formerRank();
    const [first] = known;
    const isMissing =
      this.isFresh &&
      first !== undefined &&
      former !== undefined &&
      known.length === first.reading.state.size - 1 &&
      known.every(one => one.reading.state.rank !== former);
    if (isMissing) {
      await mapChange.undoWithoutPlanner(
        known.map(one => ({link: one.link, state: one.reading.state})),
        this.context.log,
      );
    }
  }

  private noteDemand(
    figures: ExpertFigures,
    readings: readonly RankReading[],
  ): void {
    this.demand ??= new RecentDemand(figures.sets, HALF_LIFE_MS);
    const counts = new Map<number, readonly number[]>();
    for (const {state, counts: counters} of readings) {
      if (counters !== undefined) {
        counts.set(state.rank, counters);
      }
    }
    this.demand.note(counts, performance.now());
  }

  /** Learns the map in force where it isn't known. */
  private noteMap(readings: readonly RankReading[]): void {
    const [{state}] = readings as [RankReading];
    if (this.map !== undefined && this.map.epoch !== state.epoch) {
      this.map = undefined;
    }
    const versions = new Set(readings.map(one => one.held?.version));
    if (this.map === undefined && versions.size === 1) {
      const [version] = versions;
      if (version !== undefined) {
        const sets = readings[0]!.held!.experts.length;
        const experts = Array.from({length: sets}, (_, set) =>
          readings.map(one => one.held!.experts[set]!),
        );
        this.map = {version, epoch: state.epoch, experts};
      }
    }
  }

  private async takeOver(round: Round): Promise<void> {
    const end = await mapChange.finishChange(
      round.links,
      round.states,
      this.context.ownRank(),
      this.context.log,
    );
    this.context.log.event('plannerStarted', {
      group: this.context.group,
      term: this.context.term(),
      left: end,
    });
    this.afterChange(end);
  }

  private async plan(figures: ExpertFigures, round: Round): Promise<void> {
    const [first] = round.states as [RankState];
    const {map} = this;
    const demand = this.demand?.demand;
    const stray = round.states.some(state => state.held !== null);
    if (stray) {
      this.context.log.event('strayHold', {group: this.context.group});
      await this.takeOver(round);
      return;
    }
    const isSettled = round.states.every(
      state => state.armed === null && state.mapVersion === map?.version,
    );
    const minTokens = figures.sets * figures.experts * MIN_TOKENS_PER_EXPERT;
    if (
      map === undefined ||
      demand === undefined ||
      !isSettled ||
      this.demand!.total < minTokens
    ) {
      return;
    }
    const plan = plans.planMap(map.experts, demand, {
      places: figures.places,
      spare: figures.spare,
      copiesPerRank: COPIES_PER_RANK,
      minRelief: MIN_RELIEF,
    });
    if (plan === undefined || plan.before - plan.after < MIN_GAIN) {
      return;
    }
    const highest = Math.max(
      ...round.states.map(state =>
        Math.max(state.mapVersion, state.prepared ?? 0),
      ),
      this.highestTried,
    );
    const version = nextVersion(highest);
    this.highestTried = version;
    this.isChanging = true;
    void this.change(figures, round, first.epoch, version, plan);
  }

  private highestTried = 0;

  private async change(
    figures: ExpertFigures,
    round: Round,
    epoch: number,
    version: number,
    plan: plans.MapPlan,
  ): Promise<void> {
    const begunAt = performance.now();
    const most = COPIES_PER_RANK * figures.copyMs;
    try {
      const holder = this.pickHolder(round);
      const end = await mapChange.changeMap(
        round.links,
        {
          epoch,
          version,
          map: plan.map,
          patienceMs: most * COPY_SLACK + COPY_SLACK_MS,
        },
        {own: this.context.ownRank(), holder},
        this.context.log,
      );
      const ms = Math.round(performance.now() - begunAt);
      this.context.metrics.count('map_changes_total', {end});
      this.context.log.event('mapChanged', {
        group: this.context.group,
        version,
        end,
        copies: plan.copies,
        before: Number(plan.before.toFixed(3)),
        after: Number(plan.after.toFixed(3)),
        ms,
      });
      if (end === 'armed') {
        this.map = {version, epoch, experts: plan.map};
      }
      this.afterChange(end);
    } catch (err) {
      this.context.log.event('plannerFault', {
        error: String((err as Error).stack),
      });
      this.forget();
    }
    this.isChanging = false;
    this.changes += 1;
  }

  /** A rank on another instance whose sidecar answers. */
  private pickHolder(round: Round): number {
    const own = this.context.ownRank();
    const heard = round.links.flatMap((link, at) =>
      link.isHeard && at !== own ? [at] : [],
    );
    return heard.length > 0 ? random.pick(heard) : 0;
  }

  private afterChange(end: mapChange.ChangeEnd | 'nothing-left'): void {
    switch (end) {
      case 'armed':
      case 'nothing-left':
      case 'not-prepared':
      case 'not-held':
        return;
      case 'backed-out':
      case 'regrouped':
        this.map = undefined;
        return;
      case 'stuck':
      case 'deposed':
        this.forget();
        this.context.onDeposed();
    }
  }
}

/** True where the states are those of one open group, each rank once. */
function isWhole(states: readonly RankState[]): boolean {
  const [first] = states;
  return (
    first !== undefined &&
    states.length === first.size &&
    states.every(
      (state, at) =>
        state.rank === at && state.isOpen && state.epoch === first.epoch,
    )
  );
}

/** Higher than all before, and never the same as another planner's. */
function nextVersion(highest: number): number {
  const unit = Math.floor(highest / VERSION_UNIT) + 1;
  return unit * VERSION_UNIT + random.below(VERSION_UNIT);
}
