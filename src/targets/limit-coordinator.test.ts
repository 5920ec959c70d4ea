/** Entries that share the limit of one target over a simulated network. */
import * as random from '../random';
import type {Log} from '../observability/log';
import {PeerDirectory} from '../peers/peer-directory';
import {PeerRanking} from '../peers/peer-ranking';
import * as app from './limit-app';
import {RateLimitTracker} from './rate-limit-tracker';
import {LimitCoordinator} from './limit-coordinator';
import {Network, NetworkNode} from './network-kit';

const TARGET = 'target-1';
const WINDOW_MS = 4_000;
const SECOND_MS = 1_000;
const SETTLE_MS = 3_000;
/** An entry is counted from this time after its first request. */
const LIMIT_GRACE_MS = 500;
const STEP_MS = 10;

/** An entry that sends whenever it may. */
class SimulatedEntry extends NetworkNode {
  readonly limits = new RateLimitTracker();
  /** Its requests count towards the limit from this monotonic time on. */
  countedFrom = -Infinity;
  /** Monotonic time of its first request, which tells it the limit. */
  firstSentAt = Infinity;
  readonly book: PeerDirectory;
  readonly exchange: LimitCoordinator;

  constructor(
    address: string,
    seeds: readonly string[],
    network: Network<SimulatedEntry>,
  ) {
    super(address);
    this.book = new PeerDirectory(address, seeds);
    this.exchange = new LimitCoordinator({
      rpc: {call: network.callFrom(this)},
      peers: new PeerRanking(address, this.book),
      limits: this.limits,
      log: {event: () => undefined} satisfies Log,
      method: app.borrow,
      onChange: () => undefined,
    });
    this.exchange.open({handle: this.handle});
  }

  /** Excludes its requests during a fault and SETTLE_MS after it. */
  excludeFor(ms: number): void {
    const countedFrom = performance.now() + ms + SETTLE_MS;
    this.countedFrom = Math.max(this.countedFrom, countedFrom);
  }
}

/** Entries and the times of their counted requests. */
class Site {
  readonly network = new Network<SimulatedEntry>();
  readonly sent: number[] = [];
  perSecond = 2;
  private readonly addresses: string[];

  constructor(count: number, seedsOf: (all: readonly string[]) => string[]) {
    this.addresses = Array.from({length: count}, (_, at) => `10.0.${at}.1:7`);
    this.addresses.forEach(address =>
      this.add(address, seedsOf(this.addresses)),
    );
  }

  get all(): SimulatedEntry[] {
    return this.network.all;
  }

  add(address: string, seeds: readonly string[]): SimulatedEntry {
    return this.network.add(new SimulatedEntry(address, seeds, this.network));
  }

  /** Disconnects an entry. */
  cut(address: string, ms: number): void {
    this.network.cut(address, ms);
    this.network.nodes.get(address)!.excludeFor(ms);
  }

  async run(ms: number, perEntryASecond = 20): Promise<void> {
    const endsAt = performance.now() + ms;
    while (performance.now() < endsAt) {
      for (const entry of this.all) {
        const isDue =
          random.uniform() < (perEntryASecond * STEP_MS) / SECOND_MS;
        if (isDue && !entry.isFrozen) {
          this.sendOne(entry);
        }
      }
      await jest.advanceTimersByTimeAsync(STEP_MS);
    }
  }

  close(): void {
    this.all.forEach(entry => entry.exchange.close());
  }

  private sendOne(entry: SimulatedEntry): void {
    const now = performance.now();
    entry.limits.requestPermits([TARGET], now);
    if (entry.limits.waitMs(TARGET, now) > 0) {
      return;
    }
    entry.limits.noteSent(TARGET, now);
    const limit = {kind: 'limit', perSecond: this.perSecond} as const;
    entry.limits.applyAdvertised(TARGET, limit, now, now + 1);
    if (now >= entry.countedFrom && now >= entry.firstSentAt + LIMIT_GRACE_MS) {
      this.sent.push(now);
    }
    entry.firstSentAt = Math.min(entry.firstSentAt, now);
  }
}

function expectLimitHeld(site: Site, from: number): void {
  const counted = site.sent.filter(at => at >= from);
  const maxCount = Math.max(
    0,
    ...counted.map(
      start =>
        counted.filter(at => at >= start && at - start < WINDOW_MS).length,
    ),
  );
  const allowed = (1.5 * site.perSecond * WINDOW_MS) / SECOND_MS + 5;
  expect(maxCount).toBeLessThanOrEqual(allowed);
}

function usedShare(site: Site, from: number, until: number): number {
  const got = site.sent.filter(at => at >= from && at < until).length;
  return (got * SECOND_MS) / (site.perSecond * (until - from));
}

describe('entries that send to a rate-limited target', () => {
  let site: Site;

  beforeEach(() => jest.useFakeTimers());

  afterEach(() => {
    site.close();
    jest.useRealTimers();
  });

  it.each([
    [1, 2],
    [4, 1],
    [35, 0.5],
    [35, 2],
    [35, 40],
    [100, 3],
  ])(
    'keep the limit together and use it: %d entries, %d per second',
    async (count, perSecond) => {
      random.seed(count);
      site = new Site(count, all => [...all]);
      site.perSecond = perSecond;
      const startedAt = performance.now();
      await site.run(SETTLE_MS + 20_000);
      const from = startedAt + SETTLE_MS;
      expectLimitHeld(site, from);
      const used = usedShare(site, from + SECOND_MS, performance.now());
      expect(used).toBeGreaterThan(0.85);
    },
  );

  it('keep the limit if each knows only some of the others', async () => {
    random.seed(7);
    site = new Site(35, all => [...all.slice(0, 3), ...random.sample(all, 8)]);
    const startedAt = performance.now();
    await site.run(SETTLE_MS + 10_000);
    expectLimitHeld(site, startedAt + SETTLE_MS);
    const from = performance.now() - 6_000;
    expect(usedShare(site, from, performance.now())).toBeGreaterThan(0.85);
  });

  it('keep the limit if their number doubles and new ones know three others', async () => {
    random.seed(8);
    site = new Site(20, all => [...all]);
    const startedAt = performance.now();
    await site.run(SETTLE_MS + 5_000);
    const seeds = site.all.slice(0, 3).map(one => one.address);
    for (let at = 0; at < 20; at += 1) {
      site.add(`10.1.${at}.1:7`, seeds);
    }
    await site.run(15_000);
    expectLimitHeld(site, startedAt + SETTLE_MS);
    const from = performance.now() - 8_000;
    expect(usedShare(site, from, performance.now())).toBeGreaterThan(0.85);
  });

  it.each([1_200, 3_000, 9_000])(
    'keep the limit if the issuer is suspended for %d ms',
    async frozenMs => {
      random.seed(frozenMs);
      site = new Site(6, all => [...all]);
      const startedAt = performance.now();
      await site.run(SETTLE_MS + 4_000);
      // Each in turn, so that the issuer is among them.
      for (const entry of site.all) {
        entry.isFrozen = true;
        entry.excludeFor(frozenMs);
        await site.run(frozenMs);
        entry.isFrozen = false;
        await site.run(SETTLE_MS + 2_000);
      }
      expectLimitHeld(site, startedAt + SETTLE_MS);
      const used = usedShare(site, startedAt + SETTLE_MS, performance.now());
      expect(used).toBeGreaterThan(0.5);
    },
  );

  it('keep the limit and use it if one is disconnected', async () => {
    random.seed(9);
    site = new Site(6, all => [...all]);
    const startedAt = performance.now();
    await site.run(SETTLE_MS + 4_000);
    for (const {address} of site.all) {
      site.cut(address, 8_000);
      await site.run(8_000 + SETTLE_MS);
    }
    expectLimitHeld(site, startedAt + SETTLE_MS);
    const used = usedShare(site, startedAt + SETTLE_MS, performance.now());
    expect(used).toBeGreaterThan(0.6);
  });

  it('keep the limit if one in ten calls is lost', async () => {
    random.seed(10);
    site = new Site(12, all => [...all]);
    const startedAt = performance.now();
    await site.run(SETTLE_MS);
    site.network.lossShare = 0.1;
    await site.run(20_000);
    expectLimitHeld(site, startedAt + SETTLE_MS);
    const used = usedShare(site, startedAt + SETTLE_MS, performance.now());
    expect(used).toBeGreaterThan(0.5);
  });

  // Random, overlapping faults.
  it.each(Array.from({length: 50}, (_, seed) => seed))(
    'keep the limit under random faults: seed %d',
    async seed => {
      random.seed(seed);
      site = new Site(8, all => all.slice(0, 3));
      site.perSecond = random.pick([0.5, 1, 2, 5]);
      const startedAt = performance.now();
      await site.run(SETTLE_MS + 4_000);
      for (let turn = 0; turn < 12; turn += 1) {
        const faulty = random.pick(site.all);
        const {address} = faulty;
        const fault = random.integerBelow(4);
        const lastsMs = 300 + random.integerBelow(6_000);
        if (fault === 0) {
          faulty.isFrozen = true;
          faulty.excludeFor(lastsMs);
          setTimeout(() => (faulty.isFrozen = false), lastsMs);
        } else if (fault === 1) {
          site.cut(address, lastsMs);
        } else if (fault === 2) {
          faulty.exchange.close();
          const seeds = site.all.slice(0, 3).map(one => one.address);
          site.add(address, seeds).excludeFor(0);
        } else {
          site.add(`10.2.${turn}.1:7`, [site.all[0]!.address]);
        }
        await site.run(random.integerBelow(4_000));
      }
      await site.run(8_000);
      expectLimitHeld(site, startedAt + SETTLE_MS);
    },
  );

  it('make no calls without a limited target', async () => {
    random.seed(11);
    site = new Site(4, all => [...all]);
    site.all.forEach(entry =>
      entry.limits.requestPermits([TARGET], performance.now()),
    );
    await jest.advanceTimersByTimeAsync(5_000);
    expect(site.network.calls).toBe(0);
  });
});
