/**
 * Runs the map changes of one planner and estimates from them how long arming
 * takes. A planner must not run two changes at once.
 */
import {Log} from '../observability/log';
import {Metrics} from '../observability/metrics';
import * as random from '../random';
import type {ExpertParameters} from '../routes/types';
import {BoundedRanks} from './bounded-ranks';
import * as mapChange from './change';
import type {GroupClient, GroupRanks} from './group-client';
import type {LastChange} from './hold-decision';
import {MAX_PASSES_AHEAD, PassClock} from './pass-clock';
import type {MapPlan} from './plan';
import type {ExpertMap, RankReading, RankState} from './types';

/** The time limit for copying is the estimate times the factor, plus the margin. */
const COPY_TIMEOUT_FACTOR = 2;
const COPY_TIMEOUT_MARGIN_MS = 400;
/**
 * Time limit of a change beyond its copying. Longer than a few orders that are
 * sent again; a held group serves nothing meanwhile.
 */
export const MAX_ORDERING_MS = 5_000;
/** Estimate of the arming time before the first change. */
const INITIAL_ARM_MS = 30;
/** Factor applied to the estimated arming time at each change. */
const ARM_TIME_DECAY = 0.85;
/** Factor by which arming may exceed its estimate without delaying a pass. */
const ARM_TIME_MARGIN = 1.2;
/**
 * Interval for polling the own rank during a change; shorter than a pass. Calls
 * within the instance cost nothing.
 */
const PASS_POLL_INTERVAL_MS = 10;
/** Versions below the next multiple are random, to differ between planners. */
const VERSION_STRIDE = 2 ** 20;

/** What a planner needs from the group member that runs it. */
export interface PlannerContext {
  /** Group name in logs and metrics. */
  readonly group: string;
  /** Undefined until the configuration is known. */
  figures(): ExpertParameters | undefined;
  readonly groupClient: GroupClient;
  /** Term of this planner; 0 while this process is not the planner. */
  term(): number;
  /** The rank on this instance. */
  ownRank(): number;
  /** Its state, read locally; undefined if unavailable. */
  ownState(): Promise<RankState | undefined>;
  /** Rank of the previous planner; undefined if unknown. */
  previousRank(): number | undefined;
  onDeposed(): void;
  /** Called before each reading. */
  onTick(): void;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** The group and its map before a change. */
export interface MapInForce {
  readonly epoch: number;
  readonly ranks: GroupRanks;
  readonly version: number;
  readonly map: ExpertMap;
}

export interface NextMap {
  readonly version: number;
  readonly plan: MapPlan;
}

export class MapChanger {
  readonly passes = new PassClock();
  private armMs = INITIAL_ARM_MS;
  private usedStepEpoch = 0;
  /**
   * What the last change has left at the ranks; undefined if that is not certain
   * or the group was recovered since.
   */
  lastChange: LastChange | undefined;
  /** End of the last change, in milliseconds on the monotonic clock. */
  endedAt = -Infinity;
  private readonly state: mapChange.ChangerState = {
    lastUsedStep: 0,
    armMs: undefined,
  };

  constructor(private readonly context: PlannerContext) {}

  /**
   * Excludes passes from being held that a late release order of another
   * planner's aborted change may name.
   */
  skipUsedSteps(readings: readonly RankReading[]): void {
    this.lastChange = undefined;
    const hasUnfinished = readings.some(
      ({state}) =>
        state.prepared !== null && state.prepared !== state.mapVersion,
    );
    const {step, epoch} = readings[0]!.state;
    if (epoch !== this.usedStepEpoch) {
      // Late orders of another epoch are refused.
      this.usedStepEpoch = epoch;
      this.state.lastUsedStep = 0;
    }
    const lastUsed = hasUnfinished ? step + MAX_PASSES_AHEAD + 1 : step;
    this.state.lastUsedStep = Math.max(this.state.lastUsedStep, lastUsed);
    this.skipHeldSteps(readings);
  }

  /** Releases all that is held, and holds none of these passes again. */
  async release(
    ranks: GroupRanks,
    readings: readonly RankReading[],
  ): Promise<void> {
    this.skipHeldSteps(readings);
    await mapChange.releaseHolds(ranks, readings);
  }

  private skipHeldSteps(readings: readonly RankReading[]): void {
    const held = readings.map(({state}) => state.held ?? 0);
    this.state.lastUsedStep = Math.max(this.state.lastUsedStep, ...held);
  }

  /** Runs a change, then logs and measures it. */
  async run(
    figures: ExpertParameters,
    known: MapInForce,
    {version, plan}: NextMap,
  ): Promise<mapChange.ChangeOutcome> {
    const startedAt = performance.now();
    const expectedMs = plan.maxCopiesPerRank * figures.copyMs;
    const copyTimeoutMs =
      expectedMs * COPY_TIMEOUT_FACTOR + COPY_TIMEOUT_MARGIN_MS;
    const ranks = new BoundedRanks(
      known.ranks,
      copyTimeoutMs + MAX_ORDERING_MS,
    );
    const stopPolling = this.pollPasses();
    try {
      const own = this.context.ownRank();
      const end = await mapChange.changeMap(
        ranks,
        {
          epoch: known.epoch,
          version,
          map: plan.map,
          former: {version: known.version, map: known.map},
          expectedMs,
          copyTimeoutMs,
          passesAhead: () =>
            this.passes.passesIn(
              this.armMs * ARM_TIME_MARGIN,
              performance.now(),
            ),
        },
        {
          own,
          ...pickRoles(known.ranks, own),
        },
        this.state,
        this.context.log,
      );
      const ms = Math.round(performance.now() - startedAt);
      this.context.metrics.count('map_changes_total', {end});
      this.context.metrics.recordDuration(
        'map_change',
        this.context.group,
        'all',
        ms,
      );
      this.context.log.event('mapChanged', {
        group: this.context.group,
        version,
        end,
        copies: plan.copies,
        before: Number(plan.imbalanceBefore.toFixed(3)),
        after: Number(plan.imbalanceAfter.toFixed(3)),
        armMs: Math.round(this.armMs),
        ms,
      });
      this.recordArmTime();
      this.lastChange = this.lastChangeAfter(end, version);
      return end;
    } finally {
      this.endedAt = performance.now();
      ranks.close();
      stopPolling();
    }
  }

  private lastChangeAfter(
    end: mapChange.ChangeOutcome,
    version: number,
  ): LastChange | undefined {
    const step = this.state.lastUsedStep;
    switch (end) {
      case 'armed':
        return {step, version};
      case 'not-held':
        return {step, version: undefined};
      default:
        return undefined;
    }
  }

  /**
   * Polls the own rank during a change, so that the group is held before the
   * earliest pass that leaves enough time for arming. Returns a function that
   * stops the polling.
   */
  private pollPasses(): () => void {
    const timer = setInterval(
      () => void this.recordPass(),
      PASS_POLL_INTERVAL_MS,
    );
    return () => clearInterval(timer);
  }

  private async recordPass(): Promise<void> {
    const own = await this.context.ownState();
    if (own !== undefined) {
      this.passes.record(own.step, performance.now());
    }
  }

  private recordArmTime(): void {
    const {armMs} = this.state;
    if (armMs !== undefined) {
      this.armMs = Math.max(armMs, this.armMs * ARM_TIME_DECAY);
      this.context.metrics.recordDuration(
        'arming',
        this.context.group,
        'all',
        armMs,
      );
    }
  }
}

/** Picks a holder and a helper among the other ranks, preferring reachable ones. */
function pickRoles(
  ranks: GroupRanks,
  own: number,
): {holder: number; helper: number} {
  const responsive = ranks.responsive.filter(rank => rank !== own);
  const others =
    responsive.length > 1 ? responsive : ranks.all.filter(rank => rank !== own);
  const [holder = own, helper = holder] = random.sample(others, 2);
  return {holder, helper};
}

/** A version above `highest` that is unlikely to equal another planner's. */
export function nextVersion(highest: number): number {
  const multiple = Math.floor(highest / VERSION_STRIDE) + 1;
  return multiple * VERSION_STRIDE + random.integerBelow(VERSION_STRIDE);
}
