/**
 * Subsets of targets per entry: how evenly entries spread over targets, and how
 * many members of a subset change when a target leaves, compared with drawing a
 * new random subset.
 */
import type {Instance} from '../src/platform/types';
import * as random from '../src/random';
import {chooseSubset} from '../src/targets/directory';
import type {Benchmark} from './main';
import * as stats from './stats';

const SUBSET_SIZE = 24;
const FLEET_SIZES = [
  {targets: 15, entries: 4},
  {targets: 100, entries: 12},
  {targets: 1_000, entries: 50},
  {targets: 3_200, entries: 150},
];
const CHANGES_PER_ENTRY = 20;

function makeInstances(count: number): Instance[] {
  return Array.from({length: count}, (_, index) => ({
    id: `target-${index}`,
    hall: `hall-${index % 6}`,
    role: 'sidecar' as const,
    address: `10.0.${index >> 8}.${index & 255}:7000`,
    state: 'live' as const,
    serves: 'model/assistant',
    group: '',
    rank: 0,
  }));
}

function idsOf(list: readonly Instance[]): Set<string> {
  return new Set(list.map(instance => instance.id));
}

/** Counts the members of `after` that are not in `before`. */
function countAdded(before: Set<string>, after: Set<string>): number {
  return [...after].filter(id => !before.has(id)).length;
}

function drawRandomSubset(list: readonly Instance[]): Instance[] {
  const remaining = [...list];
  const drawn: Instance[] = [];
  while (drawn.length < SUBSET_SIZE && remaining.length > 0) {
    drawn.push(...remaining.splice(random.integerBelow(remaining.length), 1));
  }
  return drawn;
}

function measure(targets: number, entries: number) {
  const list = makeInstances(targets);
  const entryCounts = new Map<string, number>(list.map(i => [i.id, 0]));
  const moved: number[] = [];
  const movedAtRandom: number[] = [];
  for (let entry = 0; entry < entries; entry += 1) {
    const id = `entry-${entry}`;
    const subset = idsOf(chooseSubset(id, list, SUBSET_SIZE));
    subset.forEach(member =>
      entryCounts.set(member, entryCounts.get(member)! + 1),
    );
    const randomSubset = idsOf(drawRandomSubset(list));
    for (let change = 0; change < CHANGES_PER_ENTRY; change += 1) {
      const removed = random.integerBelow(list.length);
      const remaining = list.filter((_, index) => index !== removed);
      moved.push(
        countAdded(subset, idsOf(chooseSubset(id, remaining, SUBSET_SIZE))),
      );
      movedAtRandom.push(
        countAdded(randomSubset, idsOf(drawRandomSubset(remaining))),
      );
    }
  }
  const counts = [...entryCounts.values()];
  return {
    targets,
    entries,
    movedPerChange: stats.mean(moved),
    mostMovedPerChange: Math.max(...moved),
    movedPerChangeDrawnAnew: stats.mean(movedAtRandom),
    entriesPerTarget: stats.mean(counts),
    fewestEntriesPerTarget: Math.min(...counts),
    mostEntriesPerTarget: Math.max(...counts),
    jainOfEntriesPerTarget: stats.jainIndex(counts),
  };
}

async function run(): Promise<unknown> {
  return FLEET_SIZES.map(({targets, entries}) => measure(targets, entries));
}

export const benchmark: Benchmark = {
  name: 'membership',
  description: 'subsets of targets per entry',
  run,
};
