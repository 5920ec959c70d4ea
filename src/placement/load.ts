/** Loads of ranks under a map. */
import type {Demand, Move, PlacementInput} from './types';

/** By rank: demand served, times the rank's slowness. */
export function rankLoads(
  layers: readonly (readonly (readonly number[])[])[],
  demand: Demand,
  slowness: readonly number[],
): Float64Array {
  const loads = new Float64Array(slowness.length);
  for (const [layer, experts] of layers.entries()) {
    const asked = demand[layer]!;
    for (const [expert, ranks] of experts.entries()) {
      const share = asked[expert]! / ranks.length;
      for (const rank of ranks) {
        loads[rank] = loads[rank]! + share * slowness[rank]!;
      }
    }
  }
  return loads;
}

/** Highest minus lowest. */
export function spread(loads: Float64Array): number {
  return Math.max(...loads) - Math.min(...loads);
}

/** What has to be loaded to come from one map to another. */
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

/** The map that a group starts with: experts in turn, no replicas. */
export function roundRobinLayers(
  layers: number,
  experts: number,
  ranks: number,
): number[][][] {
  return Array.from({length: layers}, () =>
    Array.from({length: experts}, (_, expert) => [expert % ranks]),
  );
}

/** True where every expert is held and no rank holds too many. */
export function isValidPlacement(
  layers: readonly (readonly (readonly number[])[])[],
  situation: Pick<PlacementInput, 'slowness' | 'slotsPerLayer'>,
): boolean {
  return layers.every(experts => {
    const held = new Array<number>(situation.slowness.length).fill(0);
    for (const ranks of experts) {
      if (ranks.length === 0 || new Set(ranks).size !== ranks.length) {
        return false;
      }
      ranks.forEach(rank => {
        held[rank] = (held[rank] ?? 0) + 1;
      });
    }
    return held.every(count => count <= situation.slotsPerLayer);
  });
}
