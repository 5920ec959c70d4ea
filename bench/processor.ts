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
import type {GroupShape} from '../platform/rank-standin';
import type {Benchmark} from './main';

const SHAPES: Readonly<Record<string, GroupShape>> = {
  12: {ranks: 12, sets: 4, experts: 72, places: 8},
  24: {ranks: 24, sets: 16, experts: 96, places: 5},
  72: {ranks: 72, sets: 8, experts: 252, places: 5},
};
/** Three of them watch the store for the others. */
const ENTRY_COUNT = 6;
/** Time until processes have found each other. */
const START_UP_MS = 4_000;
const PHASE_MS = 8_000;
/** Milliseconds between drifts of demand. */
const DRIFT_INTERVAL_MS = 3_500;
/** Milliseconds between versions, and their routes. */
const VERSION_INTERVAL_MS = 270;
const ROUTE_COUNT = 1_560;
/** Streams a second. */
const STREAMS_PER_SECOND = 40;
/** Ticks a second of the kernel's clock for processes. Source: proc(5). */
const TICKS_PER_SECOND = 100;

interface Phase {
  readonly name: string;
  readonly isBusy: boolean;
  readonly hasDrifts: boolean;
  readonly streamsPerSecond: number;
  /** Milliseconds between versions of a large configuration; 0: none. */
  readonly versionIntervalMs: number;
}

const IDLE_PHASE: Phase = {
  name: 'rest',
  isBusy: false,
  hasDrifts: false,
  streamsPerSecond: 0,
  versionIntervalMs: 0,
};
const PHASES: readonly Phase[] = [
  IDLE_PHASE,
  {...IDLE_PHASE, name: 'passes', isBusy: true},
  {...IDLE_PHASE, name: 'drifts', isBusy: true, hasDrifts: true},
  {
    ...IDLE_PHASE,
    name: 'streams',
    isBusy: true,
    hasDrifts: true,
    streamsPerSecond: STREAMS_PER_SECOND,
  },
  {...IDLE_PHASE, name: 'versions', versionIntervalMs: VERSION_INTERVAL_MS},
];

/** Processor time of a process so far. */
function cpuTimeMs({child}: SiteProcess): number {
  const stat = fs.readFileSync(`/proc/${child.pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  // User and system time: fields 14 and 15, counted from 1.
  return ((Number(fields[11]) + Number(fields[12])) * 1_000) / TICKS_PER_SECOND;
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** By role: milliseconds a process, and the most of one. */
function summarizeByRole(
  processes: readonly SiteProcess[],
  spent: readonly number[],
) {
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

async function runPhase(site: SiteStandin, phase: Phase): Promise<object> {
  const {processes, group} = site;
  group.isBusy = phase.isBusy;
  const before = processes.map(cpuTimeMs);
  const mapsBefore = group.mapsTaken;
  const drifts = phase.hasDrifts
    ? setInterval(() => group.shift(), DRIFT_INTERVAL_MS)
    : undefined;
  const calls: Promise<boolean>[] = [];
  const caller =
    phase.streamsPerSecond > 0
      ? setInterval(
          () => calls.push(site.call(calls.length)),
          1e3 / phase.streamsPerSecond,
        )
      : undefined;
  const versions =
    phase.versionIntervalMs > 0
      ? setInterval(() => site.configure(ROUTE_COUNT), phase.versionIntervalMs)
      : undefined;
  await sleep(PHASE_MS);
  clearInterval(versions);
  clearInterval(drifts);
  clearInterval(caller);
  const served = (await Promise.all(calls)).filter(isServed => isServed).length;
  const spent = processes.map((one, at) => cpuTimeMs(one) - before[at]!);
  return {
    phase: phase.name,
    ms: PHASE_MS,
    ...summarizeByRole(processes, spent),
    mapsTaken: group.mapsTaken - mapsBefore,
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
    entries: ENTRY_COUNT,
    nodeArgs: (process.env.PROCESSOR_NODE_ARGS ?? '')
      .split(' ')
      .filter(Boolean),
    profiles: process.env.PROCESSOR_PROFILES,
  });
  await site.open();
  try {
    await sleep(START_UP_MS);
    const start = summarizeByRole(
      site.processes,
      site.processes.map(cpuTimeMs),
    );
    const phases: object[] = [];
    for (const phase of PHASES) {
      phases.push(await runPhase(site, phase));
    }
    return {ranks: shape.ranks, start, phases};
  } finally {
    await site.close();
  }
}

/** Plays the phases one after the other. */
export const benchmark: Benchmark = {
  name: 'processor',
  description: 'processor time of a site by role, at rest and at work',
  run,
};
