/** Entries that share one cold target, over a simulated network. */
import * as random from '../random';
import {PeerDirectory} from '../peers/peer-directory';
import {PeerRanking} from '../peers/peer-ranking';
import * as app from './limit-app';
import {LimitCoordinator} from './limit-coordinator';
import {Network, NetworkNode} from './network-kit';
import {PeerReach} from './peer-reach';
import {WarmUpChange, WarmUpTracker} from './warm-up';

const SECOND_MS = 1_000;
const STEP_MS = 10;
const BOUNDS = {overshoot: 1.5, slack: 5};
const SERVICE = 's';
const TARGET = 'target-1';
/** The first discovery of the others, and the handover of the permit issuer. */
const SETTLE_MS = 13_000;

class SimulatedEntry extends NetworkNode {
  readonly directory: PeerDirectory;
  readonly warmUp: WarmUpTracker;
  readonly coordinator: LimitCoordinator;
  readonly changes: WarmUpChange[] = [];

  constructor(
    address: string,
    seeds: readonly string[],
    network: Network<SimulatedEntry>,
    perSecond: number,
  ) {
    super(address);
    this.directory = new PeerDirectory(address, seeds);
    const now = performance.now();
    this.warmUp = new WarmUpTracker(
      {
        bounds: BOUNDS,
        knownProcesses: () => 1 + this.directory.known.length,
        onChange: change => this.changes.push(change),
      },
      now,
    );
    this.warmUp.setServices(
      [{name: SERVICE, coldStartMs: 0, coldPerSecond: perSecond}],
      now,
    );
    this.coordinator = new LimitCoordinator({
      rpc: {call: network.callFrom(this)},
      peers: new PeerRanking(address, this.directory),
      limits: this.warmUp.permits,
      log: {event: () => undefined},
      method: app.borrowCold,
      reach: new PeerReach(at => this.warmUp.countAt(at).known),
      processes: this.warmUp.processes,
      onChange: () => undefined,
    });
    this.coordinator.open({handle: this.handle});
  }

  applyCold(lifetimes: readonly string[]): void {
    const now = performance.now();
    for (const lifetime of lifetimes) {
      const entry = {service: SERVICE, sequence: 1, coldRemainingMs: 600_000};
      this.warmUp.applyEntry({...entry, lifetime}, undefined, now);
    }
  }

  /** Sends a request to the first target that takes one; false if none does. */
  trySend(lifetimes: readonly string[]): boolean {
    const now = performance.now();
    this.warmUp.noteDemand(SERVICE, lifetimes, now);
    const [first] = this.warmUp.filterAvailable(lifetimes, one => one, now);
    if (first !== undefined) {
      this.warmUp.noteSent(first, now);
    }
    return first !== undefined;
  }
}

type View = (all: readonly string[]) => readonly string[];

/** Entries that send to one target whenever they may. */
class Site {
  readonly network = new Network<SimulatedEntry>();
  readonly sentAt: number[] = [];
  readonly addresses: readonly string[];

  constructor(
    readonly perSecond: number,
    count: number,
    private readonly view: View,
  ) {
    this.addresses = Array.from({length: count}, (_, at) => `10.0.${at}.1:7`);
    this.addresses.forEach(address => this.start(address));
  }

  get entries(): SimulatedEntry[] {
    return this.network.all;
  }

  /** Starts an entry, which knows nothing of what one before it has sent. */
  start(address: string, targets: readonly string[] = [TARGET]): void {
    this.network.nodes.get(address)?.coordinator.close();
    const seeds = this.view(this.addresses);
    const entry = new SimulatedEntry(
      address,
      seeds,
      this.network,
      this.perSecond,
    );
    this.network.add(entry).applyCold(targets);
  }

  async run(ms: number): Promise<void> {
    const endsAt = performance.now() + ms;
    while (performance.now() < endsAt) {
      for (const entry of this.entries.filter(one => !one.isFrozen)) {
        if (entry.trySend([TARGET])) {
          this.sentAt.push(performance.now());
        }
      }
      await jest.advanceTimersByTimeAsync(STEP_MS);
    }
  }

  /** Maximum requests in any one second. */
  get maxInSecond(): number {
    let first = 0;
    const counts = this.sentAt.map((at, last) => {
      while (at - this.sentAt[first]! >= SECOND_MS) {
        first += 1;
      }
      return last - first + 1;
    });
    return Math.max(0, ...counts);
  }

  usedShare(from: number, until: number): number {
    const count = this.sentAt.filter(at => at >= from && at < until).length;
    return (count * SECOND_MS) / (this.perSecond * (until - from));
  }

  expectBoundHeld(): void {
    const bound = this.perSecond * BOUNDS.overshoot + BOUNDS.slack;
    expect(this.maxInSecond).toBeLessThanOrEqual(bound);
  }

  close(): void {
    this.entries.forEach(entry => entry.coordinator.close());
  }
}

const all: View = addresses => addresses;
const some: View = addresses => [
  ...addresses.slice(0, 3),
  ...random.sample(addresses, 8),
];
const three: View = addresses => random.sample(addresses, 3);

// Guards against entries whose sends add up to more than a cold target stands:
// with different views of each other, after starts, suspensions and cuts.
describe('entries that send to a cold target', () => {
  let site: Site;

  beforeEach(() => {
    jest.useFakeTimers();
    random.seed(1);
  });

  afterEach(() => {
    site.close();
    jest.useRealTimers();
  });

  const views: ReadonlyArray<readonly [string, View]> = [
    ['all', all],
    ['some', some],
    ['three', three],
  ];

  it.each(
    [32, 5].flatMap(perSecond =>
      [17, 3].flatMap(count =>
        views.map(([name, view]) => [perSecond, count, name, view] as const),
      ),
    ),
  )(
    'keep to the bound and use the rate: %d per second, %d entries that know %s',
    async (perSecond, count, _, view) => {
      site = new Site(perSecond, count, view);
      const startedAt = performance.now();
      await site.run(SETTLE_MS + 8_000);
      site.expectBoundHeld();
      const from = startedAt + SETTLE_MS;
      expect(site.usedShare(from, performance.now())).toBeGreaterThan(0.7);
    },
  );

  it.each([
    [32, 17, 2, 400],
    [32, 14, 5, 300],
    [64, 17, 4, 200],
    [5, 17, 5, 300],
    [5, 3, 5, 300],
  ])(
    'keep to the bound while all restart at once: %d per second, %d entries, %d times each %d ms',
    async (perSecond, count, times, intervalMs) => {
      site = new Site(perSecond, count, all);
      await site.run(SETTLE_MS);
      for (let time = 0; time < times; time += 1) {
        site.addresses.forEach(address => site.start(address));
        await site.run(intervalMs);
      }
      await site.run(3_000);
      site.expectBoundHeld();
    },
  );

  it.each([
    [32, 'all', 1, all],
    [32, 'three', 1, three],
    [32, 'three', 2, three],
    [64, 'three', 2, three],
    [24, 'three', 3, three],
    [5, 'some', 1, some],
    [5, 'three', 1, three],
  ] as const)(
    'keep to the bound through faults: %d per second, know %s, seed %d',
    async (perSecond, _, seed, view) => {
      random.seed(seed);
      site = new Site(perSecond, 17, view);
      await site.run(SETTLE_MS);
      for (let turn = 0; turn < 40; turn += 1) {
        const {address} = random.pick(site.entries);
        const fault = random.integerBelow(3);
        const ms = 300 + random.integerBelow(6_000);
        if (fault === 0) {
          const entry = site.network.nodes.get(address)!;
          entry.isFrozen = true;
          setTimeout(() => (entry.isFrozen = false), ms);
        } else if (fault === 1) {
          site.network.cut(address, ms);
          site.network.nodes
            .get(address)!
            .directory.recordCall(random.pick(site.addresses), false, false);
        } else {
          site.start(address);
        }
        await site.run(random.integerBelow(3_000));
      }
      site.expectBoundHeld();
    },
    30_000,
  );

  // Each part has an issuer of its own, and none knows of the other.
  it.each([
    [5, 17, 1],
    [5, 17, 8],
    [32, 17, 8],
    [5, 3, 1],
    [32, 3, 1],
  ])(
    'keep to the bound while some are cut off: %d per second, %d entries, %d of them',
    async (perSecond, count, cutOff) => {
      site = new Site(perSecond, count, all);
      await site.run(SETTLE_MS);
      const [first, ...others] = site.addresses;
      site.network.split([first!, ...others.slice(0, cutOff - 1)]);
      await site.run(30_000);
      site.network.split([]);
      await site.run(10_000);
      site.expectBoundHeld();
    },
  );

  it('start a service that is all cold without a wait', async () => {
    const LOAD_PER_SECOND = 157;
    site = new Site(32, 14, three);
    const targets = Array.from({length: 64}, (_, at) => `cold-${at}`);
    site.addresses.forEach(address => site.start(address, targets));
    const waiting: number[] = [];
    const waits: number[] = [];
    let arrived = 0;
    for (let ms = 0; ms < 5_000; ms += STEP_MS) {
      for (; arrived * SECOND_MS < ms * LOAD_PER_SECOND; arrived += 1) {
        waiting.push(performance.now());
      }
      const tried = random.sample(site.entries, site.entries.length);
      while (waiting.length > 0 && tried.length > 0) {
        if (tried.pop()!.trySend(random.sample(targets, targets.length))) {
          waits.push(performance.now() - waiting.shift()!);
        }
      }
      await jest.advanceTimersByTimeAsync(STEP_MS);
    }
    expect(waiting).toEqual([]);
    expect(Math.max(...waits)).toBeLessThan(300);
    expect(site.network.calls).toBe(0);
  });
});

describe('the cold period of a target', () => {
  const changes: WarmUpChange[] = [];
  let warmUp: WarmUpTracker;
  const entry = {
    lifetime: TARGET,
    service: SERVICE,
    sequence: 1,
    coldRemainingMs: 4_000,
  };

  beforeEach(() => {
    changes.length = 0;
    warmUp = new WarmUpTracker(
      {
        bounds: BOUNDS,
        knownProcesses: () => 17,
        onChange: change => changes.push(change),
      },
      -60_000,
    );
    const service = {name: SERVICE, coldStartMs: 2_000, coldPerSecond: 32};
    warmUp.setServices([service], 0);
  });

  function kinds(now: number): string[] {
    warmUp.filterAvailable([TARGET], one => one, now);
    return changes.map(({kind}) => kind);
  }

  // A watch that starts again lists unchanged entries, long after they were written.
  it('does not start again when the same entry is read again', () => {
    warmUp.applyEntry(entry, undefined, 0);
    warmUp.applyEntry(entry, entry, 3_000);
    expect(warmUp.perSecond(TARGET, 3_999)).toBe(32);
    expect(kinds(4_000)).toEqual(['cold', 'warm']);
    warmUp.applyEntry(entry, entry, 9_000);
    expect(warmUp.perSecond(TARGET, 9_000)).toBeUndefined();
  });

  it('does not start with an older entry, from a store that was set back', () => {
    const last = {...entry, sequence: 5, coldRemainingMs: 0};
    warmUp.applyEntry(entry, last, 0);
    expect(warmUp.perSecond(TARGET, 0)).toBeUndefined();
  });

  it('starts again with a later entry, then without a request at once', () => {
    warmUp.applyEntry(entry, undefined, 0);
    expect(warmUp.waitMs(TARGET, 0)).toBe(0);
    warmUp.applyEntry(
      {...entry, sequence: 2, coldRemainingMs: 0},
      entry,
      1_000,
    );
    expect(warmUp.perSecond(TARGET, 1_000)).toBeUndefined();
    warmUp.applyEntry({...entry, sequence: 3}, entry, 20_000);
    expect(warmUp.waitMs(TARGET, 20_000)).toBeGreaterThan(0);
    expect(kinds(24_000)).toEqual(['cold', 'warm', 'cold', 'warm']);
    expect(changes[2]).toMatchObject({wasWarm: true, remainingMs: 4_000});
  });

  it('is followed by a rising share over the configured time at most', () => {
    warmUp.applyEntry(entry, undefined, 0);
    const shares = [3_999, 4_000, 5_000, 6_000].map(now =>
      warmUp.shareOf(TARGET, now),
    );
    expect(shares).toEqual([1, 0.1, 0.5, 1]);
  });

  it('ends with the lifetime, and is none without a rate', () => {
    warmUp.applyEntry(entry, undefined, 0);
    warmUp.setServices([], 10);
    expect(warmUp.perSecond(TARGET, 10)).toBeUndefined();
    expect(warmUp.shareOf(TARGET, 4_100)).toBe(1);
    warmUp.applyEntry({...entry, sequence: 2}, entry, 20);
    warmUp.forget(TARGET);
    expect(warmUp.perSecond(TARGET, 30)).toBeUndefined();
    expect(kinds(30)).toEqual(['cold', 'warm']);
  });
});
