/**
 * Entries that share a pool over a simulated network: what they may use together
 * under waves of demand, faults and views that differ.
 */
import {SILENT_LOG} from '../observability/log';
import {Metrics} from '../observability/metrics';
import {PeerDirectory} from '../peers/peer-directory';
import {PeerRanking} from '../peers/peer-ranking';
import * as random from '../random';
import {fail, ok} from '../result';
import * as rendezvous from '../routing/rendezvous';
import type {RpcClient} from '../rpc/client';
import {SharedCapacity} from './shared-capacity';
import {DemandLine, PoolDemand, PoolSource} from './types';

const POOL = 'model group-1';
const STEP_MS = 10;
const SECOND_MS = 1_000;
/** A new pool: first reports, handover, reports after it. */
const SETTLE_MS = 3_000;
/** Mean time between two polls of a peer by each entry. */
const DISCOVERY_MS = 300;
/** Bound for the return under the capacity after a fault. */
const RECOVERY_MS = 2_000;

type Handler = (params: unknown, peer: unknown) => unknown;

/** An entry whose requests are of one account; it starts them when it may. */
class SimulatedEntry extends PoolSource {
  line: DemandLine = {priority: 1, account: '', inFlight: 0, waiting: 0};
  isFrozen = false;
  isDead = false;
  readonly handlers = new Map<string, Handler>();
  readonly directory: PeerDirectory;
  readonly shares: SharedCapacity;
  /** Requests that its callers want to have in flight. */
  private wanted = 0;

  constructor(
    readonly address: string,
    private readonly site: Site,
    seeds: readonly string[],
  ) {
    super();
    this.directory = new PeerDirectory(address, seeds);
    this.shares = new SharedCapacity({
      rpc: {call: site.callFrom(this)},
      peers: new PeerRanking(address, this.directory),
      source: this,
      log: SILENT_LOG,
      metrics: new Metrics(),
      knownEntryCount: () => 1 + this.directory.known.length,
      weightOf: () => 1,
      floorShare: 0.1,
    });
    this.shares.open({
      handle: (method, handler) =>
        void this.handlers.set(method.name, handler as Handler),
    });
  }

  get isRunning(): boolean {
    return !this.isFrozen && !this.isDead;
  }

  get demand(): number {
    return this.line.inFlight + this.line.waiting;
  }

  /** Its share, or what it has in flight above it or without a limit. */
  get mayUse(): number {
    const share = this.shares.shareOf(POOL, performance.now()) ?? 0;
    return Math.max(share, this.line.inFlight);
  }

  demandOf(): PoolDemand {
    return [this.line];
  }

  capacityOf(): number {
    return this.site.capacity;
  }

  want(amount: number, priority = 1, account = ''): void {
    this.wanted = Math.round(amount);
    this.line = {...this.line, priority, account};
  }

  resume(): void {
    this.isFrozen = false;
    this.shares.handleResume();
  }

  step(): void {
    const {line} = this;
    const isEnded = () => random.uniform() < STEP_MS / this.site.requestMs;
    const running = Array.from({length: line.inFlight}, isEnded);
    line.inFlight = running.filter(one => !one).length;
    line.waiting = Math.max(this.wanted - line.inFlight, 0);
    const now = performance.now();
    const share = this.shares.shareOf(POOL, now) ?? Infinity;
    const started = Math.min(line.waiting, Math.max(share - line.inFlight, 0));
    line.inFlight += started;
    line.waiting -= started;
    if (this.demand > 0) {
      this.shares.noteUse(POOL, now);
    }
  }
}

/** Entries, the network between them and what they may use over time. */
class Site {
  readonly entries = new Map<string, SimulatedEntry>();
  capacity = 160;
  /** Mean duration of a request. */
  requestMs = 300;
  lossShare = 0;
  calls = 0;
  /** True for a message that the network drops. */
  isCut: (from: SimulatedEntry, to: SimulatedEntry) => boolean = () => false;
  /**
   * What the running entries may use, over the capacity, without minima of one;
   * and the part of the capacity for which there is demand that is handed out.
   */
  private samples: {at: number; sum: number; handedOut: number}[] = [];

  constructor(count: number, seedsOf?: (all: string[]) => string[]) {
    const all = Array.from({length: count}, (_, at) => `10.0.${at}.1:7`);
    all.forEach(one => this.add(one, seedsOf?.(all) ?? all));
  }

  get all(): SimulatedEntry[] {
    return [...this.entries.values()];
  }

  get allocator(): SimulatedEntry {
    const [first] = rendezvous.rankByKey(POOL, this.all, one => one.address);
    return first!;
  }

  add(address: string, seeds: readonly string[]): SimulatedEntry {
    const entry = new SimulatedEntry(address, this, seeds);
    this.entries.set(address, entry);
    return entry;
  }

  kill(entry: SimulatedEntry): void {
    entry.isDead = true;
    entry.want(0);
    entry.shares.close();
  }

  /** Ends cuts and suspensions, and starts killed entries again. */
  mend(): void {
    this.isCut = () => false;
    const seeds = this.all.map(({address}) => address);
    this.all.filter(one => one.isFrozen).forEach(one => one.resume());
    this.all
      .filter(one => one.isDead)
      .forEach(one => this.add(one.address, seeds));
  }

  callFrom(from: SimulatedEntry): RpcClient['call'] {
    return async (address, method, params, timeoutMs = SECOND_MS) => {
      const startedAt = performance.now();
      this.calls += 1;
      await sleep(1 + random.uniform() * 10);
      const to = this.entries.get(address);
      if (to === undefined || to.isDead) {
        return fail({kind: 'unreachable', sent: false});
      }
      const isLost = (a: SimulatedEntry, b: SimulatedEntry) =>
        a.isFrozen ||
        b.isFrozen ||
        a.isDead ||
        this.isCut(a, b) ||
        random.uniform() < this.lossShare;
      if (!isLost(from, to)) {
        const result = await to.handlers.get(method.name)!(params, {});
        await sleep(1 + random.uniform() * 10);
        if (!isLost(to, from)) {
          return ok(structuredClone(result) as never);
        }
      }
      await sleep(Math.max(timeoutMs - (performance.now() - startedAt), 0));
      while (from.isFrozen) {
        await sleep(STEP_MS);
      }
      return fail({kind: 'unreachable', sent: true});
    };
  }

  async run(ms: number, onStep: (now: number) => void = () => {}) {
    const endsAt = performance.now() + ms;
    while (performance.now() < endsAt) {
      onStep(performance.now());
      if (random.uniform() < STEP_MS / DISCOVERY_MS) {
        this.discoverPeers();
      }
      this.all.filter(one => one.isRunning).forEach(one => one.step());
      this.measure();
      await jest.advanceTimersByTimeAsync(STEP_MS);
    }
  }

  /** Each entry polls a peer, which is how entries learn of others. */
  private discoverPeers(): void {
    for (const entry of this.all.filter(one => one.isRunning)) {
      const [address] = entry.directory.chooseRandom();
      const peer = this.entries.get(address ?? '');
      const isReached = peer?.isRunning && !this.isCut(entry, peer);
      if (isReached && !this.isCut(peer, entry)) {
        peer.directory.add([entry.address]);
        entry.directory.add(peer.directory.chooseToShare());
      }
    }
  }

  close(): void {
    this.all.forEach(entry => entry.shares.close());
  }

  private measure(): void {
    const active = this.all.filter(one => one.isRunning && one.demand > 0);
    const total = (of: (one: SimulatedEntry) => number) =>
      active.reduce((sum, one) => sum + of(one), 0);
    const demand = total(one => one.demand);
    const usable = Math.min(this.capacity, demand);
    const handedOut = total(one => Math.min(one.demand, one.mayUse));
    this.samples.push({
      at: performance.now(),
      sum: total(one => (one.mayUse > 1 ? one.mayUse : 0)) / this.capacity,
      handedOut: usable > 0 ? handedOut / usable : 1,
    });
  }

  maxSum(from: number, until = Infinity): number {
    const counted = this.samples.filter(({at}) => at >= from && at < until);
    return Math.max(...counted.map(({sum}) => sum));
  }

  minHandedOut(from: number, until = Infinity): number {
    const counted = this.samples.filter(({at}) => at >= from && at < until);
    return Math.min(...counted.map(({handedOut}) => handedOut));
  }

  /** The capacity is kept, and what entries have demand for is handed out. */
  expectShared(from: number, until?: number, handedOutFrom = from): void {
    expect(this.maxSum(from, until)).toBeLessThanOrEqual(1);
    expect(this.minHandedOut(handedOutFrom, until)).toBeGreaterThan(0.85);
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

let site: Site;

beforeEach(() => {
  jest.useFakeTimers();
  random.seed(1);
});

afterEach(() => {
  site.close();
  jest.useRealTimers();
});

/** A wave of demand over three halls, nearly in phase; larger at some entries. */
function wave(now: number): void {
  site.all.forEach((one, at) => {
    const phase = (2 * Math.PI * now) / 17_000 + (at % 3) * 0.2;
    const size = (1 + (at % 5)) / 3;
    one.want(11 * size * (1 + 0.55 * Math.sin(phase)));
  });
}

/** All entries want more than the capacity together. */
function overload(): void {
  const running = site.all.filter(one => one.isRunning);
  const mean = (1.5 * site.capacity) / running.length;
  running.forEach((one, at) => one.want(mean * (0.5 + at / running.length)));
}

function isAmongFirst(entry: SimulatedEntry): boolean {
  return site.all.indexOf(entry) < 5;
}

describe('entries that share a pool', () => {
  it('keep the capacity and use it under a wave in phase over three halls', async () => {
    site = new Site(17);
    const from = performance.now() + SETTLE_MS;
    await site.run(40_000, wave);
    site.expectShared(from);
    // 16 entries report five times per second.
    expect(site.calls / 40).toBeLessThan(100);
  });

  it('hand over capacity within half a second of a change of demand', async () => {
    site = new Site(17);
    site.requestMs = 50;
    const wantAt = (busy: number) => () =>
      site.all.forEach((one, at) => one.want(at % 3 === busy ? 30 : 3));
    await site.run(SETTLE_MS, wantAt(0));
    for (const busy of [1, 2, 0, 1]) {
      const changedAt = performance.now();
      await site.run(3_000, wantAt(busy));
      expect(site.maxSum(changedAt)).toBeLessThanOrEqual(1);
      expect(site.minHandedOut(changedAt + 500)).toBeGreaterThan(0.85);
    }
  });

  it('give the urgent priority what it asks for, and the other a tenth', async () => {
    site = new Site(3);
    const [urgent, ...others] = site.all;
    const offer = (amount: number) => () => {
      urgent!.want(amount, 0);
      others.forEach(one => one.want(150, 2));
    };
    await site.run(SETTLE_MS, offer(60));
    expect(urgent!.line.inFlight).toBeGreaterThanOrEqual(0.9 * 60);
    await site.run(SETTLE_MS, offer(600));
    const rest = others.reduce((sum, one) => sum + one.line.inFlight, 0);
    expect(rest).toBeGreaterThanOrEqual(0.1 * site.capacity);
    expect(urgent!.line.inFlight).toBeGreaterThanOrEqual(0.8 * site.capacity);
  });

  it('let an entry with a sudden request start it at once, and more soon', async () => {
    site = new Site(17);
    const idle = site.all[4]!;
    await site.run(SETTLE_MS + 1_000, () => {
      overload();
      idle.want(0);
    });
    const startedAt = performance.now();
    idle.want(20);
    await site.run(STEP_MS);
    expect(idle.line.inFlight).toBeGreaterThanOrEqual(1);
    await site.run(490);
    // Its part is 12 of 160.
    expect(idle.mayUse).toBeGreaterThanOrEqual(11);
    expect(site.maxSum(startedAt)).toBeLessThanOrEqual(1);
  });

  it('make no calls while the pool is not short', async () => {
    site = new Site(17);
    await site.run(10_000, () => site.all.forEach(one => one.want(5)));
    expect(site.calls).toBe(0);
  });

  it.each<[string, (one: SimulatedEntry) => unknown]>([
    ['killed', one => site.kill(one)],
    ['suspended', one => (one.isFrozen = true)],
    ['cut off', one => (site.isCut = (a, b) => a === one || b === one)],
    ['unreachable', one => (site.isCut = (_, b) => b === one)],
    ['not able to call', one => (site.isCut = a => a === one)],
    [
      'cut off from some entries',
      one =>
        (site.isCut = (a, b) =>
          (a === one && isAmongFirst(b)) || (b === one && isAmongFirst(a))),
    ],
    [
      'cut off with some entries',
      one =>
        (site.isCut = (a, b) =>
          (a === one || isAmongFirst(a)) !== (b === one || isAmongFirst(b))),
    ],
  ])('stay bounded while the allocator is %s', async (_, fault) => {
    site = new Site(17);
    await site.run(SETTLE_MS, overload);
    const brokenAt = performance.now();
    fault(site.allocator);
    await site.run(8_000, overload);
    const mendedAt = performance.now();
    site.mend();
    await site.run(6_000, overload);
    expect(site.maxSum(brokenAt)).toBeLessThan(2);
    const from = brokenAt + RECOVERY_MS;
    // The last shares of entries that are cut off are kept free until then.
    site.expectShared(from, mendedAt, from + SECOND_MS);
    site.expectShared(mendedAt + RECOVERY_MS);
  });

  it('stay bounded if their number doubles and new ones know three others', async () => {
    site = new Site(17);
    await site.run(SETTLE_MS, overload);
    const joinedAt = performance.now();
    const seeds = site.all.slice(0, 3).map(({address}) => address);
    for (let at = 0; at < 17; at += 1) {
      site.add(`10.1.${at}.1:7`, seeds);
    }
    await site.run(8_000, overload);
    expect(site.maxSum(joinedAt)).toBeLessThan(2);
    site.expectShared(joinedAt + RECOVERY_MS);
  });

  it('stay bounded if each knows only some of the others', async () => {
    site = new Site(17, all => [...all.slice(0, 2), ...random.sample(all, 3)]);
    const startedAt = performance.now();
    await site.run(10_000, overload);
    expect(site.maxSum(startedAt)).toBeLessThan(2);
    site.expectShared(startedAt + SETTLE_MS);
  });

  it('stay bounded if one in ten messages is lost', async () => {
    site = new Site(12);
    site.lossShare = 0.1;
    const startedAt = performance.now();
    await site.run(15_000, overload);
    expect(site.maxSum(startedAt)).toBeLessThan(2);
    expect(site.maxSum(startedAt + SETTLE_MS)).toBeLessThan(1.1);
    expect(site.minHandedOut(startedAt + SETTLE_MS)).toBeGreaterThan(0.85);
  });

  // Random, overlapping faults: suspensions, cuts, restarts and new entries.
  it.each(Array.from({length: 12}, (_, seed) => seed))(
    'stay bounded under random faults: seed %d',
    async seed => {
      random.seed(seed);
      site = new Site(8, all => all.slice(0, 4));
      const startedAt = performance.now();
      await site.run(SETTLE_MS, overload);
      const seeds = site.all.slice(0, 3).map(({address}) => address);
      for (let turn = 0; turn < 8; turn += 1) {
        const faulty = random.pick(site.all);
        const fault = random.integerBelow(4);
        if (fault === 0 && faulty.isRunning) {
          faulty.isFrozen = true;
          const frozenMs = 300 + random.integerBelow(4_000);
          setTimeout(() => faulty.resume(), frozenMs);
        } else if (fault === 1) {
          const cut = random.sample(site.all, 3);
          const isOneWay = random.uniform() < 0.5;
          site.isCut = (a, b) =>
            cut.includes(a) !== cut.includes(b) &&
            (!isOneWay || cut.includes(a));
        } else if (fault === 2) {
          site.kill(faulty);
          site.add(faulty.address, seeds);
        } else {
          site.add(`10.2.${turn}.1:7`, [random.pick(site.all).address]);
        }
        await site.run(random.integerBelow(2_500), overload);
      }
      site.mend();
      await site.run(5_000, overload);
      const mendedAt = performance.now();
      await site.run(3_000, overload);
      expect(site.maxSum(startedAt)).toBeLessThan(2);
      site.expectShared(mendedAt);
    },
  );
});

describe('entries that share a pool of few requests', () => {
  /** Of all entries, as three plain targets of six slots give. */
  const FEW = 22;
  const BURST_MEAN = 2;

  beforeEach(() => {
    site = new Site(17);
    site.capacity = FEW;
    site.requestMs = 43;
  });

  /** One to three requests at once at an entry; one in flight in all on average. */
  function offerLittle(): void {
    const requestMs = site.requestMs + STEP_MS / 2;
    const startShare = STEP_MS / (site.all.length * BURST_MEAN * requestMs);
    site.all.forEach(one => {
      const isIdle = one.line.inFlight === 0 && !one.isDead;
      const isBurst = isIdle && random.uniform() < startShare;
      one.want(isBurst ? 1 + random.integerBelow(3) : 0);
    });
  }

  function offerTwice(): void {
    site.all.forEach((one, at) => one.want(at % 5 < 3 ? 3 : 2));
  }

  // Guards against entries that take their own requests for those of all, and
  // then limit themselves to an equal part of a pool that is nearly empty.
  it.each<[string, (one: SimulatedEntry) => unknown]>([
    ['is new', () => {}],
    ['is killed', one => site.kill(one)],
    ['is suspended', one => (one.isFrozen = true)],
    ['is cut off', one => (site.isCut = (a, b) => a === one || b === one)],
    ['and all others are cut off', () => (site.isCut = () => true)],
  ])(
    'limit no entry without a shortage if the allocator %s',
    async (_, fault) => {
      const limited: number[] = [];
      const totals: number[] = [];
      let peak = 0;
      const onStep = () => {
        const {all} = site;
        limited.push(...all.flatMap(one => one.line.waiting || []));
        const inFlight = all.map(one => one.line.inFlight);
        totals.push(inFlight.reduce((sum, one) => sum + one, 0));
        peak = Math.max(peak, ...inFlight);
        offerLittle();
      };
      await site.run(5_000, onStep);
      fault(site.allocator);
      await site.run(8_000, onStep);
      site.mend();
      await site.run(5_000, onStep);
      expect(limited).toEqual([]);
      expect(peak).toBe(3);
      const mean = totals.reduce((sum, one) => sum + one, 0) / totals.length;
      expect(Math.abs(mean - 1)).toBeLessThan(0.25);
    },
  );

  // Guards against an entry without an allocator that limits itself not at all.
  it('are limited before any answer by what they see themselves', () => {
    const [entry] = site.all;
    const shareWith = (inFlight: number, waiting: number, isFull = false) => {
      entry!.line = {...entry!.line, inFlight, waiting};
      const now = performance.now();
      entry!.shares.noteUse(POOL, now, isFull);
      return entry!.shares.shareOf(POOL, now);
    };
    expect(shareWith(13, 0)).toBe(undefined);
    expect(shareWith(14, 0)).toBe(1);
    expect(shareWith(2, 1)).toBe(undefined);
    expect(shareWith(2, 1, true)).toBe(1);
  });

  // Guards against a shortage that no single entry can see.
  it('are limited within half a second of a demand of twice the capacity', async () => {
    const expectLimited = async () => {
      await site.run(500, offerTwice);
      const now = performance.now();
      const limits = site.all.map(one => one.shares.shareOf(POOL, now));
      const sum = limits.reduce<number>((all, one) => all + (one ?? NaN), 0);
      expect(sum).toBeLessThanOrEqual(FEW);
      await site.run(500, offerTwice);
      const inFlight = site.all.map(one => one.line.inFlight);
      expect(inFlight.reduce((all, one) => all + one, 0)).toBeLessThanOrEqual(
        FEW,
      );
    };
    await expectLimited();
    await site.run(8_000, offerLittle);
    await expectLimited();
  });
});
