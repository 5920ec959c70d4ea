/** The ways to place experts: ours, and the plain ones to beat. */
import * as load from './load';
import * as types from './types';

/** Never moves an expert. */
export class NeverMove extends types.PlacementPolicy {
  plan(): null {
    return null;
  }
}

/** Places all experts anew, most wanted first, on the least loaded rank. */
export class Rebuild extends types.PlacementPolicy {
  plan(
    situation: types.PlacementInput,
    weights: types.PlacementWeights,
  ): types.Plan | null {
    const {map, demand, slowness, slotsPerLayer} = situation;
    const total = new Float64Array(slowness.length);
    const layers = map.layers.map((experts, layer) =>
      placeLayer(
        demand[layer]!,
        experts.length,
        slowness,
        slotsPerLayer,
        total,
      ),
    );
    return buildPlan(situation, weights, layers);
  }
}

/** Fills a layer, longest first, with replicas while there is room. */
function placeLayer(
  asked: Float64Array,
  experts: number,
  slowness: readonly number[],
  slots: number,
  total: Float64Array,
): number[][] {
  const replicas = countReplicas(asked, experts, slowness.length, slots);
  const free = new Array<number>(slowness.length).fill(slots);
  const placed: number[][] = Array.from({length: experts}, () => []);
  const order = [...replicas.keys()].sort(
    (a, b) => asked[b]! / replicas[b]! - asked[a]! / replicas[a]!,
  );
  for (const expert of order) {
    const share = asked[expert]! / replicas[expert]!;
    for (let copy = 0; copy < replicas[expert]!; copy += 1) {
      const rank = leastLoaded(total, free, placed[expert]!);
      if (rank === undefined) {
        continue;
      }
      placed[expert]!.push(rank);
      free[rank] = free[rank]! - 1;
      total[rank] = total[rank]! + share * slowness[rank]!;
    }
  }
  return placed;
}

/** Spare slots go to the experts with the most demand per copy. */
function countReplicas(
  asked: Float64Array,
  experts: number,
  ranks: number,
  slots: number,
): number[] {
  const replicas = new Array<number>(experts).fill(1);
  for (let spare = ranks * slots - experts; spare > 0; spare -= 1) {
    let best = -1;
    for (let expert = 0; expert < experts; expert += 1) {
      const isBetter =
        best < 0 ||
        asked[expert]! / replicas[expert]! > asked[best]! / replicas[best]!;
      if (replicas[expert]! < ranks && isBetter) {
        best = expert;
      }
    }
    if (best < 0) {
      break;
    }
    replicas[best] = replicas[best]! + 1;
  }
  return replicas;
}

function leastLoaded(
  total: Float64Array,
  free: readonly number[],
  taken: readonly number[],
): number | undefined {
  let best: number | undefined;
  for (let rank = 0; rank < total.length; rank += 1) {
    const isOpen = free[rank]! > 0 && !taken.includes(rank);
    if (isOpen && (best === undefined || total[rank]! < total[best]!)) {
      best = rank;
    }
  }
  return best;
}

/** Steps of a search that no plan exceeds. */
const MAX_ACTIONS = 512;

/** Actions in a row that may leave the spread as it is. */
const MAX_ACTIONS_WITHOUT_GAIN = 24;
/** Ranks next to the slowest and the fastest that are tried. */
const MAX_PAIRED_RANKS = 12;
/** Longest time that the one loop is held by a search. */
const MAX_SLICE_MS = 2;

/** A change of one expert's, or two experts', places. */
interface Action {
  readonly layer: number;
  readonly expert: number;
  readonly from: number;
  readonly to: number;
  /** The expert that goes the other way; -1: none. */
  readonly swappedExpert: number;
  /** True: the expert stays on `from` too. */
  readonly isReplication: boolean;
}

/**
 * Changes the map in force by the moves that are worth their price: from
 * the slowest rank to the fastest, the best swap, move or replica at a time,
 * as long as the skew it saves over the horizon outweighs what it loads.
 */
export class GreedyImprovement extends types.PlacementPolicy {
  plan(
    situation: types.PlacementInput,
    weights: types.PlacementWeights,
  ): types.Plan | null {
    const board = new PlacementState(situation, weights.msPerDemand);
    const search = applyBestActions(board, weights);
    while (!search.next().done) {
      // Every action is applied as it is found.
    }
    return toPlan(board, situation, weights);
  }

  /** As `plan`, but gives the loop back to others every few milliseconds. */
  async planInSlices(
    situation: types.PlacementInput,
    weights: types.PlacementWeights,
    onSlice: (milliseconds: number) => void = () => undefined,
  ): Promise<types.Plan | null> {
    const board = new PlacementState(situation, weights.msPerDemand);
    const search = applyBestActions(board, weights);
    let isDone = false;
    while (!isDone) {
      const begunAt = performance.now();
      while (!isDone && performance.now() - begunAt < MAX_SLICE_MS) {
        isDone = search.next().done ?? false;
      }
      onSlice(performance.now() - begunAt);
      await new Promise(resolve => setImmediate(resolve));
    }
    return toPlan(board, situation, weights);
  }
}

/** Applies one action at a time, until none pays or the spread stays. */
function* applyBestActions(
  board: PlacementState,
  weights: types.PlacementWeights,
): Generator<void> {
  let lowest = board.spread;
  let idle = 0;
  for (
    let done = 0;
    done < MAX_ACTIONS && idle < MAX_ACTIONS_WITHOUT_GAIN;
    done += 1
  ) {
    const action = board.bestAction(weights);
    if (action === undefined) {
      return;
    }
    board.apply(action);
    idle = board.spread < lowest ? 0 : idle + 1;
    lowest = Math.min(lowest, board.spread);
    yield;
  }
}

function toPlan(
  board: PlacementState,
  situation: types.PlacementInput,
  weights: types.PlacementWeights,
): types.Plan | null {
  const plan = buildPlan(situation, weights, board.layers);
  return plan.moves.length === 0 ? null : plan;
}

/** What is left of an action before its ranks are known. */
type Candidate = Omit<Action, 'from' | 'to'>;

/** Keeps the best action of one search. */
class ActionSearch {
  best: Candidate | undefined;
  /** Demand that should go from the slowest rank to the fastest. */
  readonly idealTransfer: number;
  private bestWorthPerLoad = 0;

  constructor(
    private readonly slowFrom: number,
    private readonly slowTo: number,
    private readonly gap: number,
    /** Worth of one unit of load saved. */
    private readonly unitWorth: number,
    private readonly price: number,
  ) {
    this.idealTransfer = gap / (slowFrom + slowTo);
  }

  /** Rates an action by what leaves one rank and what the other gets. */
  consider(
    layer: number,
    expert: number,
    swappedExpert: number,
    isReplication: boolean,
    removedDemand: number,
    addedDemand: number,
    loadedExperts: number,
  ): void {
    const gapAfter = Math.abs(
      this.gap - removedDemand * this.slowFrom - addedDemand * this.slowTo,
    );
    const worth =
      (this.gap - gapAfter) * this.unitWorth - loadedExperts * this.price;
    if (worth > 0 && worth / loadedExperts > this.bestWorthPerLoad) {
      this.best = {layer, expert, swappedExpert, isReplication};
      this.bestWorthPerLoad = worth / loadedExperts;
    }
  }
}

/** Index of the first share that is not below the wanted one. */
function lowerBound(
  sorted: readonly {readonly share: number}[],
  wanted: number,
): number {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (sorted[middle]!.share < wanted) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}

/** A map under change, with the loads that follow from it. */
class PlacementState {
  readonly layers: number[][][];
  private readonly loads: Float64Array;
  /** By layer, by rank: the experts held. */
  private readonly held: number[][][];

  constructor(
    private readonly situation: types.PlacementInput,
    private readonly msPerDemand: number,
  ) {
    const {map, demand, slowness} = situation;
    this.layers = map.layers.map(layer => layer.map(ranks => [...ranks]));
    this.loads = load.rankLoads(this.layers, demand, slowness);
    this.held = this.layers.map(experts => {
      const byRank: number[][] = slowness.map(() => []);
      experts.forEach((ranks, expert) =>
        ranks.forEach(rank => byRank[rank]!.push(expert)),
      );
      return byRank;
    });
  }

  /** Highest load minus lowest. */
  get spread(): number {
    return load.spread(this.loads);
  }

  /**
   * The action with the best worth between the slowest rank and the fastest;
   * where none pays, between one of these and the next ones.
   */
  bestAction(weights: types.PlacementWeights): Action | undefined {
    const order = [...this.loads.keys()].sort(
      (a, b) => this.loads[b]! - this.loads[a]!,
    );
    const reach = Math.min(MAX_PAIRED_RANKS, order.length - 1);
    for (let off = 0; off < reach; off += 1) {
      const cold = order[order.length - 1 - off]!;
      const best =
        this.bestBetween(order[0]!, cold, weights) ??
        this.bestBetween(order[off]!, order[order.length - 1]!, weights);
      if (best !== undefined) {
        return best;
      }
    }
    return undefined;
  }

  private bestBetween(
    hot: number,
    cold: number,
    weights: types.PlacementWeights,
  ): Action | undefined {
    const search = new ActionSearch(
      this.situation.slowness[hot]!,
      this.situation.slowness[cold]!,
      this.loads[hot]! - this.loads[cold]!,
      this.msPerDemand * weights.horizonSteps * weights.skew,
      weights.move,
    );
    for (let layer = 0; layer < this.layers.length; layer += 1) {
      this.searchLayer(search, layer, hot, cold);
    }
    return search.best === undefined
      ? undefined
      : {...search.best, from: hot, to: cold};
  }

  apply(action: Action): void {
    const {layer, expert, from, to, swappedExpert, isReplication} = action;
    this.adjustLoads(layer, expert, -1);
    if (!isReplication) {
      this.removeCopy(layer, expert, from);
    }
    this.addCopy(layer, expert, to);
    this.adjustLoads(layer, expert, 1);
    if (swappedExpert >= 0) {
      this.adjustLoads(layer, swappedExpert, -1);
      this.removeCopy(layer, swappedExpert, to);
      this.addCopy(layer, swappedExpert, from);
      this.adjustLoads(layer, swappedExpert, 1);
    }
  }

  private searchLayer(
    search: ActionSearch,
    layer: number,
    hot: number,
    cold: number,
  ): void {
    const ours = this.held[layer]![hot]!;
    const theirs = this.held[layer]![cold]!;
    const experts = this.layers[layer]!;
    const hasRoom = theirs.length < this.situation.slotsPerLayer;
    const spare = this.findRedundant(layer, cold);
    const evicted = spare === undefined ? 0 : this.demandPerCopy(layer, spare);
    const canEvict = spare !== undefined;
    const backs = theirs
      .filter(expert => !ours.includes(expert))
      .map(expert => ({expert, share: this.demandPerCopy(layer, expert)}))
      .sort((a, b) => a.share - b.share);
    for (const expert of ours) {
      if (theirs.includes(expert)) {
        continue;
      }
      const share = this.demandPerCopy(layer, expert);
      const copies = experts[expert]!.length;
      if (hasRoom) {
        search.consider(layer, expert, -1, false, share, share, 1);
      }
      if (hasRoom || (canEvict && spare !== expert)) {
        const after = (share * copies) / (copies + 1);
        const more = hasRoom ? after : after - evicted;
        search.consider(layer, expert, -1, true, share - after, more, 1);
      }
      const near = lowerBound(backs, share - search.idealTransfer);
      for (let at = near - 1; at <= near + 1; at += 1) {
        const back = backs[at];
        if (back !== undefined) {
          const less = share - back.share;
          search.consider(layer, expert, back.expert, false, less, less, 2);
        }
      }
    }
  }

  private demandPerCopy(layer: number, expert: number): number {
    const asked = this.situation.demand[layer]![expert]!;
    return asked / this.layers[layer]![expert]!.length;
  }

  /** Adds an expert's share to, or takes it from, all its ranks. */
  private adjustLoads(layer: number, expert: number, sign: number): void {
    const ranks = this.layers[layer]![expert]!;
    const share = this.situation.demand[layer]![expert]! / ranks.length;
    for (const rank of ranks) {
      this.loads[rank] =
        this.loads[rank]! + sign * share * this.situation.slowness[rank]!;
    }
  }

  private addCopy(layer: number, expert: number, rank: number): void {
    const held = this.held[layer]![rank]!;
    if (held.length >= this.situation.slotsPerLayer) {
      this.evictRedundant(layer, rank);
    }
    this.layers[layer]![expert]!.push(rank);
    held.push(expert);
  }

  /** Drops the least wanted expert that has other copies. */
  private evictRedundant(layer: number, rank: number): void {
    const spare = this.findRedundant(layer, rank);
    if (spare !== undefined) {
      this.adjustLoads(layer, spare, -1);
      this.removeCopy(layer, spare, rank);
      this.adjustLoads(layer, spare, 1);
    }
  }

  private findRedundant(layer: number, rank: number): number | undefined {
    let best: number | undefined;
    for (const expert of this.held[layer]![rank]!) {
      const isSpare = this.layers[layer]![expert]!.length > 1;
      const isLess =
        best === undefined ||
        this.demandPerCopy(layer, expert) < this.demandPerCopy(layer, best);
      if (isSpare && isLess) {
        best = expert;
      }
    }
    return best;
  }

  private removeCopy(layer: number, expert: number, rank: number): void {
    const ranks = this.layers[layer]![expert]!;
    ranks.splice(ranks.indexOf(rank), 1);
    const held = this.held[layer]![rank]!;
    held.splice(held.indexOf(expert), 1);
  }
}

function buildPlan(
  situation: types.PlacementInput,
  weights: types.PlacementWeights,
  layers: number[][][],
): types.Plan {
  const {map, demand, slowness} = situation;
  const before = load.rankLoads(map.layers, demand, slowness);
  const after = load.rankLoads(layers, demand, slowness);
  return {
    layers,
    moves: load.movesBetween(map.layers, layers),
    skewBeforeMs: load.spread(before) * weights.msPerDemand,
    skewAfterMs: load.spread(after) * weights.msPerDemand,
  };
}
