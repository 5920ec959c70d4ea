/**
 * Plans the next expert map of a group for its recent demand, within the limits
 * of one map change. Pure.
 */
import type {Demand, PlanLimits, Slowness} from './plan-types';
import * as setSearch from './set-search';
import * as setPlacement from './set-placement';
import type {ExpertMap} from './types';

export interface MapPlan {
  readonly map: ExpertMap;
  /** Copies of experts over all ranks and sets. */
  readonly copies: number;
  /** Copies at the rank with the most. */
  readonly maxCopiesPerRank: number;
  /** See `imbalance`. */
  readonly imbalanceBefore: number;
  readonly imbalanceAfter: number;
}

/**
 * Load of the most loaded rank divided by the mean load, averaged over sets; 1
 * is balanced. A rank's load is multiplied by its slowness.
 */
export function imbalance(
  map: ExpertMap,
  demand: Demand,
  slowness: Slowness,
): number {
  return meanOf(
    map.map((held, at) => setImbalance(held, demand[at]!, slowness)),
  );
}

/** Imbalance below which the much slower search for single copies is skipped. */
const SKIP_SEARCH_IMBALANCE = 1.3;

/**
 * Plans a map; undefined if no change is worth its copies. Placing whole sets
 * anew is fast and works well if a change may make many copies. Under tighter
 * limits, copies are also chosen greedily one by one, and the better plan wins.
 */
export function planMap(
  map: ExpertMap,
  demand: Demand,
  slowness: Slowness,
  limits: PlanLimits,
): MapPlan | undefined {
  const input: PlanInput = {map, demand, slowness, limits};
  const netGain = (plan: MapPlan) =>
    plan.imbalanceBefore -
    plan.imbalanceAfter -
    (plan.copies * limits.minRelief) / map.length;
  const better = (a: MapPlan | undefined, b: MapPlan | undefined) =>
    a === undefined || (b !== undefined && netGain(b) > netGain(a)) ? b : a;
  const placed = planByPlacement(input);
  const best =
    placed !== undefined && placed.imbalanceAfter < SKIP_SEARCH_IMBALANCE
      ? placed
      : better(planByCopies(input), placed);
  return best !== undefined && netGain(best) > 0 ? best : undefined;
}

interface PlanInput {
  readonly map: ExpertMap;
  readonly demand: Demand;
  readonly slowness: Slowness;
  readonly limits: PlanLimits;
}

/** Repeatedly applies the move with the greatest relief in any set. */
function planByCopies(input: PlanInput): MapPlan | undefined {
  const {map, demand, slowness, limits} = input;
  const searches = map.map(
    (held, at) => new setSearch.SetSearch(held, demand[at]!, slowness),
  );
  const imbalanceBefore = meanOf(searches.map(search => search.imbalance));
  const copied = new Array<number>(map[0]?.length ?? 0).fill(0);
  const best: (setSearch.Move | undefined)[] = searches.map(() => undefined);
  const isStale = searches.map(() => true);
  let copies = 0;
  for (;;) {
    searches.forEach((search, at) => {
      if (isStale[at] || !isWithinLimits(best[at], copied, limits)) {
        best[at] = search.bestMove(limits, copied);
        isStale[at] = false;
      }
    });
    const at = indexOfBest(best);
    const move = at < 0 ? undefined : best[at];
    if (move === undefined || move.relief < limits.minRelief) {
      break;
    }
    searches[at]!.apply(move);
    isStale[at] = true;
    move.copiesTo.forEach(rank => {
      copied[rank]! += 1;
      copies += 1;
    });
  }
  if (copies === 0) {
    return undefined;
  }
  return {
    map: searches.map(search => search.sorted),
    copies,
    maxCopiesPerRank: Math.max(...copied),
    imbalanceBefore,
    imbalanceAfter: meanOf(searches.map(search => search.imbalance)),
  };
}

/** Places whole sets anew, the least balanced first. */
function planByPlacement(input: PlanInput): MapPlan | undefined {
  const {map, demand, slowness, limits} = input;
  const imbalances = map.map((held, at) =>
    setImbalance(held, demand[at]!, slowness),
  );
  const order = [...map.keys()].sort((a, b) => imbalances[b]! - imbalances[a]!);
  const copied = new Array<number>(map[0]?.length ?? 0).fill(0);
  const placed: (readonly (readonly number[])[])[] = [...map];
  const after = [...imbalances];
  for (const at of order) {
    const held = map[at]!;
    const maxNew = copied.map(count =>
      Math.min(limits.spare, limits.copiesPerRank - count),
    );
    const newHeld = setPlacement.placeExperts({
      held,
      demand: demand[at]!,
      slowness,
      places: limits.places,
      maxNew,
    });
    if (newHeld === undefined) {
      continue;
    }
    const newCounts = newHeld.map((experts, rank) =>
      countNew(experts, held[rank]!),
    );
    const total = newCounts.reduce((sum, count) => sum + count, 0);
    const newImbalance = setImbalance(newHeld, demand[at]!, slowness);
    if (imbalances[at]! - newImbalance > total * limits.minRelief) {
      placed[at] = newHeld.map(setSearch.sortedExperts);
      after[at] = newImbalance;
      newCounts.forEach((count, rank) => (copied[rank]! += count));
    }
  }
  const copies = copied.reduce((sum, count) => sum + count, 0);
  return copies === 0
    ? undefined
    : {
        map: placed,
        copies,
        maxCopiesPerRank: Math.max(...copied),
        imbalanceBefore: meanOf(imbalances),
        imbalanceAfter: meanOf(after),
      };
}

function countNew(experts: readonly number[], held: readonly number[]): number {
  return experts.filter(expert => !held.includes(expert)).length;
}

function setImbalance(
  held: readonly (readonly number[])[],
  demand: Float64Array,
  slowness: Slowness,
): number {
  const holders = new Int32Array(demand.length);
  held.forEach(experts => experts.forEach(one => (holders[one]! += 1)));
  let maxLoad = 0;
  held.forEach((experts, rank) => {
    const load = experts.reduce(
      (sum, one) => sum + demand[one]! / holders[one]!,
      0,
    );
    maxLoad = Math.max(maxLoad, load * slowness[rank]!);
  });
  const total = demand.reduce((sum, one) => sum + one, 0);
  return maxLoad / (total / held.length || 1);
}

function isWithinLimits(
  move: setSearch.Move | undefined,
  copied: readonly number[],
  limits: PlanLimits,
): boolean {
  return (
    move === undefined ||
    move.copiesTo.every(rank => copied[rank]! < limits.copiesPerRank)
  );
}

function indexOfBest(moves: readonly (setSearch.Move | undefined)[]): number {
  let best = -1;
  moves.forEach((move, at) => {
    if (move !== undefined && move.relief > (moves[best]?.relief ?? 0)) {
      best = at;
    }
  });
  return best;
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
