/**
 * Planning an expert map for the demand of the moment, under what one change
 * may bring to a rank. Pure.
 */
import type {Demand, PlanLimits, Slowness} from './plan-types';
import * as setBoard from './set-search';
import * as setPacking from './set-placement';
import type {ExpertMap} from './types';

export interface MapPlan {
  readonly map: ExpertMap;
  /** Experts that ranks have to copy. */
  readonly copies: number;
  /** Of them, at the rank with the most. */
  readonly maxCopiesPerRank: number;
  /** Most loaded rank over the mean, averaged over sets. */
  readonly imbalanceBefore: number;
  readonly imbalanceAfter: number;
}

/**
 * Most loaded rank over the mean, averaged over sets; 1 is even. A slow rank
 * counts as if it had more load, by its slowness.
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

/**
 * Where packing leaves ranks as even as this, single copies are not searched
 * for, which takes many times as long.
 */
const SKIP_SEARCH_IMBALANCE = 1.3;

/**
 * Plans a map; undefined where no change is worth its copies. Whole sets are
 * packed, which is quick and gets far where a change may bring much. Where it
 * may bring little, copies are chosen one by one, each the one that relieves
 * most, and the better plan of the two counts.
 */
export function planMap(
  map: ExpertMap,
  demand: Demand,
  slowness: Slowness,
  limits: PlanLimits,
): MapPlan | undefined {
  const task: PlanInput = {map, demand, slowness, limits};
  const worth = (plan: MapPlan) =>
    plan.imbalanceBefore -
    plan.imbalanceAfter -
    (plan.copies * limits.minRelief) / map.length;
  const better = (a: MapPlan | undefined, b: MapPlan | undefined) =>
    a === undefined || (b !== undefined && worth(b) > worth(a)) ? b : a;
  const packed = planByPlacement(task);
  const best =
    packed !== undefined && packed.imbalanceAfter < SKIP_SEARCH_IMBALANCE
      ? packed
      : better(planByCopies(task), packed);
  return best !== undefined && worth(best) > 0 ? best : undefined;
}

/** What a plan starts from. */
interface PlanInput {
  readonly map: ExpertMap;
  readonly demand: Demand;
  readonly slowness: Slowness;
  readonly limits: PlanLimits;
}

function planByCopies(task: PlanInput): MapPlan | undefined {
  const {map, demand, slowness, limits} = task;
  const boards = map.map(
    (held, at) => new setBoard.SetSearch(held, demand[at]!, slowness),
  );
  const before = meanOf(boards.map(board => board.imbalance));
  const copied = new Array<number>(map[0]?.length ?? 0).fill(0);
  const best: (setBoard.Move | undefined)[] = boards.map(() => undefined);
  const isStale = boards.map(() => true);
  let copies = 0;
  for (;;) {
    boards.forEach((board, at) => {
      if (isStale[at] || !isWithinLimits(best[at], copied, limits)) {
        best[at] = board.bestMove(limits, copied);
        isStale[at] = false;
      }
    });
    const at = indexOfBest(best);
    const action = at < 0 ? undefined : best[at];
    if (action === undefined || action.relief < limits.minRelief) {
      break;
    }
    boards[at]!.apply(action);
    isStale[at] = true;
    action.copiesTo.forEach(rank => {
      copied[rank]! += 1;
      copies += 1;
    });
  }
  if (copies === 0) {
    return undefined;
  }
  return {
    map: boards.map(board => board.sorted),
    copies,
    maxCopiesPerRank: Math.max(...copied),
    imbalanceBefore: before,
    imbalanceAfter: meanOf(boards.map(board => board.imbalance)),
  };
}

/** Packs the sets, those with the most loaded ranks first. */
function planByPlacement(task: PlanInput): MapPlan | undefined {
  const {map, demand, slowness, limits} = task;
  const imbalances = map.map((held, at) =>
    setImbalance(held, demand[at]!, slowness),
  );
  const order = [...map.keys()].sort((a, b) => imbalances[b]! - imbalances[a]!);
  const copied = new Array<number>(map[0]?.length ?? 0).fill(0);
  const packed: (readonly (readonly number[])[])[] = [...map];
  const after = [...imbalances];
  for (const at of order) {
    const held = map[at]!;
    const room = copied.map(count =>
      Math.min(limits.spare, limits.copiesPerRank - count),
    );
    const target = setPacking.placeExperts({
      held,
      demand: demand[at]!,
      slowness,
      places: limits.places,
      maxNew: room,
    });
    if (target === undefined) {
      continue;
    }
    const brought = target.map((experts, rank) =>
      countNew(experts, held[rank]!),
    );
    const total = brought.reduce((sum, count) => sum + count, 0);
    const then = setImbalance(target, demand[at]!, slowness);
    if (imbalances[at]! - then > total * limits.minRelief) {
      packed[at] = target.map(setBoard.sortedExperts);
      after[at] = then;
      brought.forEach((count, rank) => (copied[rank]! += count));
    }
  }
  const copies = copied.reduce((sum, count) => sum + count, 0);
  return copies === 0
    ? undefined
    : {
        map: packed,
        copies,
        maxCopiesPerRank: Math.max(...copied),
        imbalanceBefore: meanOf(imbalances),
        imbalanceAfter: meanOf(after),
      };
}

function countNew(experts: readonly number[], held: readonly number[]): number {
  return experts.filter(expert => !held.includes(expert)).length;
}

/** Most loaded rank over the mean, of one set. */
function setImbalance(
  held: readonly (readonly number[])[],
  demand: Float64Array,
  slowness: Slowness,
): number {
  const holders = new Int32Array(demand.length);
  held.forEach(experts => experts.forEach(one => (holders[one]! += 1)));
  let most = 0;
  held.forEach((experts, rank) => {
    const load = experts.reduce(
      (sum, one) => sum + demand[one]! / holders[one]!,
      0,
    );
    most = Math.max(most, load * slowness[rank]!);
  });
  const total = demand.reduce((sum, asked) => sum + asked, 0);
  return most / (total / held.length || 1);
}

function isWithinLimits(
  action: setBoard.Move | undefined,
  copied: readonly number[],
  limits: PlanLimits,
): boolean {
  return (
    action === undefined ||
    action.copiesTo.every(rank => copied[rank]! < limits.copiesPerRank)
  );
}

function indexOfBest(actions: readonly (setBoard.Move | undefined)[]): number {
  let best = -1;
  actions.forEach((action, at) => {
    if (action !== undefined && action.relief > (actions[best]?.relief ?? 0)) {
      best = at;
    }
  });
  return best;
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
