/**
 * Expert placement on drifting demand: gain over cost, with the weights of two
 * fleets, compared with never moving and with rebuilding each period. All
 * policies get the same demand.
 */
import * as load from '../src/placement/load';
import * as policies from '../src/placement/policies';
import type {
  Demand,
  Plan,
  PlacementPolicy,
  PolicyInput,
  PlacementWeights,
} from '../src/placement/types';
import * as random from '../src/random';
import * as stats from './stats';
import type {Benchmark} from './main';

const LAYERS = 8;
const EXPERTS = 128;
const PERIODS = 96;
/** Periods at the start whose steps are not measured. */
const WARM_UP_PERIODS = 8;
const SAMPLED_STEPS_PER_PERIOD = 20;
const STEP_TOKENS = 2_048;
const BASE_STEP_MS = 4.5;
/** Expert work of a step on each rank if it is spread evenly. */
const EXPERT_WORK_MS = 3;
const STEPS_PER_PERIOD = 4_000;
const SLOW_RANK = 1;
const SLOW_FACTOR = 1.3;
/** Size of one expert's weights. */
const EXPERT_MEGABYTES = 44;
/** Rate at which weights are loaded from the store. */
const STORE_MEGABYTES_PER_STEP = 2;

/** Pattern of the topics' demand: a daily cycle or short bursts. */
type DemandShape = 'disputes' | 'carriers';

const FLEET_WEIGHTS = {
  /** Gives skew more weight relative to moves. */
  memberTopUp: {skew: 1, move: 25},
  /** Gives moves more weight relative to skew. */
  lommebok: {skew: 1, move: 150},
} as const;

/** Demand by expert: a skewed base, and topics whose demand varies. */
class DriftingDemand {
  private readonly base: Float64Array[] = [];
  private readonly topics: number[][][] = [];

  constructor(private readonly shape: DemandShape) {
    for (let layer = 0; layer < LAYERS; layer += 1) {
      this.base.push(
        Float64Array.from({length: EXPERTS}, () => random.exponential(1) + 0.2),
      );
      this.topics.push(
        Array.from({length: 4}, () =>
          Array.from({length: 6}, () => random.integerBelow(EXPERTS)),
        ),
      );
    }
  }

  demandAt(period: number): Demand {
    return this.base.map((base, layer) => {
      const demand = Float64Array.from(base);
      this.topics[layer]!.forEach((experts, topic) => {
        const topicDemand = this.topicDemandAt(topic, period);
        experts.forEach(expert => {
          demand[expert] = demand[expert]! + topicDemand;
        });
      });
      return demand;
    });
  }

  private topicDemandAt(topic: number, period: number): number {
    const PERIODS_PER_DAY = 48;
    if (this.shape === 'disputes') {
      const phase = (period / PERIODS_PER_DAY + topic / 4) * 2 * Math.PI;
      return 3 * Math.max(0, Math.sin(phase));
    }
    const BURST_PERIODS = 6;
    const isOn = Math.floor(period / BURST_PERIODS + topic * 1.7) % 5 === 0;
    return isOn ? 5 : 0;
  }
}

interface Outcome {
  readonly p50SkewMs: number;
  readonly p99SkewMs: number;
  readonly meanStepMs: number;
  readonly moves: number;
  readonly megabytes: number;
  /** Steps during which experts were being loaded. */
  readonly loadingSteps: number;
  readonly changes: number;
  /** 99th percentile of how long planning blocked the event loop at once. */
  readonly p99HeldMs: number;
}

/** Plans, and records each uninterrupted block of the event loop. */
async function planTimed(
  policy: PlacementPolicy,
  situation: PolicyInput,
  blockedMs: number[],
  weights: PlacementWeights,
): Promise<Plan | null> {
  if (policy instanceof policies.GreedyImprovement) {
    return policy.planInSlices(situation, weights, ms => blockedMs.push(ms));
  }
  const startedAt = performance.now();
  const plan = policy.plan(situation, weights);
  blockedMs.push(performance.now() - startedAt);
  return plan;
}

async function runPolicy(
  policy: PlacementPolicy,
  weights: Pick<PlacementWeights, 'skew' | 'move'>,
  shape: DemandShape,
  ranks: number,
  seed: number,
): Promise<Outcome> {
  random.seed(seed);
  const driftingDemand = new DriftingDemand(shape);
  const slowness = new Array<number>(ranks).fill(1);
  slowness[SLOW_RANK] = SLOW_FACTOR;
  const slotsPerLayer = Math.ceil(EXPERTS / ranks) + 1;
  let layers = load.roundRobinLayers(LAYERS, EXPERTS, ranks);
  const skews: number[] = [];
  const steps: number[] = [];
  const blockedMs: number[] = [];
  let moves = 0;
  let changes = 0;
  let observed: Demand | undefined;
  for (let period = 0; period < PERIODS; period += 1) {
    const demand = driftingDemand.demandAt(period);
    if (observed !== undefined) {
      const situation: PolicyInput = {
        map: {version: period, layers},
        demand: observed,
        slowness,
        slotsPerLayer,
      };
      const plan = await planTimed(policy, situation, blockedMs, {
        ...weights,
        horizonSteps: STEPS_PER_PERIOD,
        msPerDemand: msPerDemand(observed, ranks),
      });
      if (plan !== null && plan.moves.length > 0) {
        layers = plan.layers;
        moves += plan.moves.length;
        changes += 1;
      }
    }
    const isCounted = period >= WARM_UP_PERIODS;
    for (
      let step = 0;
      isCounted && step < SAMPLED_STEPS_PER_PERIOD;
      step += 1
    ) {
      const sampled = sampleSteps(demand);
      const loads = load.rankLoads(layers, sampled, slowness);
      const scale = msPerDemand(sampled, ranks);
      skews.push(load.spread(loads) * scale);
      steps.push(BASE_STEP_MS + Math.max(...loads) * scale);
    }
    // Policies plan on a noisy sample of the period before.
    observed = sampleSteps(demand, 64);
  }
  const megabytes = moves * EXPERT_MEGABYTES;
  return {
    p50SkewMs: stats.quantile(skews, 0.5),
    p99SkewMs: stats.quantile(skews, 0.99),
    meanStepMs: stats.mean(steps),
    moves,
    megabytes,
    loadingSteps: Math.ceil(megabytes / STORE_MEGABYTES_PER_STEP),
    changes,
    p99HeldMs: stats.quantile(blockedMs, 0.99),
  };
}

function msPerDemand(demand: Demand, ranks: number): number {
  const total = demand.reduce(
    (sum, layer) => sum + layer.reduce((a, b) => a + b, 0),
    0,
  );
  return (EXPERT_WORK_MS * ranks) / total;
}

/** Draws the tokens of some steps by expert, with sampling noise. */
function sampleSteps(demand: Demand, stepCount = 1): Demand {
  return demand.map(layer => {
    const total = layer.reduce((a, b) => a + b, 0);
    return Float64Array.from(layer, rate => {
      const mean = (rate / total) * STEP_TOKENS * 8 * stepCount;
      return Math.max(0, mean + Math.sqrt(mean) * stats.normal());
    });
  });
}

async function run(): Promise<unknown> {
  const results: unknown[] = [];
  for (const shape of ['disputes', 'carriers'] as const) {
    for (const ranks of [4, 12, 64]) {
      const seed = ranks * 31 + shape.length;
      const runSeeded = (
        policy: PlacementPolicy,
        weights: {skew: number; move: number},
      ) => runPolicy(policy, weights, shape, ranks, seed);
      const never = await runSeeded(
        new policies.NeverMove(),
        FLEET_WEIGHTS.memberTopUp,
      );
      const rebuild = await runSeeded(
        new policies.Rebuild(),
        FLEET_WEIGHTS.memberTopUp,
      );
      const member = await runSeeded(
        new policies.GreedyImprovement(),
        FLEET_WEIGHTS.memberTopUp,
      );
      const lommebok = await runSeeded(
        new policies.GreedyImprovement(),
        FLEET_WEIGHTS.lommebok,
      );
      results.push({
        shape,
        ranks,
        never,
        rebuild,
        memberTopUp: {
          ...member,
          p99SkewToRebuild: member.p99SkewMs / rebuild.p99SkewMs,
          movesToRebuild: member.moves / rebuild.moves,
        },
        lommebok: {
          ...lommebok,
          p99SkewToNever: lommebok.p99SkewMs / never.p99SkewMs,
          movesToRebuild: lommebok.moves / rebuild.moves,
        },
      });
    }
  }
  return results;
}

export const benchmark: Benchmark = {
  name: 'placement',
  description: 'expert placement on drifting demand',
  run,
};
