/**
 * Admission under overload, in real time on fake targets: fair bounded queues
 * compared with unbounded queues in order of arrival, at multiples of the
 * targets' capacity, with one client account flooding. Refused callers retry
 * once, after the time given in the refusal.
 */
import * as random from '../src/random';
import {Admission} from '../src/requests/admission';
import type {Benchmark} from './main';
import * as stats from './stats';

const TARGET_COUNT = 3;
const TARGET_CAPACITY = 8;
const MEAN_SERVICE_MS = 20;
const DEADLINE_MS = 300;
const MAX_QUEUED = 64;
const RUN_MS = 5_000;
const DRAIN_MS = 500;
const TICK_MS = 2;
const QUIET_ACCOUNT_COUNT = 9;
/** Share of the targets' capacity that each quiet account requests. */
const QUIET_SHARE = 0.04;
const LOAD_MULTIPLES = [0.5, 0.8, 1, 1.5, 2, 4];
const CAPACITY_PER_SECOND =
  (TARGET_COUNT * TARGET_CAPACITY * 1_000) / MEAN_SERVICE_MS;

interface Tally {
  offered: number;
  good: number;
  refused: number;
  retries: number;
  servedRetries: number;
}

class FakeTarget {
  readonly admission: Admission;

  constructor(isBounded: boolean) {
    this.admission = new Admission(() => ({
      capacity: TARGET_CAPACITY,
      maxQueued: isBounded ? MAX_QUEUED : Infinity,
    }));
  }
}

class OverloadRun {
  readonly tallies = new Map<string, Tally>();
  readonly refusalMs: number[] = [];
  readonly goodMs: number[] = [];
  isOpen = true;
  private readonly targets: FakeTarget[];

  constructor(private readonly isFairAndBounded: boolean) {
    this.targets = Array.from(
      {length: TARGET_COUNT},
      () => new FakeTarget(isFairAndBounded),
    );
  }

  async offer(account: string, retryTarget?: FakeTarget): Promise<void> {
    const isRetry = retryTarget !== undefined;
    const tally = this.tallyOf(account);
    const startedAt = performance.now();
    const deadlineAt = Date.now() + DEADLINE_MS;
    if (!isRetry) {
      tally.offered += 1;
    }
    const target =
      retryTarget ??
      this.targets.reduce((best, other) =>
        other.admission.expectedWaitMs < best.admission.expectedWaitMs
          ? other
          : best,
      );
    const admitted = await target.admission.admit({
      account: this.isFairAndBounded ? account : 'all',
      weight: 1,
      priority: 0,
      cost: 1,
      isReservedRetry: isRetry,
      // In the unbounded queue a request waits past its deadline.
      deadlineAt: this.isFairAndBounded ? deadlineAt : Date.now() + 3_600_000,
    });
    if (!admitted.ok) {
      this.refusalMs.push(performance.now() - startedAt);
      tally.refused += 1;
      const {retryAfterMs} = admitted.error;
      if (!isRetry && retryAfterMs !== undefined) {
        setTimeout(() => this.retry(account, target), retryAfterMs);
      }
      return;
    }
    const workMs = random.exponential(MEAN_SERVICE_MS);
    await new Promise(resolve => setTimeout(resolve, workMs));
    admitted.value.release();
    const durationMs = performance.now() - startedAt;
    if (durationMs <= DEADLINE_MS) {
      tally.good += 1;
      tally.servedRetries += isRetry ? 1 : 0;
      this.goodMs.push(durationMs);
    }
  }

  /** Drops retries that are due after the end of the run. */
  private retry(account: string, target: FakeTarget): void {
    if (this.isOpen) {
      this.tallyOf(account).retries += 1;
      void this.offer(account, target);
    }
  }

  private tallyOf(account: string): Tally {
    const tally = this.tallies.get(account) ?? {
      offered: 0,
      good: 0,
      refused: 0,
      retries: 0,
      servedRetries: 0,
    };
    this.tallies.set(account, tally);
    return tally;
  }
}

async function runAtMultiple(isFairAndBounded: boolean, multiple: number) {
  const run = new OverloadRun(isFairAndBounded);
  const quietRate = CAPACITY_PER_SECOND * QUIET_SHARE * Math.min(multiple, 1);
  const floodRate =
    CAPACITY_PER_SECOND * multiple - quietRate * QUIET_ACCOUNT_COUNT;
  const rates = [
    ...Array.from({length: QUIET_ACCOUNT_COUNT}, (_, index) => ({
      account: `quiet-${index}`,
      rate: quietRate,
    })),
    {account: 'flood', rate: floodRate},
  ];
  const startedAt = performance.now();
  const nextAt = new Map(rates.map(one => [one.account, 0]));
  while (performance.now() - startedAt < RUN_MS) {
    const elapsedMs = performance.now() - startedAt;
    for (const {account, rate} of rates) {
      let dueAt = nextAt.get(account)!;
      while (dueAt <= elapsedMs) {
        void run.offer(account);
        dueAt += random.exponential(1_000 / rate);
      }
      nextAt.set(account, dueAt);
    }
    await new Promise(resolve => setTimeout(resolve, TICK_MS));
  }
  run.isOpen = false;
  await new Promise(resolve => setTimeout(resolve, DRAIN_MS));
  return summarize(run);
}

function summarize(run: OverloadRun) {
  const all = [...run.tallies.entries()];
  const quiet = all.filter(([account]) => account !== 'flood');
  const sum = (pick: (tally: Tally) => number) =>
    all.reduce((total, [, tally]) => total + pick(tally), 0);
  const quietServedShares = quiet.map(
    ([, t]) => t.good / Math.max(t.offered, 1),
  );
  return {
    offered: sum(t => t.offered),
    goodput: sum(t => t.good),
    jainOfQuiet: stats.jainIndex(quietServedShares),
    worstQuietKept: Math.min(...quietServedShares),
    refusalP99Ms: stats.quantile(run.refusalMs, 0.99),
    servedOnReturn: sum(t => t.servedRetries) / (sum(t => t.retries) || 1),
    cameBack: sum(t => t.retries),
    goodP95Ms: stats.quantile(run.goodMs, 0.95),
  };
}

async function run(): Promise<unknown> {
  const rows = [];
  for (const multiple of LOAD_MULTIPLES) {
    rows.push({
      multiple,
      ours: await runAtMultiple(true, multiple),
      unbounded: await runAtMultiple(false, multiple),
    });
  }
  const best = Math.max(...rows.map(row => row.ours.goodput));
  return {
    rows,
    goodputAt4ToBest: rows[rows.length - 1]!.ours.goodput / best,
    unboundedAt4ToBest: rows[rows.length - 1]!.unbounded.goodput / best,
  };
}

export const benchmark: Benchmark = {
  name: 'overload',
  description: 'admission under overload',
  run,
};
