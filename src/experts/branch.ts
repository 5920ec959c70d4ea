/**
 * Calls that reach many sidecars in a tree: whoever calls divides the sidecars
 * into a few branches and calls the first of each, which passes the call on to
 * those behind it in the same way. So no process makes or takes more than a few
 * calls at a time, however large the group is. Nothing is kept between calls,
 * and any sidecar of a branch may come first.
 */
import type {RpcClient} from '../rpc/client';
import * as app from './app';
import type {MapCache} from './map-cache';
import * as packing from './packing';
import type {RankAgent} from './rank-agent';
import type {GroupView, OrderResult, ReadAnswer, ReadOptions} from './types';

/**
 * Branches that one process calls at a time: their sums of counters come over one
 * narrow link, and fewer branches would make a tree with more levels.
 */
export const MAX_BRANCHES = 5;
/** Longest wait for a sidecar's own reading, in milliseconds. */
const READ_TIMEOUT_MS = 150;
/** Longest wait for an order that copies nothing. */
const ORDER_TIMEOUT_MS = 500;
/** What each level of the tree may add to either. */
const LEVEL_TIMEOUT_MS = 100;

/**
 * `silent`: the sidecar does not answer; the rank got nothing through it.
 * `no-base`: the sidecar does not have the map that the order builds upon.
 */
export type BranchOrderResult = OrderResult | 'silent' | 'no-base';

/** A planner's reading of a branch. */
export interface ReadCall extends ReadOptions {
  readonly term: number;
  readonly periodMs: number;
  readonly view?: GroupView | undefined;
  readonly members: readonly string[];
}

/** Its answer: by rank, the called sidecar's first. */
export interface BranchReading {
  readonly ranks: readonly ReadAnswer[];
  readonly growth: Float64Array | undefined;
}

/** Members of one branch: the first is called, the others stand behind it. */
export function splitIntoBranches<T>(members: readonly T[]): T[][] {
  const size = Math.ceil(members.length / MAX_BRANCHES);
  const branches: T[][] = [];
  for (let at = 0; at < members.length; at += size) {
    branches.push(members.slice(at, at + size));
  }
  return branches;
}

/** Levels of the tree below a head with so many members behind it. */
function levelsBelow(behind: number): number {
  return behind === 0
    ? 0
    : 1 + levelsBelow(Math.ceil(behind / MAX_BRANCHES) - 1);
}

function readTimeoutMs(behind: number): number {
  return READ_TIMEOUT_MS + LEVEL_TIMEOUT_MS * levelsBelow(behind);
}

function orderTimeoutMs(order: app.WireOrder, behind: number): number {
  const copyMs = order.kind === 'prepare' ? order.patienceMs : 0;
  return ORDER_TIMEOUT_MS + copyMs + LEVEL_TIMEOUT_MS * levelsBelow(behind);
}

/**
 * Reads the sidecars of one branch, in their order. Where its head does not
 * answer, the others are read in branches of their own, all at a time: a hall that
 * is cut off costs the wait for an answer once, and not for each of its sidecars.
 */
export async function readBranch(
  rpc: RpcClient,
  call: Omit<ReadCall, 'members'>,
  members: readonly string[],
): Promise<BranchReading> {
  const [head, ...behind] = members;
  if (head === undefined) {
    return {ranks: [], growth: undefined};
  }
  const answer = await rpc.call(
    head,
    app.read,
    {...call, members: behind},
    readTimeoutMs(behind.length),
  );
  if (!answer.ok) {
    const rest = await readBranches(rpc, call, behind);
    return {...rest, ranks: [SILENT_ANSWER, ...rest.ranks]};
  }
  const {ranks, growth} = answer.value;
  return {
    ranks: members.map((_, at) => ranks[at] ?? SILENT_ANSWER),
    growth: growth && packing.unpackGrowth(growth),
  };
}

const SILENT_ANSWER: ReadAnswer = {kind: 'silent'};

/** Reads sidecars in a few branches; answers in their order. */
async function readBranches(
  rpc: RpcClient,
  call: Omit<ReadCall, 'members'>,
  members: readonly string[],
): Promise<BranchReading> {
  const readings = await Promise.all(
    splitIntoBranches(members).map(some => readBranch(rpc, call, some)),
  );
  let growth: Float64Array | undefined;
  for (const one of readings) {
    if (one.growth !== undefined) {
      growth = packing.addGrowth(growth, one.growth);
    }
  }
  return {ranks: readings.flatMap(one => one.ranks), growth};
}

/** Gives the sidecars of one branch an order; results in their order. */
export async function orderBranch(
  rpc: RpcClient,
  call: {readonly term: number; readonly order: app.WireOrder},
  members: readonly string[],
): Promise<BranchOrderResult[]> {
  const [head, ...behind] = members;
  if (head === undefined) {
    return [];
  }
  const answer = await rpc.call(
    head,
    app.order,
    {...call, members: behind},
    orderTimeoutMs(call.order, behind.length),
  );
  if (!answer.ok) {
    return ['silent', ...(await orderBranches(rpc, call, behind))];
  }
  return members.map((_, at) => answer.value.results[at] ?? 'silent');
}

/** Orders sidecars in a few branches; results in their order. */
async function orderBranches(
  rpc: RpcClient,
  call: {readonly term: number; readonly order: app.WireOrder},
  members: readonly string[],
): Promise<BranchOrderResult[]> {
  const results = await Promise.all(
    splitIntoBranches(members).map(some => orderBranch(rpc, call, some)),
  );
  return results.flat();
}

/** A sidecar that is called first: for its own rank and for those behind it. */
export class BranchHead {
  constructor(
    private readonly agent: RankAgent,
    private readonly maps: MapCache,
    private readonly rpc: RpcClient,
  ) {}

  async read(call: ReadCall): Promise<BranchReading> {
    const {term, periodMs, members} = call;
    const [own, behind] = await Promise.all([
      this.agent.read(term, periodMs, call, call.view),
      readBranches(this.rpc, call, members),
    ]);
    return {
      ranks: [own.answer, ...behind.ranks],
      growth:
        own.growth === undefined
          ? behind.growth
          : packing.addGrowth(behind.growth, own.growth),
    };
  }

  async order(
    term: number,
    wire: app.WireOrder,
    members: readonly string[],
  ): Promise<BranchOrderResult[]> {
    const [own, behind] = await Promise.all([
      this.orderOwn(term, wire),
      orderBranches(this.rpc, {term, order: wire}, members),
    ]);
    return [own, ...behind];
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
