/**
 * What the processes of a site spend of a core, by role: at start, at rest,
 * with passes but no callers, as demand drifts, and with streams. Real
 * processes on loopback, beside stand-ins in this one. Figures are processor
 * time as the kernel counts it, in milliseconds.
 *
 * Variables: PROCESSOR_RANKS is the group's size, 12, 24 or 72; PROCESSOR_BUNDLE
 * the bundle to run, so that an earlier version can be compared;
 * PROCESSOR_NODE_ARGS arguments of the runtime; PROCESSOR_PROFILES a folder for
 * profiles of all processes.
 *
 * With 24 ranks, 8 s a phase and 3 entries, a sidecar took 393 ms at rest and 471
 * with passes where its group was read each 50 ms, and takes 164 and 293.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import {SiteStandin, SiteProcess} from '../platform/site-standin';
import type {GroupShape} from '../platform/group-standin';
import type {Bench} from './main';

const SHAPES: Readonly<Record<string, GroupShape>> = {
  12: {ranks: 12, sets: 4, experts: 72, places: 8},
  24: {ranks: 24, sets: 16, experts: 96, places: 5},
  72: {ranks: 72, sets: 8, experts: 252, places: 5},
};
/** Three of them watch the store for the others. */
const ENTRIES = 6;
/** Time until processes have found each other. */
const START_MS = 4_000;
const PHASE_MS = 8_000;
/** Milliseconds between drifts of demand. */
const DRIFT_MS = 3_500;
/** Milliseconds between versions, and their routes. */
const VERSIONS_MS = 270;
const ROUTES = 1_560;
/** Streams a second. */
const RATE = 40;
/** Ticks a second of the kernel's clock for processes. Source: proc(5). */
const TICKS = 100;

interface Phase {
  readonly name: string;
  readonly isBusy: boolean;
  readonly hasDrifts: boolean;
  readonly rate: number;
  /** Milliseconds between versions of a large configuration; 0: none. */
  readonly versionsMs: number;
}

const REST: Phase = {
  name: 'rest',
  isBusy: false,
  hasDrifts: false,
  rate: 0,
  versionsMs: 0,
};
const PHASES: readonly Phase[] = [
  REST,
  {...REST, name: 'passes', isBusy: true},
  {...REST, name: 'drifts', isBusy: true, hasDrifts: true},
  {...REST, name: 'streams', isBusy: true, hasDrifts: true, rate: RATE},
  {...REST, name: 'versions', versionsMs: VERSIONS_MS},
];

/** Processor time of a process so far. */
function spentMs({child}: SiteProcess): number {
  const stat = fs.readFileSync(`/proc/${child.pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  // User and system time: fields 14 and 15, counted from 1.
  return ((Number(fields[11]) + Number(fields[12])) * 1_000) / TICKS;
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** By role: milliseconds a process, and the most of one. */
function byRole(processes: readonly SiteProcess[], spent: readonly number[]) {
  const result: Record<string, {mean: number; most: number}> = {};
  for (const role of ['entry', 'sidecar'] as const) {
    const some = spent.filter((_, at) => processes[at]!.role === role);
    const sum = some.reduce((a, b) => a + b, 0);
    result[role] = {
      mean: Math.round(sum / some.length),
      most: Math.max(...some),
    };
  }
  return result;
}

async function play(site: SiteStandin, phase: Phase): Promise<object> {
  const {processes, group} = site;
  group.isBusy = phase.isBusy;
  const before = processes.map(spentMs);
  const mapsBefore = group.mapsApplied;
  const drifts = phase.hasDrifts
    ? setInterval(() => group.shiftDemand(), DRIFT_MS)
    : undefined;
  const calls: Promise<boolean>[] = [];
  const caller =
    phase.rate > 0
      ? setInterval(
          () => calls.push(site.requestStream(calls.length)),
          1e3 / phase.rate,
        )
      : undefined;
  const versions =
    phase.versionsMs > 0
      ? setInterval(() => site.publishConfiguration(ROUTES), phase.versionsMs)
      : undefined;
  await sleep(PHASE_MS);
  clearInterval(versions);
  clearInterval(drifts);
  clearInterval(caller);
  const served = (await Promise.all(calls)).filter(isServed => isServed).length;
  const spent = processes.map((one, at) => spentMs(one) - before[at]!);
  return {
    phase: phase.name,
    ms: PHASE_MS,
    ...byRole(processes, spent),
    mapsTaken: group.mapsApplied - mapsBefore,
    calls: calls.length,
    served,
  };
}

async function run(): Promise<unknown> {
  const shape = SHAPES[process.env.PROCESSOR_RANKS ?? '24']!;
  const site = new SiteStandin({
    bundle: path.resolve(
      process.env.PROCESSOR_BUNDLE ?? 'target/ferrycleat.js',
    ),
    shape,
    entries: ENTRIES,
    nodeArgs: (process.env.PROCESSOR_NODE_ARGS ?? '')
      .split(' ')
      .filter(Boolean),
    profileDir: process.env.PROCESSOR_PROFILES,
  });
  await site.open();
  try {
    await sleep(START_MS);
    const start = byRole(site.processes, site.processes.map(spentMs));
    const phases: object[] = [];
    for (const phase of PHASES) {
      phases.push(await play(site, phase));
    }
    return {ranks: shape.ranks, start, phases};
  } finally {
    await site.close();
  }
}

/** Plays the phases one after the other. */
export const bench: Bench = {
  name: 'processor',
  text: 'processor time of a site by role, at rest and at work',
  run,
};
