/**
 * Plans the expert placement of a group in the sidecar of its lowest rank:
 * reads demand from all ranks, decides whether moves are worth their cost and
 * proposes a new map. The state is not persisted: a new planner measures demand
 * again within two periods, and the ranks hold the map in force.
 */
import type {ExpertMap} from '../groups/types';
import type {PlacementSettings} from '../configuration/types';
import * as random from '../random';
import {DecayedDemand, sumCounts} from './demand';
import * as load from './load';
import {GreedyImprovement} from './policies';
import type {Move, PolicyInput, PlacementWeights} from './types';

/** Work counters and step times reported by one rank. */
export interface RankReading {
  /** Tokens processed, by layer and expert, since the engine started. */
  readonly counts: readonly (readonly number[])[];
  /** Milliseconds of the rank's own work in a step. */
  readonly rankMs: number;
  readonly stepMs: number;
}

/** The group operations that the planner depends on. */
export abstract class PlannedGroup {
  /** True if this sidecar is the one to plan. */
  abstract isPlanner(): boolean;
  /** Readings of all ranks, by rank; undefined if any rank did not answer. */
  abstract readRanks(): Promise<readonly RankReading[] | undefined>;
  /** The map in force; undefined if it is not known. */
  abstract currentMap(): ExpertMap | undefined;
  /** Proposes a map; true if the group adopted it. */
  abstract propose(
    layers: number[][][],
    moves: readonly Move[],
  ): Promise<boolean>;
}

/** Slots per rank and layer beyond an even share of the experts. */
const SPARE_SLOTS = 1;
/** Half-life of demand, in planning periods. */
const HALF_LIFE_PERIODS = 2;
/** Weight of the newest measurement in the smoothed slowness of a rank. */
const SLOWNESS_SMOOTHING = 0.2;

export class Planner {
  private readonly policy = new GreedyImprovement();
  private demand: DecayedDemand | undefined;
  private slowness: number[] = [];
  private timer: NodeJS.Timeout | undefined;
  private closed = false;

  constructor(
    private readonly group: PlannedGroup,
    private readonly settings: () => PlacementSettings | undefined,
  ) {}

  start(): void {
    const periodMs = this.settings()?.periodMs ?? DEFAULT_PERIOD_MS;
    this.timer = setTimeout(() => void this.tick(), random.jitter(periodMs));
  }

  close(): void {
    this.closed = true;
    clearTimeout(this.timer);
  }

  /**
   * Runs one planning round at `now`, in milliseconds. True if the group
   * adopted a new map.
   */
  async planOnce(now: number): Promise<boolean> {
    const cfg = this.settings();
    if (cfg === undefined || !this.group.isPlanner()) {
      this.demand = undefined;
      return false;
    }
    const ranks = await this.group.readRanks();
    const map = this.group.currentMap();
    if (ranks === undefined || map === undefined) {
      return false;
    }
    this.demand ??= new DecayedDemand(cfg.periodMs * HALF_LIFE_PERIODS);
    this.demand.record(sumCounts(ranks.map(rank => rank.counts)), now);
    if (!this.demand.isKnown) {
      return false;
    }
    const input = this.buildInput(map, ranks);
    const weights = weightsOf(cfg, input, ranks);
    const plan = await this.policy.planInSlices(input, weights);
    return plan === null ? false : this.group.propose(plan.layers, plan.moves);
  }

  private async tick(): Promise<void> {
    await this.planOnce(Date.now());
    if (!this.closed) {
      this.start();
    }
  }

  private buildInput(
    map: ExpertMap,
    ranks: readonly RankReading[],
  ): PolicyInput {
    const demand = this.demand!.demand;
    const uniform = new Array<number>(ranks.length).fill(1);
    const expected = load.rankLoads(map.layers, demand, uniform);
    this.updateSlowness(ranks, expected);
    const experts = map.layers[0]?.length ?? 0;
    return {
      map,
      demand,
      slowness: this.slowness,
      slotsPerLayer: Math.ceil(experts / ranks.length) + SPARE_SLOTS,
    };
  }

  /**
   * Compares each rank's time per unit of load with the median of all ranks and
   * smooths the ratio.
   */
  private updateSlowness(
    ranks: readonly RankReading[],
    expected: Float64Array,
  ): void {
    const perLoad = ranks.map((rank, at) => rank.rankMs / (expected[at]! || 1));
    const median = [...perLoad].sort((a, b) => a - b)[ranks.length >> 1] ?? 1;
    this.slowness = perLoad.map((perUnit, at) => {
      const measured = median > 0 ? perUnit / median : 1;
      const previous = this.slowness[at] ?? 1;
      return previous + SLOWNESS_SMOOTHING * (measured - previous);
    });
  }
}

const DEFAULT_PERIOD_MS = 60_000;

function weightsOf(
  cfg: PlacementSettings,
  input: PolicyInput,
  ranks: readonly RankReading[],
): PlacementWeights {
  const stepMs = Math.max(...ranks.map(rank => rank.stepMs), 1);
  const loads = load.rankLoads(input.map.layers, input.demand, input.slowness);
  const heaviest = Math.max(...loads, 1);
  const slowest = Math.max(...ranks.map(rank => rank.rankMs), 0);
  return {
    skew: cfg.skewWeight,
    move: cfg.moveWeight,
    horizonSteps: cfg.horizonMs / stepMs,
    msPerDemand: slowest / heaviest,
  };
}
