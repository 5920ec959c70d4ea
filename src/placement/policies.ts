/**
 * Placement policies. `GreedyImprovement` is the one that the planner runs;
 * `NeverMove` and `Rebuild` are baselines for comparison.
 */
import * as load from './load';
import * as types from './types';

export class NeverMove extends types.PlacementPolicy {
  plan(): null {
    return null;
  }
}

/** Places every expert from scratch, each on the least loaded rank. */
export class Rebuild extends types.PlacementPolicy {
  plan(
    input: types.PolicyInput,
    weights: types.PlacementWeights,
  ): types.Plan | null {
    const {map, demand, slowness, slotsPerLayer} = input;
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
    return buildPlan(input, weights, layers);
  }
}

/**
 * Places one layer by descending demand per copy; spare slots hold replicas.
 * Adds the placed loads to `total`.
 */
function placeLayer(
  demand: Float64Array,
  experts: number,
  slowness: readonly number[],
  slots: number,
  total: Float64Array,
): number[][] {
  const replicas = countReplicas(demand, experts, slowness.length, slots);
  const free = new Array<number>(slowness.length).fill(slots);
  const placed: number[][] = Array.from({length: experts}, () => []);
  const order = [...replicas.keys()].sort(
    (a, b) => demand[b]! / replicas[b]! - demand[a]! / replicas[a]!,
  );
  for (const expert of order) {
    const share = demand[expert]! / replicas[expert]!;
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

/** Gives spare slots to the experts with the most demand per copy. */
function countReplicas(
  demand: Float64Array,
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
        demand[expert]! / replicas[expert]! > demand[best]! / replicas[best]!;
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

/** Actions in one plan. */
const MAX_ACTIONS = 512;
/** Consecutive actions that may leave the spread unchanged. */
const MAX_ACTIONS_WITHOUT_GAIN = 24;
/** Ranks tried as partners of the most and of the least loaded rank. */
const MAX_PAIRED_RANKS = 12;
/** Milliseconds after which a search yields to the event loop. */
const MAX_SLICE_MS = 2;

/** A move, a replication or a swap of experts between two ranks. */
interface Action {
  readonly layer: number;
  readonly expert: number;
  readonly from: number;
  readonly to: number;
  /** Expert that moves from `to` to `from` in exchange; -1: none. */
  readonly swappedExpert: number;
  /** True if the expert also stays on `from`. */
  readonly isReplication: boolean;
}

/**
 * Improves the map in force greedily: applies the best swap, move or
 * replication between a heavily and a lightly loaded rank, as long as the skew
 * it saves over the horizon outweighs the cost of loading the experts.
 */
export class GreedyImprovement extends types.PlacementPolicy {
  plan(
    input: types.PolicyInput,
    weights: types.PlacementWeights,
  ): types.Plan | null {
    const state = new PlacementState(input, weights.msPerDemand);
    const steps = applyBestActions(state, weights);
    while (!steps.next().done) {
      // The generator applies each action itself.
    }
    return toPlan(state, input, weights);
  }

  /**
   * Same as `plan`, but yields to the event loop between slices. `onSlice` gets
   * the duration of each slice.
   */
  async planInSlices(
    input: types.PolicyInput,
    weights: types.PlacementWeights,
    onSlice: (milliseconds: number) => void = () => undefined,
  ): Promise<types.Plan | null> {
    const state = new PlacementState(input, weights.msPerDemand);
    const steps = applyBestActions(state, weights);
    let isDone = false;
    while (!isDone) {
      const startedAt = performance.now();
      while (!isDone && performance.now() - startedAt < MAX_SLICE_MS) {
        isDone = steps.next().done ?? false;
      }
      onSlice(performance.now() - startedAt);
      await new Promise(resolve => setImmediate(resolve));
    }
    return toPlan(state, input, weights);
  }
}

/**
 * Applies one action per iteration, until none is worth its cost or the spread
 * stops shrinking.
 */
function* applyBestActions(
  state: PlacementState,
  weights: types.PlacementWeights,
): Generator<void> {
  let lowest = state.spread;
  let withoutGain = 0;
  for (
    let done = 0;
    done < MAX_ACTIONS && withoutGain < MAX_ACTIONS_WITHOUT_GAIN;
    done += 1
  ) {
    const action = state.bestAction(weights);
    if (action === undefined) {
      return;
    }
    state.apply(action);
    withoutGain = state.spread < lowest ? 0 : withoutGain + 1;
    lowest = Math.min(lowest, state.spread);
    yield;
  }
}

function toPlan(
  state: PlacementState,
  input: types.PolicyInput,
  weights: types.PlacementWeights,
): types.Plan | null {
  const plan = buildPlan(input, weights, state.layers);
  return plan.moves.length === 0 ? null : plan;
}

/** An action without its ranks, which are fixed for one search. */
type Candidate = Omit<Action, 'from' | 'to'>;

/** Finds the action between two ranks with the most worth per expert loaded. */
class ActionSearch {
  best: Candidate | undefined;
  /** Demand whose transfer would level the two ranks. */
  readonly idealTransfer: number;
  private bestWorthPerLoad = 0;

  constructor(
    private readonly fromSlowness: number,
    private readonly toSlowness: number,
    private readonly gap: number,
    /** Worth of reducing the gap by one unit of load. */
    private readonly worthPerLoad: number,
    private readonly costPerExpert: number,
  ) {
    this.idealTransfer = gap / (fromSlowness + toSlowness);
  }

  /**
   * Keeps the action if it is the best so far. `removedDemand` leaves the first
   * rank, `addedDemand` comes to the second.
   */
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
      this.gap -
        removedDemand * this.fromSlowness -
        addedDemand * this.toSlowness,
    );
    const worth =
      (this.gap - gapAfter) * this.worthPerLoad -
      loadedExperts * this.costPerExpert;
    if (worth > 0 && worth / loadedExperts > this.bestWorthPerLoad) {
      this.best = {layer, expert, swappedExpert, isReplication};
      this.bestWorthPerLoad = worth / loadedExperts;
    }
  }
}

/** Index of the first element whose share is not below `wanted`. */
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

/** A map under change, and the loads of its ranks. */
class PlacementState {
  readonly layers: number[][][];
  private readonly loads: Float64Array;
  /** By layer, by rank: the experts held. */
  private readonly held: number[][][];

  constructor(
    private readonly input: types.PolicyInput,
    private readonly msPerDemand: number,
  ) {
    const {map, demand, slowness} = input;
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
   * The best action between the most and the least loaded rank; if none is
   * worth its cost, between one of these and the ranks next in order.
   */
  bestAction(weights: types.PlacementWeights): Action | undefined {
    const order = [...this.loads.keys()].sort(
      (a, b) => this.loads[b]! - this.loads[a]!,
    );
    const tried = Math.min(MAX_PAIRED_RANKS, order.length - 1);
    for (let offset = 0; offset < tried; offset += 1) {
      const to = order[order.length - 1 - offset]!;
      const best =
        this.bestBetween(order[0]!, to, weights) ??
        this.bestBetween(order[offset]!, order[order.length - 1]!, weights);
      if (best !== undefined) {
        return best;
      }
    }
    return undefined;
  }

  private bestBetween(
    fromRank: number,
    toRank: number,
    weights: types.PlacementWeights,
  ): Action | undefined {
    const search = new ActionSearch(
      this.input.slowness[fromRank]!,
      this.input.slowness[toRank]!,
      this.loads[fromRank]! - this.loads[toRank]!,
      this.msPerDemand * weights.horizonSteps * weights.skew,
      weights.move,
    );
    for (let layer = 0; layer < this.layers.length; layer += 1) {
      this.searchLayer(search, layer, fromRank, toRank);
    }
    return search.best === undefined
      ? undefined
      : {...search.best, from: fromRank, to: toRank};
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
    from: number,
    to: number,
  ): void {
    const fromExperts = this.held[layer]![from]!;
    const toExperts = this.held[layer]![to]!;
    const experts = this.layers[layer]!;
    const hasRoom = toExperts.length < this.input.slotsPerLayer;
    const redundant = this.findRedundant(layer, to);
    const evictedDemand =
      redundant === undefined ? 0 : this.demandPerCopy(layer, redundant);
    const canEvict = redundant !== undefined;
    const swapCandidates = toExperts
      .filter(expert => !fromExperts.includes(expert))
      .map(expert => ({expert, share: this.demandPerCopy(layer, expert)}))
      .sort((a, b) => a.share - b.share);
    for (const expert of fromExperts) {
      if (toExperts.includes(expert)) {
        continue;
      }
      const share = this.demandPerCopy(layer, expert);
      const copies = experts[expert]!.length;
      if (hasRoom) {
        search.consider(layer, expert, -1, false, share, share, 1);
      }
      if (hasRoom || (canEvict && redundant !== expert)) {
        const after = (share * copies) / (copies + 1);
        const added = hasRoom ? after : after - evictedDemand;
        search.consider(layer, expert, -1, true, share - after, added, 1);
      }
      const near = lowerBound(swapCandidates, share - search.idealTransfer);
      for (let at = near - 1; at <= near + 1; at += 1) {
        const candidate = swapCandidates[at];
        if (candidate !== undefined) {
          const transfer = share - candidate.share;
          search.consider(
            layer,
            expert,
            candidate.expert,
            false,
            transfer,
            transfer,
            2,
          );
        }
      }
    }
  }

  private demandPerCopy(layer: number, expert: number): number {
    const demand = this.input.demand[layer]![expert]!;
    return demand / this.layers[layer]![expert]!.length;
  }

  /** Adds an expert's load to all its ranks (sign 1) or subtracts it (-1). */
  private adjustLoads(layer: number, expert: number, sign: number): void {
    const ranks = this.layers[layer]![expert]!;
    const share = this.input.demand[layer]![expert]! / ranks.length;
    for (const rank of ranks) {
      this.loads[rank] =
        this.loads[rank]! + sign * share * this.input.slowness[rank]!;
    }
  }

  private addCopy(layer: number, expert: number, rank: number): void {
    const held = this.held[layer]![rank]!;
    if (held.length >= this.input.slotsPerLayer) {
      this.evictRedundant(layer, rank);
    }
    this.layers[layer]![expert]!.push(rank);
    held.push(expert);
  }

  /** Removes the expert with the least demand among those with other copies. */
  private evictRedundant(layer: number, rank: number): void {
    const redundant = this.findRedundant(layer, rank);
    if (redundant !== undefined) {
      this.adjustLoads(layer, redundant, -1);
      this.removeCopy(layer, redundant, rank);
      this.adjustLoads(layer, redundant, 1);
    }
  }

  private findRedundant(layer: number, rank: number): number | undefined {
    let best: number | undefined;
    for (const expert of this.held[layer]![rank]!) {
      const isRedundant = this.layers[layer]![expert]!.length > 1;
      const isLess =
        best === undefined ||
        this.demandPerCopy(layer, expert) < this.demandPerCopy(layer, best);
      if (isRedundant && isLess) {
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
  input: types.PolicyInput,
  weights: types.PlacementWeights,
  layers: number[][][],
): types.Plan {
  const {map, demand, slowness} = input;
  const before = load.rankLoads(map.layers, demand, slowness);
  const after = load.rankLoads(layers, demand, slowness);
  return {
    layers,
    moves: load.movesBetween(map.layers, layers),
    skewBeforeMs: load.spread(before) * weights.msPerDemand,
    skewAfterMs: load.spread(after) * weights.msPerDemand,
  };
}
