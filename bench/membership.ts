/**
 * Subsets of targets per entry: how evenly entries spread over targets, and
 * how much a subset changes when a target comes or goes, beside a subset
 * drawn anew at random.
 */
import type {Instance} from '../src/platform/types';
import * as random from '../src/random';
import {chooseSubset} from '../src/targets/directory';
import type {Bench} from './main';
import * as stats from './stats';

const SUBSET = 24;
const SIZES = [
  {targets: 15, entries: 4},
  {targets: 100, entries: 12},
  {targets: 1_000, entries: 50},
  {targets: 3_200, entries: 150},
];
const CHANGES = 20;

function instances(count: number): Instance[] {
  return Array.from({length: count}, (_, at) => ({
    id: `target-${at}`,
    hall: `hall-${at % 6}`,
    role: 'sidecar' as const,
    address: `10.0.${at >> 8}.${at & 255}:7000`,
    state: 'live' as const,
    serves: 'model/assistant',
    group: '',
    rank: 0,
  }));
}

function idsOf(list: readonly Instance[]): Set<string> {
  return new Set(list.map(instance => instance.id));
}

/** Members that are in one set and not in the other. */
function changed(before: Set<string>, after: Set<string>): number {
  return [...after].filter(id => !before.has(id)).length;
}

function drawSubset(list: readonly Instance[]): Instance[] {
  const left = [...list];
  const drawn: Instance[] = [];
  while (drawn.length < SUBSET && left.length > 0) {
    drawn.push(...left.splice(random.integerBelow(left.length), 1));
  }
  return drawn;
}

function measure(targets: number, entries: number) {
  const list = instances(targets);
  const users = new Map<string, number>(list.map(i => [i.id, 0]));
  const moved: number[] = [];
  const movedDrawn: number[] = [];
  for (let entry = 0; entry < entries; entry += 1) {
    const id = `entry-${entry}`;
    const subset = idsOf(chooseSubset(id, list, SUBSET));
    subset.forEach(member => users.set(member, users.get(member)! + 1));
    const drawn = idsOf(drawSubset(list));
    for (let change = 0; change < CHANGES; change += 1) {
      const gone = random.integerBelow(list.length);
      const fewer = list.filter((_, at) => at !== gone);
      moved.push(changed(subset, idsOf(chooseSubset(id, fewer, SUBSET))));
      movedDrawn.push(changed(drawn, idsOf(drawSubset(fewer))));
    }
  }
  const counts = [...users.values()];
  return {
    targets,
    entries,
    movedPerChange: stats.mean(moved),
    mostMovedPerChange: Math.max(...moved),
    movedPerChangeDrawnAnew: stats.mean(movedDrawn),
    entriesPerTarget: stats.mean(counts),
    fewestEntriesPerTarget: Math.min(...counts),
    mostEntriesPerTarget: Math.max(...counts),
    jainOfEntriesPerTarget: stats.jain(counts),
  };
}

async function run(): Promise<unknown> {
  return SIZES.map(({targets, entries}) => measure(targets, entries));
}

export const bench: Bench = {
  name: 'membership',
  text: 'subsets of targets per entry',
  run,
};
