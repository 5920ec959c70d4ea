import {RpcServer} from '../rpc/server';
import {RpcClient} from '../rpc/client';
import * as httpServer from '../http/server';
import {SILENT_LOG} from '../observability/log';
import * as app from './app';
import {BranchHead} from './branch';
import {GroupLinks, Member} from './group-links';
import * as packing from './packing';
import {RankAgent} from './rank-agent';
import * as types from './types';
import {ok} from '../result';

const EXPERTS = 6;
/** Sidecars in a branch at most. */
const BRANCH = 8;

/** An engine that notes its orders and counts a little more at each look. */
class FakeEngine extends types.Engine {
  readonly orders: types.Order[] = [];
  private looks = 0;

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
      prepared: null,
      armed: null,
      held: null,
      slowness: 1,
    });
  }

  async counts() {
    this.looks += 1;
    return ok(
      Array.from({length: EXPERTS}, (_, expert) => this.looks * expert * 10),
    );
  }

  async held() {
    return ok({version: 0, experts: [[this.rank]]});
  }

  async order(order: types.Order): Promise<types.OrderResult> {
    this.orders.push(order);
    return 'done';
  }

  close(): void {}
}

interface Sidecar {
  readonly member: Member;
  readonly engine: FakeEngine;
  readonly agent: RankAgent;
  close(): Promise<void>;
}

async function openSidecar(rank: number, size: number): Promise<Sidecar> {
  const engine = new FakeEngine(rank, size);
  const agent = new RankAgent(
    engine,
    target => new FakeEngine(Number(target.split('-')[1]), size),
    SILENT_LOG,
  );
  const client = new RpcClient();
  const head = new BranchHead(agent, client);
  const rpc = new RpcServer(SILENT_LOG);
  rpc.handle(app.read, async call => {
    const {ranks, growth} = await head.read(call);
    return {ranks: [...ranks], growth: growth && packing.packGrowth(growth)};
  });
  rpc.handle(app.order, async ({term, order, members}) => ({
    results: await head.order(term, order, members),
  }));
  const listener = await httpServer.listen(
    '127.0.0.1:0',
    (req, res) => rpc.answer(req, res),
    () => undefined,
  );
  return {
    member: {
      target: `target-${rank}`,
      sidecar: listener.address,
      hall: `hall-${rank % 3}`,
    },
    engine,
    agent,
    close: async () => {
      client.close();
      await listener.close();
    },
  };
}

describe.each([5, 30])('a planner of a group of %i ranks', size => {
  let sidecars: Sidecar[];
  let links: GroupLinks;
  let rpc: RpcClient;
  let term: number;
  /** Orders given past sidecars, by target. */
  let direct: Map<string, FakeEngine>;

  beforeEach(async () => {
    sidecars = await Promise.all(
      Array.from({length: size}, (_, rank) => openSidecar(rank, size)),
    );
    rpc = new RpcClient();
    term = 7;
    direct = new Map();
    links = new GroupLinks({
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
    links.setMembers(sidecars.map(one => ({...one.member})));
  });

  afterEach(async () => {
    rpc.close();
    links.close();
    await Promise.all(sidecars.map(one => one.close()));
  });

  const growthWish = {growth: true, held: false};

  it('reads every rank, and the sum of their growth', async () => {
    await links.read(growthWish);
    const reading = await links.read(growthWish);
    expect(reading.ranks.size).toBe(size);
    expect(reading.isDeposed).toBe(false);
    const sum = [...reading.growth!];
    sum.forEach((value, expert) =>
      expect(Math.abs(value - size * expert * 10)).toBeLessThan(size),
    );
  });

  it('calls each hall once or a branch at a time, not each rank', async () => {
    await links.read(growthWish);
    const called = jest.spyOn(rpc, 'call');
    await links.read(growthWish);
    const halls = 3;
    const branches = halls * Math.ceil(size / halls / BRANCH);
    expect(called).toHaveBeenCalledTimes(branches);
  });

  it('orders every rank once, in the order of the ranks', async () => {
    const reading = await links.readAll();
    const ranks = links.ranksOf(reading)!;
    const order: types.Order = {kind: 'hold', epoch: 1, step: 9};
    expect(await ranks.order(ranks.all, order)).toEqual(
      sidecars.map(() => 'done'),
    );
    sidecars.forEach(one => expect(one.engine.orders).toEqual([order]));
    await ranks.order([3], {kind: 'release', epoch: 1, step: 9});
    expect(sidecars[3]!.engine.orders.length).toBe(2);
  });

  it('still reaches the ranks after the list was told anew', async () => {
    const ranks = links.ranksOf(await links.readAll())!;
    links.setMembers(sidecars.map(one => ({...one.member})));
    const order: types.Order = {kind: 'hold', epoch: 1, step: 9};
    const results = await ranks.order(ranks.all, order);
    expect(new Set(results)).toEqual(new Set(['done']));
    sidecars.forEach(one => expect(one.engine.orders.length).toBe(1));
  });

  it('goes past a sidecar that is gone, the first of its branch too', async () => {
    const ranks = links.ranksOf(await links.readAll())!;
    await sidecars[0]!.close();
    const reading = await links.read(growthWish);
    expect(reading.ranks.size).toBe(size - 1);
    const order: types.Order = {kind: 'hold', epoch: 1, step: 9};
    const results = await ranks.order(ranks.all, order);
    expect(new Set(results)).toEqual(new Set(['done']));
    expect(direct.get('target-0')!.orders).toEqual([order]);
    sidecars
      .slice(1)
      .forEach(one => expect(one.engine.orders).toEqual([order]));
  });

  it('is told where a newer planner was heard', async () => {
    const ranks = links.ranksOf(await links.readAll())!;
    await sidecars[2]!.agent.read(9, 100, growthWish);
    const reading = await links.read(growthWish);
    expect(reading.isDeposed).toBe(true);
    const order: types.Order = {kind: 'hold', epoch: 1, step: 9};
    expect((await ranks.order(ranks.all, order))[2]).toBe('deposed');
    expect(sidecars[2]!.engine.orders).toEqual([]);
  });
});

describe('packing', () => {
  it.each([
    [
      'few experts',
      [
        [[1, 2], [], [255]],
        [[0], [7, 9], [3]],
      ],
    ],
    [
      'many experts',
      [
        [[1, 2_000], [300]],
        [[65_535], []],
      ],
    ],
  ])('keeps a map of %s', (_, map) => {
    expect(packing.unpackMap(packing.packMap(map))).toEqual(map);
  });

  it('takes no text that is cut short', () => {
    const text = packing.packMap([[[1, 2, 3, 4], [5]]]);
    expect(packing.unpackMap(text.slice(0, 8))).toBeUndefined();
    expect(packing.unpackMap('')).toBeUndefined();
  });

  it('keeps growth to a 255th of the largest', () => {
    const growth = [0, 3, 1_000, 12_345];
    const kept = packing.unpackGrowth(packing.packGrowth(growth));
    growth.forEach((value, at) =>
      expect(Math.abs(kept[at]! - value)).toBeLessThanOrEqual(12_345 / 255),
    );
  });
});
