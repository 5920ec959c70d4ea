import {RpcServer} from '../rpc/server';
import {RpcClient} from '../rpc/client';
import * as httpServer from '../http/server';
import {SILENT_LOG} from '../observability/log';
import * as app from './app';
import {BranchHead, MAX_BRANCHES} from './branch';
import {MapCache} from './map-cache';
import {
  GroupClient,
  Member,
  PLANNING_READ,
  MAX_SAMPLED_RANKS,
} from './group-client';
import * as packing from './packing';
import {RankAgent} from './rank-agent';
import * as types from './types';
import {ok} from '../result';

const EXPERTS = 6;
const HALLS = 3;

/** Records its orders; its counters grow at each reading. */
class FakeEngine extends types.Engine {
  readonly orders: types.Order[] = [];
  private prepared: number | null = null;
  private readings = 0;

  constructor(
    private readonly rank: number,
    private readonly size: number,
  ) {
    super();
  }

  async state() {
    return ok({
      group: 'g',
      epoch: 1,
      rank: this.rank,
      size: this.size,
      isOpen: true,
      step: 4,
      running: 0,
      waiting: 0,
      mapVersion: 0,
      prepared: this.prepared,
      armed: null,
      held: null,
      slowness: 1,
    });
  }

  async counts() {
    this.readings += 1;
    const values = Array.from(
      {length: EXPERTS},
      (_, expert) => this.readings * expert * 10,
    );
    return ok({born: undefined, values});
  }

  async heldExperts() {
    return ok({version: 0, experts: [[this.rank]]});
  }

  async order(order: types.Order): Promise<types.OrderResult> {
    this.orders.push(order);
    if (order.kind === 'prepare') {
      this.prepared = order.version;
    }
    return 'done';
  }

  close(): void {}
}

/** Stops the clock until it is advanced; sockets go on. */
function pauseClock(): void {
  const now = performance.now();
  jest.useFakeTimers({doNotFake: ['nextTick', 'setImmediate']});
  // The fake clock starts at the current time of the real one.
  jest.advanceTimersByTime(now - performance.now());
}

/** Unaffected by `pauseClock`. */
const realSetTimeout = setTimeout;
const realClearTimeout = clearTimeout;
/** Well above the time that a reading without a timeout takes. */
const STUCK_MS = 20_000;

/**
 * The promise's value while the clock is stopped; undefined if it needs a
 * timer.
 */
async function withoutWaiting<T>(promise: Promise<T>): Promise<T | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const stuck = new Promise<undefined>(resolve => {
    timer = realSetTimeout(() => resolve(undefined), STUCK_MS);
  });
  try {
    return await Promise.race([promise, stuck]);
  } finally {
    realClearTimeout(timer);
  }
}

interface Sidecar {
  readonly member: Member;
  readonly engine: FakeEngine;
  readonly agent: RankAgent;
  readonly client: RpcClient;
  readonly mapCache: MapCache;
  /** By target: engines of the other ranks that it ordered. */
  readonly others: ReadonlyMap<string, FakeEngine>;
  /** Stops answering. */
  stall(): void;
  close(): Promise<void>;
}

async function openSidecar(rank: number, size: number): Promise<Sidecar> {
  const engine = new FakeEngine(rank, size);
  const others = new Map<string, FakeEngine>();
  let isStalled = false;
  const agent = new RankAgent(
    engine,
    target => {
      const other = new FakeEngine(Number(target.split('-')[1]), size);
      others.set(target, other);
      return other;
    },
    SILENT_LOG,
  );
  const client = new RpcClient();
  const mapCache = new MapCache();
  const head = new BranchHead(agent, mapCache, client);
  const rpc = new RpcServer(SILENT_LOG);
  rpc.handle(app.read, async call => {
    const {ranks, growth} = await head.read(call);
    return {ranks: [...ranks], growth: growth && packing.packGrowth(growth)};
  });
  rpc.handle(app.order, async ({term, order, members}) => ({
    results: await head.order(term, order, members),
  }));
  rpc.handle(app.orderOthers, async ({term, targets, order}) => {
    const read = app.orderFromWire(order, mapCache);
    return {
      results:
        typeof read === 'string'
          ? targets.map(() => 'refused' as const)
          : await agent.orderOthers(term, targets, read),
    };
  });
  const listener = await httpServer.listen(
    '127.0.0.1:0',
    async (req, res) => {
      if (!isStalled) {
        await rpc.handleRequest(req, res);
      }
    },
    () => undefined,
  );
  return {
    member: {
      target: `target-${rank}`,
      sidecar: listener.address,
      hall: `hall-${rank % HALLS}`,
    },
    engine,
    agent,
    client,
    mapCache,
    others,
    stall: () => (isStalled = true),
    close: async () => {
      client.close();
      await listener.close();
    },
  };
}

describe.each([5, 30, 129])('the client of a group of %i ranks', size => {
  let sidecars: Sidecar[];
  let group: GroupClient;
  let rpc: RpcClient;
  let term: number;
  /** By target: engines that the client ordered directly. */
  let direct: Map<string, FakeEngine>;

  beforeEach(async () => {
    sidecars = await Promise.all(
      Array.from({length: size}, (_, rank) => openSidecar(rank, size)),
    );
    rpc = new RpcClient();
    term = 7;
    direct = new Map();
    group = new GroupClient({
      rpc,
      term: () => term,
      periodMs: () => 100,
      view: () => undefined,
      makeEngine: target => {
        const rank = Number(target.split('-')[1]);
        const engine = new FakeEngine(rank, size);
        direct.set(target, engine);
        return engine;
      },
    });
    group.setMembers(sidecars.map(one => ({...one.member})));
  });

  afterEach(async () => {
    jest.useRealTimers();
    rpc.close();
    group.close();
    await Promise.all(sidecars.map(one => one.close()));
  });

  const growthOptions = PLANNING_READ;

  /** Number of ranks whose counters are read. */
  const sampled = Math.ceil(size / Math.ceil(size / MAX_SAMPLED_RANKS));

  it('reads every rank, and the growth of all ranks or of a sample', async () => {
    await group.read(growthOptions);
    const reading = await group.read(growthOptions);
    expect(reading.ranks.size).toBe(size);
    expect(reading.isDeposed).toBe(false);
    const sum = [...reading.growth!];
    sum.forEach((value, expert) =>
      expect(Math.abs(value - sampled * expert * 10)).toBeLessThan(sampled),
    );
  });

  it('calls each hall once per tree, and bounds the calls of each sidecar', async () => {
    await group.read(growthOptions);
    const called = jest.spyOn(rpc, 'call');
    const forwarded = sidecars.map(one => jest.spyOn(one.client, 'call'));
    await group.read(growthOptions);
    const trees = sampled < size ? 2 : 1;
    expect(called).toHaveBeenCalledTimes(HALLS * trees);
    forwarded.forEach(spy =>
      expect(spy.mock.calls.length).toBeLessThanOrEqual(MAX_BRANCHES),
    );
    const total = forwarded.reduce(
      (sum, spy) => sum + spy.mock.calls.length,
      0,
    );
    expect(total + HALLS * trees).toBe(size);
  });

  it('orders every rank once, with results in the order of the ranks', async () => {
    const reading = await group.readAll();
    const ranks = group.ranksOf(reading)!;
    const order: types.Order = {kind: 'hold', epoch: 1, step: 9};
    expect(await ranks.order(ranks.all, order)).toEqual(
      sidecars.map(() => 'done'),
    );
    sidecars.forEach(one => expect(one.engine.orders).toEqual([order]));
    await ranks.order([3], {kind: 'release', epoch: 1, step: 9});
    expect(sidecars[3]!.engine.orders.length).toBe(2);
  });

  it('still reaches the ranks after the list of members was set again', async () => {
    const ranks = group.ranksOf(await group.readAll())!;
    group.setMembers(sidecars.map(one => ({...one.member})));
    const order: types.Order = {kind: 'hold', epoch: 1, step: 9};
    const results = await ranks.order(ranks.all, order);
    expect(new Set(results)).toEqual(new Set(['done']));
    sidecars.forEach(one => expect(one.engine.orders.length).toBe(1));
  });

  it('reads the others and orders the rank directly if a branch head is gone', async () => {
    const ranks = group.ranksOf(await group.readAll())!;
    await sidecars[0]!.close();
    const reading = await group.read(growthOptions);
    expect(reading.ranks.size).toBe(size - 1);
    const order: types.Order = {kind: 'hold', epoch: 1, step: 9};
    const results = await ranks.order(ranks.all, order);
    expect(new Set(results)).toEqual(new Set(['done']));
    expect(direct.get('target-0')!.orders).toEqual([order]);
    sidecars
      .slice(1)
      .forEach(one => expect(one.engine.orders).toEqual([order]));
  });

  it('learns that a sidecar has heard a newer planner', async () => {
    const ranks = group.ranksOf(await group.readAll())!;
    await sidecars[2]!.agent.read(9, 100, growthOptions);
    const reading = await group.read(growthOptions);
    expect(reading.isDeposed).toBe(true);
    const order: types.Order = {kind: 'hold', epoch: 1, step: 9};
    expect((await ranks.order(ranks.all, order))[2]).toBe('deposed');
    expect(sidecars[2]!.engine.orders).toEqual([]);
  });

  const map: types.ExpertMap = [
    Array.from({length: size}, (_, rank) => [rank % EXPERTS]),
  ];
  function prepare(
    version: number,
    base: types.VersionedMap,
    prepared: types.ExpertMap = map,
  ): types.Order {
    const times = {expectedMs: 0, patienceMs: 5_000};
    return {kind: 'prepare', epoch: 1, version, map: prepared, base, ...times};
  }
  const first = packing.initialMap({sets: 1, ranks: size, experts: EXPERTS});

  it('sends a map as a difference, and in full where the base is missing', async () => {
    const ranks = group.ranksOf(await group.readAll())!;
    const order = prepare(5, {version: 0, map: first});
    const firstResults = await ranks.order(ranks.all, order);
    expect(new Set(firstResults)).toEqual(new Set(['done']));
    const next = map.map(held =>
      held.map((experts, rank) => (rank === 1 ? [0, 1, 2] : [...experts])),
    );
    sidecars[2]!.mapCache.clear();
    const nextOrder = prepare(6, {version: 5, map}, next);
    const results = await ranks.order(ranks.all, nextOrder);
    expect(new Set(results)).toEqual(new Set(['done']));
    for (const {engine} of sidecars) {
      const maps = engine.orders.flatMap(one =>
        one.kind === 'prepare' ? [one.map] : [],
      );
      expect(maps).toEqual([map, next]);
    }
  });

  it('orders remotely without any sidecar ordering its own rank', async () => {
    const ranks = group.ranksOf(await group.readAll())!;
    const order: types.Order = {kind: 'arm', epoch: 1, version: 5, step: 9};
    const results = await ranks.orderRemotely(ranks.all, order);
    expect(results).toEqual(sidecars.map(() => 'done'));
    sidecars.forEach(one => expect(one.engine.orders).toEqual([]));
    const counts = new Map<string, number>();
    direct.forEach((engine, target) =>
      counts.set(target, engine.orders.length),
    );
    sidecars.forEach(({others, member}) => {
      expect(others.get(member.target)).toBeUndefined();
      others.forEach((engine, target) =>
        counts.set(target, (counts.get(target) ?? 0) + engine.orders.length),
      );
    });
    expect([...counts.values()]).toEqual(sidecars.map(() => 1));
    const maxOrdered = Math.max(
      ...sidecars.map(one => one.others.size),
      direct.size,
    );
    const limit = Math.max(Math.ceil(Math.sqrt(size)), MAX_BRANCHES);
    expect(maxOrdered).toBeLessThanOrEqual(limit);
  });

  it('orders every rank remotely although a helper does not answer', async () => {
    const ranks = group.ranksOf(await group.readAll())!;
    await sidecars[0]!.close();
    const order: types.Order = {kind: 'arm', epoch: 1, version: 5, step: 9};
    const results = await ranks.orderRemotely(ranks.all, order);
    expect(results).toEqual(sidecars.map(() => 'done'));
  });

  it('delays only one reading for a sidecar that goes silent', async () => {
    await group.read(growthOptions);
    sidecars[1]!.stall();
    await group.read(growthOptions);
    pauseClock();
    // Some rounds retry the silent sidecar, which must not delay the reading.
    for (let round = 0; round < 6; round += 1) {
      const reading = await withoutWaiting(group.read(growthOptions));
      expect(reading?.ranks.size).toBe(size - 1);
      jest.advanceTimersByTime(200);
    }
  });

  it('reads the others within 1.5 s while a whole hall is cut off', async () => {
    await group.read(growthOptions);
    const cut = sidecars.filter(one => one.member.hall === 'hall-1');
    cut.forEach(one => one.stall());
    const startedAt = performance.now();
    const reading = await group.read(growthOptions);
    expect(performance.now() - startedAt).toBeLessThan(1_500);
    expect(reading.ranks.size).toBe(size - cut.length);
  });

  it('forgets a sidecar that went silent while it was removed from the list', async () => {
    await group.read(growthOptions);
    sidecars[1]!.stall();
    const reading = group.read(growthOptions);
    const remaining = sidecars.filter((_, at) => at !== 1);
    group.setMembers(remaining.map(one => ({...one.member})));
    await reading;
    await new Promise(resolve => setTimeout(resolve, 450));
    expect((await group.read(growthOptions)).ranks.size).toBe(size - 1);
    expect((await group.read(growthOptions)).ranks.size).toBe(size - 1);
  });
});
