/**
 * Calls that reach many sidecars through a tree: the caller splits the sidecars
 * into branches and calls the head of each, which forwards the call to the rest
 * of its branch in the same way. Nothing is kept between calls, and any sidecar
 * of a branch can be its head.
 */
import type {RpcClient} from '../rpc/client';
import * as app from './app';
import type {MapCache} from './map-cache';
import * as packing from './packing';
import type {RankAgent} from './rank-agent';
import type {GroupView, OrderResult, ReadAnswer, ReadOptions} from './types';

/**
 * Branches that a process splits sidecars into: their sums of counters share
 * its narrow link, and fewer branches would make the tree deeper.
 */
export const MAX_BRANCHES = 5;
/** Timeout of reading one sidecar. */
const READ_TIMEOUT_MS = 150;
/** Timeout of ordering one sidecar, without the time for a copy. */
const ORDER_TIMEOUT_MS = 500;
/** Added to either timeout for each level of the tree below. */
const LEVEL_TIMEOUT_MS = 100;

/**
 * `silent`: the sidecar does not answer, and its rank must be ordered
 * otherwise. `no-base`: the sidecar lacks the map from which the order's map is
 * a difference.
 */
export type BranchOrderResult = OrderResult | 'silent' | 'no-base';

export interface ReadCall extends ReadOptions {
  readonly term: number;
  readonly periodMs: number;
  readonly view?: GroupView | undefined;
  readonly members: readonly string[];
}

export interface BranchReading {
  /** The called sidecar's rank first, then those of `members`. */
  readonly ranks: readonly ReadAnswer[];
  /** Sum over the ranks; undefined: none. */
  readonly growth: Float64Array | undefined;
}

/** Splits members into branches, the first member of each being its head. */
export function splitIntoBranches<T>(members: readonly T[]): T[][] {
  const size = Math.ceil(members.length / MAX_BRANCHES);
  const branches: T[][] = [];
  for (let at = 0; at < members.length; at += size) {
    branches.push(members.slice(at, at + size));
  }
  return branches;
}

/** Levels of the tree below the head of a branch with `count` other members. */
function levelsBelow(count: number): number {
  return count === 0 ? 0 : 1 + levelsBelow(Math.ceil(count / MAX_BRANCHES) - 1);
}

function readTimeoutMs(count: number): number {
  return READ_TIMEOUT_MS + LEVEL_TIMEOUT_MS * levelsBelow(count);
}

function orderTimeoutMs(order: app.WireOrder, count: number): number {
  const copyMs = order.kind === 'prepare' ? order.patienceMs : 0;
  return ORDER_TIMEOUT_MS + copyMs + LEVEL_TIMEOUT_MS * levelsBelow(count);
}

/**
 * Reads the sidecars of one branch; results in their order. If the head does
 * not answer, the others are read in branches of their own: a hall that is cut
 * off costs one timeout per level of the tree and not one per sidecar.
 */
export async function readBranch(
  rpc: RpcClient,
  call: Omit<ReadCall, 'members'>,
  members: readonly string[],
): Promise<BranchReading> {
  const [head, ...others] = members;
  if (head === undefined) {
    return {ranks: [], growth: undefined};
  }
  const answer = await rpc.call(
    head,
    app.read,
    {...call, members: others},
    readTimeoutMs(others.length),
  );
  if (!answer.ok) {
    const rest = await readBranches(rpc, call, others);
    return {...rest, ranks: [SILENT_ANSWER, ...rest.ranks]};
  }
  const {ranks, growth} = answer.value;
  return {
    ranks: members.map((_, at) => ranks[at] ?? SILENT_ANSWER),
    growth: growth && packing.unpackGrowth(growth),
  };
}

const SILENT_ANSWER: ReadAnswer = {kind: 'silent'};

/** Reads sidecars in several branches; results in their order. */
async function readBranches(
  rpc: RpcClient,
  call: Omit<ReadCall, 'members'>,
  members: readonly string[],
): Promise<BranchReading> {
  const readings = await Promise.all(
    splitIntoBranches(members).map(one => readBranch(rpc, call, one)),
  );
  let growth: Float64Array | undefined;
  for (const one of readings) {
    if (one.growth !== undefined) {
      growth = packing.addGrowth(growth, one.growth);
    }
  }
  return {ranks: readings.flatMap(one => one.ranks), growth};
}

/** Orders the sidecars of one branch; results in their order. */
export async function orderBranch(
  rpc: RpcClient,
  call: {readonly term: number; readonly order: app.WireOrder},
  members: readonly string[],
): Promise<BranchOrderResult[]> {
  const [head, ...others] = members;
  if (head === undefined) {
    return [];
  }
  const answer = await rpc.call(
    head,
    app.order,
    {...call, members: others},
    orderTimeoutMs(call.order, others.length),
  );
  if (!answer.ok) {
    return ['silent', ...(await orderBranches(rpc, call, others))];
  }
  return members.map((_, at) => answer.value.results[at] ?? 'silent');
}

/** Orders sidecars in several branches; results in their order. */
async function orderBranches(
  rpc: RpcClient,
  call: {readonly term: number; readonly order: app.WireOrder},
  members: readonly string[],
): Promise<BranchOrderResult[]> {
  const results = await Promise.all(
    splitIntoBranches(members).map(one => orderBranch(rpc, call, one)),
  );
  return results.flat();
}

/** Answers a call for its own rank and forwards it to the other members. */
export class BranchHead {
  constructor(
    private readonly agent: RankAgent,
    private readonly maps: MapCache,
    private readonly rpc: RpcClient,
  ) {}

  async read(call: ReadCall): Promise<BranchReading> {
    const {term, periodMs, members} = call;
    const [own, others] = await Promise.all([
      this.agent.read(term, periodMs, call, call.view),
      readBranches(this.rpc, call, members),
    ]);
    return {
      ranks: [own.answer, ...others.ranks],
      growth:
        own.growth === undefined
          ? others.growth
          : packing.addGrowth(others.growth, own.growth),
    };
  }

  async order(
    term: number,
    wire: app.WireOrder,
    members: readonly string[],
  ): Promise<BranchOrderResult[]> {
    const [own, others] = await Promise.all([
      this.orderOwn(term, wire),
      orderBranches(this.rpc, {term, order: wire}, members),
    ]);
    return [own, ...others];
  }

  private async orderOwn(
    term: number,
    wire: app.WireOrder,
  ): Promise<BranchOrderResult> {
    const order = app.orderFromWire(wire, this.maps);
    return order === 'no-base' || order === 'refused'
      ? order
      : this.agent.order(term, order);
  }
}
