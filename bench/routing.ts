/**
 * Routing on fakes of the engines: ours beside random, round robin, least
 * outstanding and two random choices, on the same arrivals, with load
 * reports that come late, a rank that turns slow and one that stalls.
 */
import * as random from '../src/random';
import * as policies from '../src/routing/policy';
import {PrefixIndex} from '../src/routing/prefix-index';
import * as score from '../src/routing/score';
import type {Candidate, Policy} from '../src/routing/types';
import * as fakes from './fake-engines';
import {SentLog} from '../src/targets/sent-log';
import type {Bench} from './main';
import * as stats from './stats';

const ENTRIES = 3;
const SECONDS = 40;
const SLOW_FROM_MS = 10_000;
const SLOW_FACTOR = 1.4;
const STALL_FROM_MS = 25_000;
const STALL_MS = 800;
const REPORT_LAG_MS = 30;
const REPORT_PERIOD_MS = 1_000;
/** Chance that a cache event is lost. */
const LOST_EVENT = 0.2;
/** Requests a second that twelve targets finish with no prefix cached. */
const CAPACITY = 340;
const LOADS = [0.5, 0.8, 0.95];
const HALL_HOP_MS = 3;

interface View {
  running: number;
  prefillTokens: number;
  stepMs: number;
  rankMs: number;
  at: number;
  readonly sent: SentLog;
  inFlight: number;
}

/** What one entry believes of the targets. */
class EntryView {
  readonly prefixes = new PrefixIndex();
  private readonly views = new Map<string, View>();

  constructor(readonly hall: string) {}

  view(id: string): View {
    let view = this.views.get(id);
    if (view === undefined) {
      view = {
        running: 0,
        prefillTokens: 0,
        stepMs: 0,
        rankMs: 0,
        at: 0,
        sent: new SentLog(),
        inFlight: 0,
      };
      this.views.set(id, view);
    }
    return view;
  }

  report(rank: fakes.FakeRank, made: Report): void {
    Object.assign(this.view(rank.id), made);
  }
}

/** A target's load as of a time. */
type Report = Omit<View, 'sent' | 'inFlight'>;

function snapshot(
  rank: fakes.FakeRank,
  group: fakes.FakeGroup,
  now: number,
): Report {
  return {
    running: rank.outstanding,
    prefillTokens: rank.prefillTokens,
    stepMs: group.stepMs,
    rankMs: rank.rankMs,
    at: now,
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
  const unseen = view.sent.since(view.at - HALL_HOP_MS / 2);
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
    loadAgeMs: now - view.at,
    unreported: unseen.requests,
    unreportedTokens: unseen.tokens,
    inFlight: view.inFlight,
    cachedTokens: entry.prefixes.cachedTokensAt(prefix, rank.id),
  };
}

/** Actions due at a virtual time. */
class Agenda {
  private readonly due: {at: number; act: () => void}[] = [];

  add(at: number, act: () => void): void {
    let low = 0;
    let high = this.due.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.due[middle]!.at <= at) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this.due.splice(low, 0, {at, act});
  }

  runUntil(now: number): void {
    while (this.due.length > 0 && this.due[0]!.at <= now) {
      this.due.shift()!.act();
    }
  }
}

function runOne(policy: Policy, load: number, seed: number) {
  random.seed(seed);
  const groups = fakes.makeFleet();
  const ranks = groups.flatMap(group =>
    group.ranks.map(rank => ({rank, group})),
  );
  const entries = Array.from(
    {length: ENTRIES},
    (_, at) => new EntryView(groups[at]!.ranks[0]!.hall),
  );
  const done: fakes.FakeRequest[] = [];
  const agenda = new Agenda();
  const spacingMs = 1_000 / (CAPACITY * load);
  let sent = 0;
  let nextArrival = 0;
  let hits = 0;
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
        promptTokens: request.prefixTokens + request.ownTokens,
        hall: entry.hall,
      },
      ranks.map(({rank, group}) =>
        candidateOf(entry, rank, group, request.prefix, now),
      ),
    );
    const {rank, group} = ranks.find(r => r.rank.id === decision.chosen)!;
    const view = entry.view(rank.id);
    const known = entry.prefixes.cachedTokensAt(request.prefix, rank.id);
    view.sent.note(now, request.prefixTokens + request.ownTokens - known);
    view.inFlight += 1;
    senders.set(request, {entry, id: rank.id});
    if (random.uniform() > LOST_EVENT) {
      entry.prefixes.noteSent(request.prefix, rank.id, request.prefixTokens);
    }
    const hopMs = rank.hall === entry.hall ? 0 : HALL_HOP_MS / 2;
    agenda.add(now + hopMs, () => rank.submit(request));
    agenda.add(now + hopMs, () => {
      const made = snapshot(rank, group, now + hopMs);
      agenda.add(now + hopMs + REPORT_LAG_MS, () => entry.report(rank, made));
    });
    sent += 1;
  };
  const beat = (now: number) => {
    for (const entry of entries) {
      ranks.forEach(({rank, group}) =>
        entry.report(rank, snapshot(rank, group, now)),
      );
    }
    agenda.add(now + REPORT_PERIOD_MS, () => beat(now + REPORT_PERIOD_MS));
  };
  beat(0);
  for (let now = 0; now < SECONDS * 1_000;) {
    const group = groups.reduce((a, b) => (a.nextAt <= b.nextAt ? a : b));
    now = group.nextAt;
    while (nextArrival <= now) {
      agenda.runUntil(nextArrival);
      arrive(nextArrival);
      nextArrival += random.exponential(spacingMs);
    }
    agenda.runUntil(now);
    slow.slowness = now >= SLOW_FROM_MS ? SLOW_FACTOR : 1;
    if (now >= STALL_FROM_MS && now < STALL_FROM_MS + STALL_MS) {
      stalled.stalledUntil = STALL_FROM_MS + STALL_MS;
    }
    group.runStep(now, onEnd);
  }
  const firsts = done.map(request => request.firstTokenAt - request.arrivedAt);
  hits = done.reduce((sum, r) => sum + r.hitTokens, 0);
  const asked = done.reduce((sum, r) => sum + r.prefixTokens, 0);
  const skews = groups.flatMap(group => group.skews);
  const busy = ranks.reduce((sum, {rank}) => sum + rank.busyMs, 0);
  return {
    finished: done.length / sent,
    firstTokenP50Ms: stats.quantile(firsts, 0.5),
    firstTokenP95Ms: stats.quantile(firsts, 0.95),
    firstTokenP99Ms: stats.quantile(firsts, 0.99),
    prefixHits: hits / asked,
    skewP50Ms: stats.quantile(skews, 0.5),
    skewP99Ms: stats.quantile(skews, 0.99),
    skewMeanMs: stats.mean(skews),
    stepMeanMs: stats.mean(groups.flatMap(group => group.steps)),
    slowRankShare: (slow.busyMs / busy) * ranks.length,
  };
}

async function run(): Promise<unknown> {
  const makers: Record<string, () => Policy> = {
    random: () => new policies.RandomPolicy(),
    roundRobin: () => new policies.RoundRobinPolicy(),
    leastOutstanding: () => new policies.LeastOutstandingPolicy(),
    twoChoices: () => new policies.TwoChoicesPolicy(),
    scored: () => new policies.ScoredPolicy(() => score.DEFAULT_SCORE),
  };
  return LOADS.map(load => {
    const seed = 1_000 + Math.round(load * 100);
    const outcomes = Object.fromEntries(
      Object.entries(makers).map(([name, make]) => [
        name,
        runOne(make(), load, seed),
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

export const bench: Bench = {
  name: 'routing',
  text: 'routing on fakes of the engines',
  run,
};
