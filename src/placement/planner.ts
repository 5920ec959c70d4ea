/**
 * The planner of a group, in the sidecar of its lowest rank: reads demand
 * from all ranks, decides whether a move pays, and proposes the new map.
 * It keeps nothing that another planner would miss: demand is learnt anew
 * within two periods, and the map in force is the ranks' own.
 */
import type {ExpertMap} from '../groups/types';
import type {PlacementSettings} from '../configuration/types';
import * as random from '../random';
import {DecayedDemand, sumCounts} from './demand';
import * as load from './load';
import {GreedyImprovement} from './policies';
import type {Move, PlacementInput, PlacementWeights} from './types';

/** What one rank tells of its work. */
export interface RankReading {
  readonly counts: readonly (readonly number[])[];
  /** Time of the rank's own share of a step. */
  readonly rankMs: number;
  readonly stepMs: number;
}

/** What the planner needs of the group. */
export abstract class PlannedGroup {
  /** False while another sidecar should plan. */
  abstract isPlanner(): boolean;
  /** All ranks' readings in order; undefined where one is silent. */
  abstract readRanks(): Promise<readonly RankReading[] | undefined>;
  /** The map in force as this sidecar knows it. */
  abstract currentMap(): ExpertMap | undefined;
  /** True where the group took the map. */
  abstract propose(
    layers: number[][][],
    moves: readonly Move[],
  ): Promise<boolean>;
}

/** Spare slots of a rank in a layer, beside its share of the experts. */
const SPARE_SLOTS = 1;
const HALF_LIFE_PERIODS = 2;
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

  /** Looks once; true where a new map was taken. */
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
    const situation = this.buildInput(map, ranks);
    const weights = weightsOf(cfg, situation, ranks);
    const plan = await this.policy.planInSlices(situation, weights);
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
  ): PlacementInput {
    const demand = this.demand!.demand;
    const even = new Array<number>(ranks.length).fill(1);
    const expected = load.rankLoads(map.layers, demand, even);
    this.updateSlowness(ranks, expected);
    const experts = map.layers[0]?.length ?? 0;
    return {
      map,
      demand,
      slowness: this.slowness,
      slotsPerLayer: Math.ceil(experts / ranks.length) + SPARE_SLOTS,
    };
  }

  /** A rank that takes longer for its load than the others is slow. */
  private updateSlowness(
    ranks: readonly RankReading[],
    expected: Float64Array,
  ): void {
    const perLoad = ranks.map((rank, at) => rank.rankMs / (expected[at]! || 1));
    const typical = [...perLoad].sort((a, b) => a - b)[ranks.length >> 1] ?? 1;
    this.slowness = perLoad.map((own, at) => {
      const seen = typical > 0 ? own / typical : 1;
      const held = this.slowness[at] ?? 1;
      return held + SLOWNESS_SMOOTHING * (seen - held);
    });
  }
}

const DEFAULT_PERIOD_MS = 60_000;

function weightsOf(
  cfg: PlacementSettings,
  situation: PlacementInput,
  ranks: readonly RankReading[],
): PlacementWeights {
  const stepMs = Math.max(...ranks.map(rank => rank.stepMs), 1);
  const loads = load.rankLoads(
    situation.map.layers,
    situation.demand,
    situation.slowness,
  );
  const heaviest = Math.max(...loads, 1);
  const slowest = Math.max(...ranks.map(rank => rank.rankMs), 0);
  return {
    skew: cfg.skewWeight,
    move: cfg.moveWeight,
    horizonSteps: cfg.horizonMs / stepMs,
    msPerDemand: slowest / heaviest,
  };
}
