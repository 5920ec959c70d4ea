/**
 * Routing on simulated engines: the scored policy compared with random, round
 * robin, least outstanding and two random choices, on the same arrivals. Load
 * reports are delayed, one rank becomes slow and one stalls.
 */
import * as random from '../src/random';
import * as policies from '../src/routing/policy';
import {PrefixIndex} from '../src/routing/prefix-index';
import * as score from '../src/routing/score';
import type {Candidate, Policy} from '../src/routing/types';
import * as fakes from './fake-engines';
import {SentLog} from '../src/targets/sent-log';
import type {Benchmark} from './main';
import * as stats from './stats';

const ENTRIES = 3;
const RUN_SECONDS = 40;
const SLOW_FROM_MS = 10_000;
const SLOW_FACTOR = 1.4;
const STALL_FROM_MS = 25_000;
const STALL_MS = 800;
const REPORT_LAG_MS = 30;
const REPORT_PERIOD_MS = 1_000;
/** Probability that a cache event is lost. */
const EVENT_LOSS_PROBABILITY = 0.2;
/** Requests per second that all targets finish with no prefix cached. */
const CAPACITY_PER_SECOND = 340;
const LOADS = [0.5, 0.8, 0.95];
const CROSS_HALL_ROUND_TRIP_MS = 3;

interface TargetView {
  running: number;
  prefillTokens: number;
  stepMs: number;
  rankMs: number;
  reportedAt: number;
  readonly sent: SentLog;
  inFlight: number;
}

/** One entry's view of the targets. */
class EntryView {
  readonly prefixes = new PrefixIndex();
  private readonly views = new Map<string, TargetView>();

  constructor(readonly hall: string) {}

  view(id: string): TargetView {
    let view = this.views.get(id);
    if (view === undefined) {
      view = {
        running: 0,
        prefillTokens: 0,
        stepMs: 0,
        rankMs: 0,
        reportedAt: 0,
        sent: new SentLog(),
        inFlight: 0,
      };
      this.views.set(id, view);
    }
    return view;
  }

  report(rank: fakes.FakeRank, loadReport: LoadReport): void {
    Object.assign(this.view(rank.id), loadReport);
  }
}

/** A target's load at the time of the report. */
type LoadReport = Omit<TargetView, 'sent' | 'inFlight'>;

function snapshot(
  rank: fakes.FakeRank,
  group: fakes.FakeGroup,
  now: number,
): LoadReport {
  return {
    running: rank.outstanding,
    prefillTokens: rank.prefillTokens,
    stepMs: group.stepMs,
    rankMs: rank.rankMs,
    reportedAt: now,
  };
}

function candidateOf(
  entry: EntryView,
  rank: fakes.FakeRank,
  group: fakes.FakeGroup,
  prefix: string,
  now: number,
): Candidate {
  const view = entry.view(rank.id);
  const unreported = view.sent.since(
    view.reportedAt - CROSS_HALL_ROUND_TRIP_MS / 2,
  );
  return {
    id: rank.id,
    group: group.id,
    hall: rank.hall,
    load: {
      running: Math.min(view.running, fakes.COSTS.maxRunning),
      capacity: fakes.COSTS.maxRunning,
      queued: Math.max(view.running - fakes.COSTS.maxRunning, 0),
      waitMs: 0,
      prefillTokens: view.prefillTokens,
      stepMs: view.stepMs,
      rankMs: view.rankMs,
    },
    loadAgeMs: now - view.reportedAt,
    unreported: unreported.requests,
    unreportedTokens: unreported.tokens,
    inFlight: view.inFlight,
    cachedTokens: entry.prefixes.cachedTokensAt(prefix, rank.id),
  };
}

/** Actions in the order of their virtual time. */
class EventQueue {
  private readonly events: {at: number; act: () => void}[] = [];

  schedule(at: number, act: () => void): void {
    let low = 0;
    let high = this.events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.events[middle]!.at <= at) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this.events.splice(low, 0, {at, act});
  }

  runUntil(now: number): void {
    while (this.events.length > 0 && this.events[0]!.at <= now) {
      this.events.shift()!.act();
    }
  }
}

function runPolicy(policy: Policy, load: number, seed: number) {
  random.seed(seed);
  const groups = fakes.makeGroups();
  const ranks = groups.flatMap(group =>
    group.ranks.map(rank => ({rank, group})),
  );
  const entries = Array.from(
    {length: ENTRIES},
    (_, index) => new EntryView(groups[index]!.ranks[0]!.hall),
  );
  const done: fakes.FakeRequest[] = [];
  const queue = new EventQueue();
  const spacingMs = 1_000 / (CAPACITY_PER_SECOND * load);
  let sent = 0;
  let nextArrival = 0;
  let cachedTokens = 0;
  const slow = ranks[1]!.rank;
  const stalled = ranks[6]!.rank;
  const senders = new Map<fakes.FakeRequest, {entry: EntryView; id: string}>();
  const onEnd = (request: fakes.FakeRequest) => {
    done.push(request);
    const sender = senders.get(request)!;
    sender.entry.view(sender.id).inFlight -= 1;
  };
  const arrive = (now: number) => {
    const entry = entries[sent % ENTRIES]!;
    const request = fakes.drawRequest(now, Infinity);
    const decision = policy.choose(
      {
        account: request.account,
        prefix: request.prefix,
        promptTokens: request.prefixTokens + request.suffixTokens,
        hall: entry.hall,
      },
      ranks.map(({rank, group}) =>
        candidateOf(entry, rank, group, request.prefix, now),
      ),
    );
    const {rank, group} = ranks.find(r => r.rank.id === decision.chosen)!;
    const view = entry.view(rank.id);
    const known = entry.prefixes.cachedTokensAt(request.prefix, rank.id);
    view.sent.note(now, request.prefixTokens + request.suffixTokens - known);
    view.inFlight += 1;
    senders.set(request, {entry, id: rank.id});
    if (random.uniform() > EVENT_LOSS_PROBABILITY) {
      entry.prefixes.noteSent(request.prefix, rank.id, request.prefixTokens);
    }
    const hopMs = rank.hall === entry.hall ? 0 : CROSS_HALL_ROUND_TRIP_MS / 2;
    queue.schedule(now + hopMs, () => rank.submit(request));
    queue.schedule(now + hopMs, () => {
      const loadReport = snapshot(rank, group, now + hopMs);
      queue.schedule(now + hopMs + REPORT_LAG_MS, () =>
        entry.report(rank, loadReport),
      );
    });
    sent += 1;
  };
  const reportAll = (now: number) => {
    for (const entry of entries) {
      ranks.forEach(({rank, group}) =>
        entry.report(rank, snapshot(rank, group, now)),
      );
    }
    queue.schedule(now + REPORT_PERIOD_MS, () =>
      reportAll(now + REPORT_PERIOD_MS),
    );
  };
  reportAll(0);
  for (let now = 0; now < RUN_SECONDS * 1_000;) {
    const group = groups.reduce((a, b) => (a.nextAt <= b.nextAt ? a : b));
    now = group.nextAt;
    while (nextArrival <= now) {
      queue.runUntil(nextArrival);
      arrive(nextArrival);
      nextArrival += random.exponential(spacingMs);
    }
    queue.runUntil(now);
    slow.slowness = now >= SLOW_FROM_MS ? SLOW_FACTOR : 1;
    if (now >= STALL_FROM_MS && now < STALL_FROM_MS + STALL_MS) {
      stalled.stalledUntil = STALL_FROM_MS + STALL_MS;
    }
    group.runStep(now, onEnd);
  }
  const firstTokenMs = done.map(
    request => request.firstTokenAt - request.arrivedAt,
  );
  cachedTokens = done.reduce((sum, r) => sum + r.cachedTokens, 0);
  const prefixTokens = done.reduce((sum, r) => sum + r.prefixTokens, 0);
  const skewsMs = groups.flatMap(group => group.skewsMs);
  const busyMs = ranks.reduce((sum, {rank}) => sum + rank.busyMs, 0);
  return {
    finished: done.length / sent,
    firstTokenP50Ms: stats.quantile(firstTokenMs, 0.5),
    firstTokenP95Ms: stats.quantile(firstTokenMs, 0.95),
    firstTokenP99Ms: stats.quantile(firstTokenMs, 0.99),
    prefixHits: cachedTokens / prefixTokens,
    skewP50Ms: stats.quantile(skewsMs, 0.5),
    skewP99Ms: stats.quantile(skewsMs, 0.99),
    skewMeanMs: stats.mean(skewsMs),
    stepMeanMs: stats.mean(groups.flatMap(group => group.stepTimesMs)),
    slowRankShare: (slow.busyMs / busyMs) * ranks.length,
  };
}

async function run(): Promise<unknown> {
  const policyFactories: Record<string, () => Policy> = {
    random: () => new policies.RandomPolicy(),
    roundRobin: () => new policies.RoundRobinPolicy(),
    leastOutstanding: () => new policies.LeastOutstandingPolicy(),
    twoChoices: () => new policies.TwoChoicesPolicy(),
    scored: () => new policies.ScoredPolicy(() => score.DEFAULT_SCORE),
  };
  return LOADS.map(load => {
    const seed = 1_000 + Math.round(load * 100);
    const outcomes = Object.fromEntries(
      Object.entries(policyFactories).map(([name, make]) => [
        name,
        runPolicy(make(), load, seed),
      ]),
    );
    const {scored, twoChoices, leastOutstanding} = outcomes;
    return {
      load,
      outcomes,
      p95ToTwoChoices: scored!.firstTokenP95Ms / twoChoices!.firstTokenP95Ms,
      skewToLeastOutstanding: scored!.skewMeanMs / leastOutstanding!.skewMeanMs,
    };
  });
}

export const benchmark: Benchmark = {
  name: 'routing',
  description: 'routing on simulated engines',
  run,
};
