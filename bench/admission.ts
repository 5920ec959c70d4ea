/**
 * Processor time of admission: the search for targets of one entry, with the
 * queue and the sharing of capacity on and off, in virtual time and without a
 * network. One group of 72 ranks with 7 slots, 17 known entries, 24 accounts.
 *
 * `parts` 1: the entry gets the whole load, and has hundreds of requests in
 * flight; 17: it gets an equal part. The figures include the callers and fakes,
 * which cost the same on and off. `digest` identifies the decisions of a run: it
 * stays the same as long as no decision changes.
 *
 * Environment variables:
 * - ADMISSION_ROUNDS: runs of each case, 5 by default; on and off alternate.
 * - ADMISSION_SECONDS: seconds of load with `parts` 1, 20 by default.
 * - ADMISSION_ONLY: `on` or `off`, for a profile of one of them.
 * - ADMISSION_PARTS, ADMISSION_MULTIPLE: one value of each, for one of the loads.
 */
import * as crypto from 'node:crypto';
import {ENGINE} from '../src/forwarding/group-kit';
import * as random from '../src/random';
import type {Route} from '../src/routes/types';
import {
  AdmissionEntry,
  ENTRY_COUNT,
  RANK_COUNT,
  ROUTES,
  SERVICE,
} from './admission-entry';
import type {Benchmark} from './main';
import * as stats from './stats';
import {VirtualClock} from './virtual-clock';

const ROUNDS = Number(process.env.ADMISSION_ROUNDS ?? 5);
const SECONDS = Number(process.env.ADMISSION_SECONDS ?? 20);
/** With a part of the load more seconds are needed for enough requests. */
const PART_SECONDS_FACTOR = 6;
/** Not measured: an entry has its own rules for 10 s after its start. */
const START_MS = 12_000;
/** Parts of a run that are measured on their own. */
const SLICES = 40;
const SEED = 11;
const ACCOUNT_COUNT = 24;
const MEAN_STREAM_MS = 2_000;
const STREAM_SPREAD = 0.7;
/** Streams per second that fill all slots. */
const CAPACITY_PER_SECOND =
  (RANK_COUNT * ENGINE.slots * 1_000) / MEAN_STREAM_MS;
const MULTIPLES = valuesOf(process.env.ADMISSION_MULTIPLE, [0.5, 1.5]);
const PARTS = valuesOf(process.env.ADMISSION_PARTS, [1, ENTRY_COUNT]);
/** Callers take this long on top of the stated retry time. */
const RETRY_DELAY_MS = 5;

interface Load {
  readonly multiple: number;
  readonly parts: number;
}

interface Outcome {
  /** By slice of the run. */
  readonly cpuMicroseconds: readonly number[];
  readonly requests: number;
  readonly served: number;
  readonly refused: number;
  readonly attempts: number;
  readonly capacityCallsPerSecond: number;
  readonly digest: string;
}

/** Callers of one entry, who retry once after the time that a refusal states. */
class LoadRun {
  requests = 0;
  served = 0;
  refused = 0;
  attempts = 0;
  readonly decisions = crypto.createHash('sha256');
  private isOpen = true;

  constructor(
    private readonly entry: AdmissionEntry,
    private readonly perSecond: number,
  ) {}

  /** Schedules the next request, until the run is closed. */
  start(): void {
    setTimeout(
      () => {
        if (this.isOpen) {
          void this.request();
          this.start();
        }
      },
      random.exponential(1_000 / this.perSecond),
    );
  }

  close(): void {
    this.isOpen = false;
  }

  resetCounts(): void {
    this.requests = 0;
    this.served = 0;
    this.refused = 0;
    this.attempts = 0;
  }

  private async request(): Promise<void> {
    const route = random.pick(ROUTES);
    // A few accounts are large.
    const account = Math.floor(random.uniform() ** 2 * ACCOUNT_COUNT);
    const id = String(this.requests);
    this.requests += 1;
    const sentAt = performance.now();
    const retryMs = await this.attempt(id, route, `account-${account}`, 0);
    // The end of a run refuses what waits: its callers must not enter the next.
    if (retryMs !== undefined && this.isOpen) {
      await wait(retryMs + RETRY_DELAY_MS);
      const spentMs = performance.now() - sentAt;
      await this.attempt(id, route, `account-${account}`, spentMs);
    }
  }

  /** Returns after how long to retry; undefined: served, or refused for good. */
  private async attempt(
    id: string,
    route: Route,
    account: string,
    spentMs: number,
  ): Promise<number | undefined> {
    this.attempts += 1;
    const {entry} = this;
    const isRetry = spentMs > 0;
    const call = entry.newCall();
    call.isLikelyRetry = isRetry;
    call.setRoute(route, account, route.timeoutMs - spentMs);
    const head = {id, prompt: undefined} as never;
    const found = await entry.finder.find(
      call,
      {
        head,
        body: undefined,
        route,
        service: SERVICE,
        account: {name: account, keys: [], priority: undefined},
      },
      new Map(),
      isRetry,
    );
    if (!found.ok) {
      const retryMs = 'retryMs' in found.error ? found.error.retryMs : 0;
      this.note(id, `refused ${retryMs}`);
      this.refused += isRetry ? 1 : 0;
      return isRetry ? undefined : retryMs;
    }
    this.note(id, found.value.id);
    this.served += 1;
    await wait(streamMs());
    entry.balancer.end(found.value, 0, performance.now());
    call.releasePlace(true);
    return undefined;
  }

  private note(id: string, decision: string): void {
    if (this.isOpen) {
      this.decisions.update(`${id} ${performance.now()} ${decision}\n`);
    }
  }
}

function valuesOf(only: string | undefined, all: readonly number[]) {
  return only === undefined ? all : [Number(only)];
}

/** A log-normal duration. */
function streamMs(): number {
  const exponent = STREAM_SPREAD * stats.normal() - STREAM_SPREAD ** 2 / 2;
  return MEAN_STREAM_MS * Math.exp(exponent);
}

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

async function runOnce(isEnabled: boolean, load: Load): Promise<Outcome> {
  random.seed(SEED);
  const clock = new VirtualClock();
  clock.install();
  try {
    const {multiple, parts} = load;
    const entry = new AdmissionEntry(isEnabled, parts);
    const run = new LoadRun(entry, (CAPACITY_PER_SECOND * multiple) / parts);
    const seconds = parts === 1 ? SECONDS : SECONDS * PART_SECONDS_FACTOR;
    global.gc?.();
    run.start();
    await clock.runUntil(START_MS);
    run.resetCounts();
    entry.capacityCalls = 0;
    const cpuMicroseconds: number[] = [];
    for (let slice = 1; slice <= SLICES; slice += 1) {
      const before = process.cpuUsage();
      await clock.runUntil(START_MS + (seconds * 1_000 * slice) / SLICES);
      const used = process.cpuUsage(before);
      cpuMicroseconds.push(used.user + used.system);
    }
    run.close();
    entry.close();
    const {requests, served, refused, attempts, decisions} = run;
    return {
      cpuMicroseconds,
      requests,
      served,
      refused,
      attempts,
      capacityCallsPerSecond: entry.capacityCalls / seconds,
      digest: decisions.digest('hex').slice(0, 12),
    };
  } finally {
    clock.uninstall();
  }
}

/**
 * Microseconds per request. Each round does the same work in the same slice, so
 * the least of the rounds is what it takes undisturbed by other processes.
 */
function summarize(outcomes: readonly Outcome[]) {
  const {cpuMicroseconds, ...counts} = outcomes[0]!;
  const least = cpuMicroseconds.map((_, slice) =>
    Math.min(...outcomes.map(one => one.cpuMicroseconds[slice]!)),
  );
  const sum = least.reduce((a, b) => a + b, 0);
  return {microsecondsPerRequest: Math.round(sum / counts.requests), ...counts};
}

async function runLoad(load: Load): Promise<object> {
  const only = process.env.ADMISSION_ONLY;
  const outcomes: Record<'on' | 'off', Outcome[]> = {on: [], off: []};
  const modes = (['off', 'on'] as const).filter(
    mode => only === undefined || only === mode,
  );
  // The first round warms up the compiler.
  for (let round = 0; round <= ROUNDS; round += 1) {
    for (const mode of modes) {
      const outcome = await runOnce(mode === 'on', load);
      outcomes[mode].push(...(round > 0 ? [outcome] : []));
    }
  }
  const rows = modes.map(mode => [mode, summarize(outcomes[mode])]);
  return {...load, ...Object.fromEntries(rows)};
}

async function run(): Promise<unknown> {
  const rows: object[] = [];
  for (const parts of PARTS) {
    for (const multiple of MULTIPLES) {
      rows.push(await runLoad({multiple, parts}));
    }
  }
  return rows;
}

export const benchmark: Benchmark = {
  name: 'admission',
  description: 'processor time of admission, on and off',
  run,
};
