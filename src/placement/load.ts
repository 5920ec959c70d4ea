/** Loads of the ranks under an expert map, and comparison of maps. */
import type {Demand, Move, PolicyInput} from './types';

/** By rank: the demand it serves times its slowness. */
export function rankLoads(
  layers: readonly (readonly (readonly number[])[])[],
  demand: Demand,
  slowness: readonly number[],
): Float64Array {
  const loads = new Float64Array(slowness.length);
  for (const [layer, experts] of layers.entries()) {
    const layerDemand = demand[layer]!;
    for (const [expert, ranks] of experts.entries()) {
      const share = layerDemand[expert]! / ranks.length;
      for (const rank of ranks) {
        loads[rank] = loads[rank]! + share * slowness[rank]!;
      }
    }
  }
  return loads;
}

/** Highest load minus lowest. */
export function spread(loads: Float64Array): number {
  return Math.max(...loads) - Math.min(...loads);
}

/** The experts that ranks must load to change from one map to another. */
export function movesBetween(
  before: readonly (readonly (readonly number[])[])[],
  after: readonly (readonly (readonly number[])[])[],
): Move[] {
  const moves: Move[] = [];
  for (const [layer, experts] of after.entries()) {
    for (const [expert, ranks] of experts.entries()) {
      for (const rank of ranks) {
        if (!before[layer]![expert]!.includes(rank)) {
          moves.push({layer, expert, to: rank});
        }
      }
    }
  }
  return moves;
}

/** The initial map of a group: experts assigned round-robin, no replicas. */
export function roundRobinLayers(
  layers: number,
  experts: number,
  ranks: number,
): number[][][] {
  return Array.from({length: layers}, () =>
    Array.from({length: experts}, (_, expert) => [expert % ranks]),
  );
}

/**
 * True if every expert has at least one copy, at most one per rank, and no rank
 * exceeds its slots in a layer.
 */
export function isValidPlacement(
  layers: readonly (readonly (readonly number[])[])[],
  input: Pick<PolicyInput, 'slowness' | 'slotsPerLayer'>,
): boolean {
  return layers.every(experts => {
    const heldCounts = new Array<number>(input.slowness.length).fill(0);
    for (const ranks of experts) {
      if (ranks.length === 0 || new Set(ranks).size !== ranks.length) {
        return false;
      }
      ranks.forEach(rank => {
        heldCounts[rank] = (heldCounts[rank] ?? 0) + 1;
      });
    }
    return heldCounts.every(count => count <= input.slotsPerLayer);
  });
}
