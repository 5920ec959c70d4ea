/**
 * Expert maps of the users' sites, planned on demand that drifts: how even the
 * ranks are after each change, with how many copies, and how long it takes to
 * plan. Groups of 12 to 129 ranks, with the places and skew that go with them.
 *
 * Before sets were packed and a copy's relief was held against the size of its
 * group, a row of changes left 12, 24, 63 and 129 ranks at an imbalance of
 * 1.26, 1.35, 1.50 and 1.71 with 20, 108, 72 and 125 copies a drift; since then
 * at 1.29, 1.32, 1.19 and 1.19 with 19, 118, 219 and 829. A plan for 129 ranks
 * takes 15 ms of a core, 20 before.
 */
import * as packing from '../src/experts/packing';
import * as plans from '../src/experts/plan';
import type {Demand} from '../src/experts/plan-types';
import * as random from '../src/random';
import * as stats from './stats';
import type {Bench} from './main';

/** A group as a site has it. */
interface Site {
  readonly ranks: number;
  readonly experts: number;
  readonly sets: number;
  readonly places: number;
  readonly spare: number;
  /** Copies that a rank makes in the time of one change. */
  readonly copiesPerRank: number;
  /** Exponent of the demand for experts by their place. */
  readonly skew: number;
}

const SITES: readonly Site[] = [
  site(12, 72, 4, 8, 3, 1, 1.3),
  site(24, 96, 16, 5, 2, 5, 0.92),
  site(63, 252, 8, 5, 2, 7, 0.66),
  site(129, 258, 16, 3, 2, 15, 0.45),
];
const DRIFTS = 8;
/** Part of the experts that change their place in a drift. */
const DRIFT_SHARE = 0.6;
const MOST_CHANGES = 6;
/** Least gain of a change, and relief of a copy, as the planner has them. */
const MIN_GAIN = 0.12;
const MIN_RELIEF = 0.36;

function site(
  ranks: number,
  experts: number,
  sets: number,
  places: number,
  spare: number,
  copiesPerRank: number,
  skew: number,
): Site {
  return {ranks, experts, sets, places, spare, copiesPerRank, skew};
}

function skewed({experts, skew}: Site): Float64Array {
  const order = random.sample([...Array(experts).keys()], experts);
  const demand = new Float64Array(experts);
  order.forEach((expert, at) => (demand[expert] = (at + 1) ** -skew));
  return demand;
}

function drifted(demand: Float64Array): Float64Array {
  const moved = [...demand.keys()].filter(() => random.uniform() < DRIFT_SHARE);
  const shuffled = random.sample(moved, moved.length);
  const next = Float64Array.from(demand);
  moved.forEach((expert, at) => (next[expert] = demand[shuffled[at]!]!));
  return next;
}

interface DriftEnd {
  readonly before: number;
  readonly afterFirst: number;
  readonly afterAll: number;
  readonly copies: number;
  readonly planMs: readonly number[];
  readonly map: plans.MapPlan['map'];
}

function followDrift(
  one: Site,
  from: plans.MapPlan['map'],
  demand: Demand,
): DriftEnd {
  const even = new Array<number>(one.ranks).fill(1);
  const limits = {...one, minRelief: MIN_RELIEF / one.ranks};
  const before = plans.imbalance(from, demand, even);
  const after: number[] = [];
  const planMs: number[] = [];
  let copies = 0;
  let map = from;
  while (after.length < MOST_CHANGES) {
    const begunAt = performance.now();
    const plan = plans.planMap(map, demand, even, limits);
    planMs.push(performance.now() - begunAt);
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

function runSite(one: Site): object {
  let map: plans.MapPlan['map'] = packing.initialMap(one);
  let demand = Array.from({length: one.sets}, () => skewed(one));
  const ends: DriftEnd[] = [];
  for (let drift = 0; drift < DRIFTS; drift += 1) {
    const end = followDrift(one, map, demand);
    ends.push(end);
    ({map} = end);
    demand = demand.map(drifted);
  }
  const meanOf = (value: (end: DriftEnd) => number) =>
    Number(stats.mean(ends.slice(1).map(value)).toFixed(2));
  return {
    ranks: one.ranks,
    before: meanOf(end => end.before),
    afterFirstChange: meanOf(end => end.afterFirst),
    afterAllChanges: meanOf(end => end.afterAll),
    copiesADrift: meanOf(end => end.copies),
    medianPlanMs: meanOf(end => stats.quantile(end.planMs, 0.5)),
  };
}

/** Plans for each group over a row of drifts. */
export const bench: Bench = {
  name: 'planning',
  text: 'expert maps of 12 to 129 ranks on demand that drifts',
  run: async () => SITES.map(runSite),
};
