/**
 * Expert placement on drifting demand: ours beside never moving and
 * rebuilding each period, for both fleets' weights, on the same demand.
 */
import * as load from '../src/placement/load';
import * as policies from '../src/placement/policies';
import type {
  Demand,
  Plan,
  PlacementPolicy,
  Situation,
  Weights,
} from '../src/placement/types';
import * as random from '../src/random';
import * as stats from './stats';
import type {Bench} from './main';

const LAYERS = 8;
const EXPERTS = 128;
const PERIODS = 96;
/** Periods before any policy has seen enough to act on. */
const WARM_UP_PERIODS = 8;
const SAMPLED_STEPS = 20;
const STEP_TOKENS = 2_048;
const BASE_STEP_MS = 4.5;
/** Time of the whole batch's expert work, were it spread evenly. */
const EXPERT_MS = 3;
const PERIOD_STEPS = 4_000;
const SLOW_RANK = 1;
const SLOW_FACTOR = 1.3;
/** An expert's weights, and the rate at which the store gives them. */
const EXPERT_MEGABYTES = 44;
const STORE_MEGABYTES_PER_STEP = 2;

/** Demand by period. */
type Shape = 'disputes' | 'carriers';

const FLEETS = {
  /** Weighs skew more. */
  memberTopUp: {skew: 1, move: 25},
  /** Weighs moves more. */
  lommebok: {skew: 1, move: 150},
} as const;

/** Experts' popularity: a skewed base, and topics that come and go. */
class DriftingDemand {
  private readonly base: Float64Array[] = [];
  private readonly topics: number[][][] = [];

  constructor(private readonly shape: Shape) {
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

  at(period: number): Demand {
    return this.base.map((base, layer) => {
      const demand = Float64Array.from(base);
      this.topics[layer]!.forEach((experts, topic) => {
        const heat = this.heat(topic, period);
        experts.forEach(expert => {
          demand[expert] = demand[expert]! + heat;
        });
      });
      return demand;
    });
  }

  private heat(topic: number, period: number): number {
    const DAY = 48;
    if (this.shape === 'disputes') {
      const phase = (period / DAY + topic / 4) * 2 * Math.PI;
      return 3 * Math.max(0, Math.sin(phase));
    }
    const BURST = 6;
    const isOn = Math.floor(period / BURST + topic * 1.7) % 5 === 0;
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
  /** Longest time the loop was held at a stretch, in 99 of 100. */
  readonly p99HeldMs: number;
}

/** Plans, and notes how long the loop was held without a break. */
async function planTimed(
  policy: PlacementPolicy,
  situation: Situation,
  heldMs: number[],
  weights: Weights,
): Promise<Plan | null> {
  if (policy instanceof policies.GainOverCost) {
    return policy.planInSlices(situation, weights, ms => heldMs.push(ms));
  }
  const begunAt = performance.now();
  const plan = policy.plan(situation, weights);
  heldMs.push(performance.now() - begunAt);
  return plan;
}

async function runPolicy(
  policy: PlacementPolicy,
  weights: Pick<Weights, 'skew' | 'move'>,
  shape: Shape,
  ranks: number,
  seed: number,
): Promise<Outcome> {
  random.seed(seed);
  const drifting = new DriftingDemand(shape);
  const slowness = new Array<number>(ranks).fill(1);
  slowness[SLOW_RANK] = SLOW_FACTOR;
  const slotsPerLayer = Math.ceil(EXPERTS / ranks) + 1;
  let layers = load.firstLayers(LAYERS, EXPERTS, ranks);
  const skews: number[] = [];
  const steps: number[] = [];
  const planMs: number[] = [];
  let moves = 0;
  let changes = 0;
  let seen: Demand | undefined;
  for (let period = 0; period < PERIODS; period += 1) {
    const demand = drifting.at(period);
    if (seen !== undefined) {
      const situation: Situation = {
        map: {version: period, layers},
        demand: seen,
        slowness,
        slotsPerLayer,
      };
      const plan = await planTimed(policy, situation, planMs, {
        ...weights,
        horizonSteps: PERIOD_STEPS,
        msPerDemand: msPerDemand(seen, ranks),
      });
      if (plan !== null && plan.moves.length > 0) {
        layers = plan.layers;
        moves += plan.moves.length;
        changes += 1;
      }
    }
    const isCounted = period >= WARM_UP_PERIODS;
    for (let step = 0; isCounted && step < SAMPLED_STEPS; step += 1) {
      const drawn = sampleStep(demand);
      const loads = load.rankLoads(layers, drawn, slowness);
      const scale = msPerDemand(drawn, ranks);
      skews.push(load.spread(loads) * scale);
      steps.push(BASE_STEP_MS + Math.max(...loads) * scale);
    }
    // The planner sees what has been, with the noise of its sample.
    seen = sampleStep(demand, 64);
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
    p99HeldMs: stats.quantile(planMs, 0.99),
  };
}

function msPerDemand(demand: Demand, ranks: number): number {
  const total = demand.reduce(
    (sum, layer) => sum + layer.reduce((a, b) => a + b, 0),
    0,
  );
  return (EXPERT_MS * ranks) / total;
}

/** The tokens of some steps, drawn by demand with their noise. */
function sampleStep(demand: Demand, stepCount = 1): Demand {
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
      const one = (
        policy: PlacementPolicy,
        weights: {skew: number; move: number},
      ) => runPolicy(policy, weights, shape, ranks, seed);
      const never = await one(new policies.NeverMove(), FLEETS.memberTopUp);
      const rebuild = await one(new policies.Rebuild(), FLEETS.memberTopUp);
      const member = await one(new policies.GainOverCost(), FLEETS.memberTopUp);
      const lommebok = await one(new policies.GainOverCost(), FLEETS.lommebok);
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

export const bench: Bench = {
  name: 'placement',
  text: 'expert placement on drifting demand',
  run,
};
