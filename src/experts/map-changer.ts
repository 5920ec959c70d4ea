/**
 * Carries out the map changes of one planner, and learns from each how long
 * arming takes and how fast passes follow each other.
 */
import {Log} from '../observability/log';
import {Metrics} from '../observability/metrics';
import * as random from '../random';
import type {ExpertFigures} from '../routes/types';
import * as mapChange from './change';
import type {GroupClient, GroupRanks} from './group-client';
import {MAX_PASSES_AHEAD, PassClock} from './pass-clock';
import type {MapPlan} from './plan';
import type {ExpertMap, RankReading, RankState} from './types';

/** Copies may take this much longer than computed. */
const COPY_TIMEOUT_FACTOR = 2;
const COPY_TIMEOUT_MARGIN_MS = 400;
/** Time that arming is taken to need at first, in milliseconds. */
const INITIAL_ARM_MS = 30;
/** Part of the longest time that still counts at the next change. */
const ARM_TIME_DECAY = 0.85;
/** Arming may take this much longer than it has lately, unnoticed. */
const ARM_TIME_MARGIN = 1.2;
/**
 * Time between looks at the own rank while the map is changed, in
 * milliseconds: a part of a pass. They cost nothing on the own instance.
 */
const PASS_POLL_INTERVAL_MS = 10;
/** Low part of a version that tells planners' maps apart. */
const VERSION_STRIDE = 2 ** 20;

/** What a planner needs of the member that runs it. */
export interface PlannerContext {
  /** Name for logs. */
  readonly group: string;
  /** Undefined until the configuration is known. */
  figures(): ExpertFigures | undefined;
  readonly links: GroupClient;
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

/** The group as it is before a change. */
export interface MapInForce {
  readonly epoch: number;
  readonly ranks: GroupRanks;
  readonly version: number;
  readonly map: ExpertMap;
}

/** What it should change to. */
export interface NextMap {
  readonly version: number;
  readonly plan: MapPlan;
}

/** The changes of one planner, one at a time. */
export class MapChanger {
  readonly passes = new PassClock();
  private armMs = INITIAL_ARM_MS;
  private usedStepEpoch = 0;
  /**
   * Pass before which the last change may have held the group in vain;
   * undefined: it ended otherwise.
   */
  private unconfirmedHoldStep: number | undefined;
  /** When the last change ended, on the monotonic clock. */
  endedAt = -Infinity;
  private readonly state: mapChange.ChangerState = {
    lastUsedStep: 0,
    armMs: undefined,
  };

  constructor(private readonly context: PlannerContext) {}

  /**
   * A change that somebody else has given up may have left a release under
   * way; the passes that it may name are not held.
   */
  skipUsedSteps(readings: readonly RankReading[]): void {
    const isLeft = readings.some(
      ({state}) =>
        state.prepared !== null && state.prepared !== state.mapVersion,
    );
    const {step, epoch} = readings[0]!.state;
    if (epoch !== this.usedStepEpoch) {
      // Orders of another epoch are refused.
      this.usedStepEpoch = epoch;
      this.state.lastUsedStep = 0;
    }
    const spent = isLeft ? step + MAX_PASSES_AHEAD + 1 : step;
    this.state.lastUsedStep = Math.max(this.state.lastUsedStep, spent);
  }

  /** Changes the map; rejects only where an order was given wrongly. */
  async run(
    figures: ExpertFigures,
    known: MapInForce,
    {version, plan}: NextMap,
  ): Promise<mapChange.ChangeOutcome> {
    const begunAt = performance.now();
    const expectedMs = plan.maxCopiesPerRank * figures.copyMs;
    const stopWatching = this.pollPasses();
    try {
      const own = this.context.ownRank();
      const end = await mapChange.changeMap(
        known.ranks,
        {
          epoch: known.epoch,
          version,
          map: plan.map,
          former: {version: known.version, map: known.map},
          expectedMs,
          copyTimeoutMs:
            expectedMs * COPY_TIMEOUT_FACTOR + COPY_TIMEOUT_MARGIN_MS,
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
      const ms = Math.round(performance.now() - begunAt);
      this.context.metrics.count('map_changes_total', {end});
      this.context.metrics.time('map_change', this.context.group, 'all', ms);
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
      this.unconfirmedHoldStep =
        end === 'not-held' ? this.state.lastUsedStep : undefined;
      return end;
    } finally {
      this.endedAt = performance.now();
      stopWatching();
    }
  }

  /**
   * Releases a group that the last change holds in vain. False where somebody
   * else may hold it.
   */
  async releaseLateHold(
    ranks: GroupRanks,
    readings: readonly RankReading[],
  ): Promise<boolean> {
    const step = this.unconfirmedHoldStep;
    return (
      step !== undefined &&
      (await mapChange.releaseLateHold(ranks, readings, step))
    );
  }

  /**
   * Follows the own rank closely while the map is changed, so that the group
   * is held before a pass that has just enough time before it. A map that
   * takes effect a pass sooner spares the group one of its longest passes.
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
      this.context.metrics.time('arming', this.context.group, 'all', armMs);
    }
  }
}

/** Two other ranks whose sidecars answer: one to hold, one to help. */
function pickRoles(
  ranks: GroupRanks,
  own: number,
): {holder: number; helper: number} {
  const heard = ranks.responsive.filter(place => place !== own);
  const others = heard.length > 1 ? heard : ranks.all.filter(at => at !== own);
  const [holder = own, helper = holder] = random.sample(others, 2);
  return {holder, helper};
}

/** Higher than all before, and never the same as another planner's. */
export function nextVersion(highest: number): number {
  const unit = Math.floor(highest / VERSION_STRIDE) + 1;
  return unit * VERSION_STRIDE + random.integerBelow(VERSION_STRIDE);
}
