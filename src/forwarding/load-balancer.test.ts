import * as random from '../random';
import {LoadBalancer, LoadReports} from './load-balancer';
import type {Target} from './types';

const ENTRIES = 35;
const RANKS = 129;
const REQUESTS_PER_SECOND = 219;
const MEAN_DURATION_MS = 1_300;
const REPORT_INTERVAL_MS = 200;
const SIMULATED_MS = 60_000;

const ranks: Target[] = Array.from({length: RANKS}, (_, rank) => ({
  id: `t${rank}`,
  lifetime: `t${rank}@1`,
  service: 's',
  address: `10.0.0.${rank}:1`,
  hall: `hall-${rank % 5}`,
  slots: 6,
  isLeaving: false,
  coldRemainingMs: 0,
  sequence: 1,
  revision: 1,
  group: 'g',
  rank,
}));

/** Periodic load reports, corrected by the entry's own requests since. */
class DelayedReports implements LoadReports {
  private reported = new Int32Array(RANKS);
  private readonly ownAtReport = new Map<string, number>();
  inFlight: (lifetime: string) => number = () => 0;

  report(reported: Int32Array): void {
    this.reported = Int32Array.from(reported);
    ranks.forEach(({lifetime}) =>
      this.ownAtReport.set(lifetime, this.inFlight(lifetime)),
    );
  }

  slownessOf(): number {
    return 1;
  }

  requestsAt({lifetime, rank}: Target): number {
    const own = this.inFlight(lifetime) - (this.ownAtReport.get(lifetime) ?? 0);
    return Math.max(this.reported[rank!]! + own, 0);
  }
}

interface RequestEnd {
  readonly at: number;
  readonly balancer: LoadBalancer;
  readonly rank: number;
}

/**
 * Simulates the entries; shares of requests sent to a rank with five others and
 * to another hall.
 */
function simulateEntries(): {overloading: number; hops: number} {
  const entries = Array.from({length: ENTRIES}, (_, at) => {
    const reports = new DelayedReports();
    const balancer = new LoadBalancer(`hall-${at % 5}`, reports);
    reports.inFlight = lifetime => balancer.inFlight(lifetime);
    return {reports, balancer};
  });
  const requests = new Int32Array(RANKS);
  let ends: RequestEnd[] = [];
  let nextReportAt = 0;
  let overloading = 0;
  let hops = 0;
  let sent = 0;
  for (
    let now = 0;
    now < SIMULATED_MS;
    now += random.exponential(1_000 / REQUESTS_PER_SECOND)
  ) {
    for (const end of ends.filter(one => one.at <= now)) {
      requests[end.rank]! -= 1;
      end.balancer.end(ranks[end.rank]!, 0, now);
    }
    ends = ends.filter(one => one.at > now);
    if (now >= nextReportAt) {
      nextReportAt += REPORT_INTERVAL_MS;
      entries.forEach(({reports}) => reports.report(requests));
    }
    const entry = random.integerBelow(ENTRIES);
    const {balancer} = entries[entry]!;
    const {lifetime, rank, hall} = balancer.choose(ranks, now)!;
    balancer.begin(lifetime);
    requests[rank!]! += 1;
    ends.push({
      at: now + random.jitter(MEAN_DURATION_MS),
      balancer,
      rank: rank!,
    });
    sent += 1;
    overloading += requests[rank!]! > 5 ? 1 : 0;
    hops += hall === `hall-${entry % 5}` ? 0 : 1;
  }
  return {overloading: overloading / sent, hops: hops / sent};
}

describe('choosing a rank by delayed load reports', () => {
  it('rarely overloads a rank, and prefers the own hall', () => {
    random.seed(11);
    const {overloading, hops} = simulateEntries();
    expect(overloading).toBeLessThan(0.005);
    expect(hops).toBeLessThan(0.35);
  });

  // Guards against requests that wait at a full rank for a stream to end.
  it('sends to a full rank only if all ranks are full', () => {
    random.seed(3);
    const load = (requests: readonly number[]) => ({
      slownessOf: ({rank}: Target) => (rank === 9 ? 3 : 1),
      requestsAt: ({rank}: Target) => requests[rank!],
    });
    const chosen = (requests: readonly number[]) => {
      const balancer = new LoadBalancer('hall-0', load(requests));
      const all = Array.from({length: 200}, () => balancer.choose(ranks, 0)!);
      return new Set(all.map(one => one.rank));
    };
    const full = ranks.map(() => 6);
    // Rank 9 is slow, so its free slots don't attract requests.
    const others = ranks.map(({rank}) => ([3, 9, 77].includes(rank!) ? 5 : 6));
    expect([...chosen(others)].sort()).toEqual([3, 77]);
    // All 26 of the own hall.
    expect(chosen(full).size).toBe(26);
  });
});

// An idle target would get all requests that wait.
describe('choosing a target whose share rises after a cold period', () => {
  it.each([0.1, 0.5])('gives it a part of the requests: %d', share => {
    random.seed(12);
    const [rising, ...others] = ranks.slice(0, 3);
    const balancer = new LoadBalancer('hall-0', undefined, target =>
      target === rising ? share : 1,
    );
    others.forEach(one => balancer.begin(one.lifetime));
    const chosen = Array.from({length: 1_000}, () =>
      balancer.choose([rising!, ...others], 0),
    );
    const got = chosen.filter(one => one === rising).length / chosen.length;
    expect(got).toBeGreaterThan(0.8 * share);
    expect(got).toBeLessThan(1.2 * share);
    // It takes nothing beyond its part of the room when the others are full.
    others.forEach(({lifetime, slots}) => {
      for (let sent = 1; sent < slots * 1.5; sent += 1) {
        balancer.begin(lifetime);
      }
    });
    for (let sent = 0; sent < Math.ceil(9 * share); sent += 1) {
      expect(balancer.choose([rising!, ...others], 0)).toBe(rising);
      balancer.begin(rising!.lifetime);
    }
    expect(balancer.choose([rising!, ...others], 0)).toBeUndefined();
    // Where the shares of all rise, none is held back.
    expect(balancer.choose([rising!], 0)).toBe(rising);
  });
});
