/**
 * Processor time of a site's processes by role, in milliseconds: at start, idle,
 * with forward passes but no callers, with drifting demand, with streams, and
 * with frequent configuration versions. Runs real processes on loopback next to
 * stand-ins in this process; reads /proc, so needs Linux.
 *
 * Environment variables:
 * - PROCESSOR_RANKS: size of the group: 12, 24 (default) or 72.
 * - PROCESSOR_BUNDLE: bundle to run, target/ferrycleat.js by default.
 * - PROCESSOR_NODE_ARGS: arguments of Node.js, separated by spaces.
 * - PROCESSOR_PROFILES: directory for processor profiles of all processes.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import {SiteStandin, SiteProcess} from '../platform/site-standin';
import type {GroupShape} from '../platform/group-standin';
import type {Benchmark} from './main';

const SHAPES: Readonly<Record<string, GroupShape>> = {
  12: {ranks: 12, sets: 4, experts: 72, places: 8},
  24: {ranks: 24, sets: 16, experts: 96, places: 5},
  72: {ranks: 72, sets: 8, experts: 252, places: 5},
};
/** Three of them watch the store for the others. */
const ENTRY_COUNT = 6;
/** Time for the processes to discover each other. */
const START_UP_MS = 4_000;
const PHASE_MS = 8_000;
const DRIFT_INTERVAL_MS = 3_500;
const VERSION_INTERVAL_MS = 270;
/** Routes added to each configuration version. */
const ROUTE_COUNT = 1_560;
const STREAMS_PER_SECOND = 40;
/** Clock ticks (USER_HZ) in which proc(5) counts processor time. */
const TICKS_PER_SECOND = 100;

interface Phase {
  readonly name: string;
  /** The group runs forward passes even without streams. */
  readonly isBusy: boolean;
  readonly hasDrifts: boolean;
  readonly streamsPerSecond: number;
  /** Interval between versions of a large configuration; 0: none. */
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

/** Total processor time of a process. */
function cpuTimeMs({child}: SiteProcess): number {
  const stat = fs.readFileSync(`/proc/${child.pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  // User and system time: fields 14 and 15, counted from 1.
  return ((Number(fields[11]) + Number(fields[12])) * 1_000) / TICKS_PER_SECOND;
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Mean and maximum milliseconds per process, by role. */
function summarizeByRole(
  processes: readonly SiteProcess[],
  spentMs: readonly number[],
) {
  const result: Record<string, {mean: number; most: number}> = {};
  for (const role of ['entry', 'sidecar'] as const) {
    const ofRole = spentMs.filter(
      (_, index) => processes[index]!.role === role,
    );
    const sum = ofRole.reduce((a, b) => a + b, 0);
    result[role] = {
      mean: Math.round(sum / ofRole.length),
      most: Math.max(...ofRole),
    };
  }
  return result;
}

async function runPhase(site: SiteStandin, phase: Phase): Promise<object> {
  const {processes, group} = site;
  group.isBusy = phase.isBusy;
  const before = processes.map(cpuTimeMs);
  const mapsBefore = group.mapsApplied;
  const driftTimer = phase.hasDrifts
    ? setInterval(() => group.shiftDemand(), DRIFT_INTERVAL_MS)
    : undefined;
  const calls: Promise<boolean>[] = [];
  const callTimer =
    phase.streamsPerSecond > 0
      ? setInterval(
          () => calls.push(site.requestStream(calls.length)),
          1e3 / phase.streamsPerSecond,
        )
      : undefined;
  const versionTimer =
    phase.versionIntervalMs > 0
      ? setInterval(
          () => site.publishConfiguration(ROUTE_COUNT),
          phase.versionIntervalMs,
        )
      : undefined;
  await sleep(PHASE_MS);
  clearInterval(versionTimer);
  clearInterval(driftTimer);
  clearInterval(callTimer);
  const served = (await Promise.all(calls)).filter(isServed => isServed).length;
  const spentMs = processes.map(
    (one, index) => cpuTimeMs(one) - before[index]!,
  );
  return {
    phase: phase.name,
    ms: PHASE_MS,
    ...summarizeByRole(processes, spentMs),
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
    entries: ENTRY_COUNT,
    nodeArgs: (process.env.PROCESSOR_NODE_ARGS ?? '')
      .split(' ')
      .filter(Boolean),
    profileDir: process.env.PROCESSOR_PROFILES,
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

export const benchmark: Benchmark = {
  name: 'processor',
  description: 'processor time of a site by role, idle and under load',
  run,
};
