/**
 * Planning of expert maps on drifting demand, for groups of 12 to 129 ranks:
 * imbalance before and after the changes, copies made, and time to plan.
 */
import * as packing from '../src/experts/packing';
import * as plans from '../src/experts/plan';
import type {Demand} from '../src/experts/plan-types';
import * as random from '../src/random';
import * as stats from './stats';
import type {Benchmark} from './main';

/** Size, limits and demand of a group. */
interface GroupProfile {
  readonly ranks: number;
  readonly experts: number;
  readonly sets: number;
  readonly places: number;
  readonly spare: number;
  /** Maximum number of copies that a rank makes in one change. */
  readonly copiesPerRank: number;
  /** Exponent of the power law of demand over experts. */
  readonly skew: number;
}

const GROUPS: readonly GroupProfile[] = [
  makeGroup(12, 72, 4, 8, 3, 1, 1.3),
  makeGroup(24, 96, 16, 5, 2, 5, 0.92),
  makeGroup(63, 252, 8, 5, 2, 7, 0.66),
  makeGroup(129, 258, 16, 3, 2, 15, 0.45),
];
const DRIFTS = 8;
/** Probability that a drift changes an expert's demand. */
const DRIFT_SHARE = 0.6;
const MAX_CHANGES = 6;
/** Minimum gain of a change and relief of a copy, as in the planner. */
const MIN_GAIN = 0.12;
const MIN_RELIEF = 0.36;

function makeGroup(
  ranks: number,
  experts: number,
  sets: number,
  places: number,
  spare: number,
  copiesPerRank: number,
  skew: number,
): GroupProfile {
  return {ranks, experts, sets, places, spare, copiesPerRank, skew};
}

function drawSkewedDemand({experts, skew}: GroupProfile): Float64Array {
  const order = random.sample([...Array(experts).keys()], experts);
  const demand = new Float64Array(experts);
  order.forEach((expert, index) => (demand[expert] = (index + 1) ** -skew));
  return demand;
}

function driftDemand(demand: Float64Array): Float64Array {
  const moved = [...demand.keys()].filter(() => random.uniform() < DRIFT_SHARE);
  const shuffled = random.sample(moved, moved.length);
  const next = Float64Array.from(demand);
  moved.forEach((expert, index) => (next[expert] = demand[shuffled[index]!]!));
  return next;
}

interface DriftResult {
  readonly before: number;
  readonly afterFirst: number;
  readonly afterAll: number;
  readonly copies: number;
  readonly planMs: readonly number[];
  readonly map: plans.MapPlan['map'];
}

function followDrift(
  group: GroupProfile,
  from: plans.MapPlan['map'],
  demand: Demand,
): DriftResult {
  const even = new Array<number>(group.ranks).fill(1);
  const limits = {...group, minRelief: MIN_RELIEF / group.ranks};
  const before = plans.imbalance(from, demand, even);
  const after: number[] = [];
  const planMs: number[] = [];
  let copies = 0;
  let map = from;
  while (after.length < MAX_CHANGES) {
    const startedAt = performance.now();
    const plan = plans.planMap(map, demand, even, limits);
    planMs.push(performance.now() - startedAt);
    if (
      plan === undefined ||
      plan.imbalanceBefore - plan.imbalanceAfter < MIN_GAIN
    ) {
      break;
    }
    ({map} = plan);
    copies += plan.copies;
    after.push(plan.imbalanceAfter);
  }
  const [afterFirst = before] = after;
  const afterAll = after[after.length - 1] ?? before;
  return {before, afterFirst, afterAll, copies, planMs, map};
}

function runGroup(group: GroupProfile): object {
  let map: plans.MapPlan['map'] = packing.initialMap(group);
  let demand = Array.from({length: group.sets}, () => drawSkewedDemand(group));
  const results: DriftResult[] = [];
  for (let drift = 0; drift < DRIFTS; drift += 1) {
    const result = followDrift(group, map, demand);
    results.push(result);
    ({map} = result);
    demand = demand.map(driftDemand);
  }
  const meanOf = (value: (result: DriftResult) => number) =>
    Number(stats.mean(results.slice(1).map(value)).toFixed(2));
  return {
    ranks: group.ranks,
    before: meanOf(result => result.before),
    afterFirstChange: meanOf(result => result.afterFirst),
    afterAllChanges: meanOf(result => result.afterAll),
    copiesADrift: meanOf(result => result.copies),
    medianPlanMs: meanOf(result => stats.quantile(result.planMs, 0.5)),
  };
}

export const benchmark: Benchmark = {
  name: 'planning',
  description: 'planning of expert maps on drifting demand',
  run: async () => GROUPS.map(runGroup),
};
