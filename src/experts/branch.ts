/**
 * The first sidecar of a branch: carries a planner's call out at its own rank
 * and passes it on to the members behind it. It keeps nothing between calls,
 * so that any sidecar of a branch may come first.
 */
import type {RpcClient} from '../rpc/client';
import * as app from './app';
import * as packing from './packing';
import type {RankAgent} from './rank-agent';
import type {GroupView, OrderResult, ReadAnswer, ReadWish} from './types';

/** Longest wait for a member's reading, in milliseconds. */
export const READ_TIMEOUT_MS = 150;
/** Longest wait for a member's order that copies nothing. */
export const ORDER_TIMEOUT_MS = 500;

/** `silent`: the sidecar does not answer; the rank got nothing through it. */
export type BranchOrderResult = OrderResult | 'silent';

/** A planner's reading of a branch. */
export interface ReadCall extends ReadWish {
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

/** Time for an order, with what it copies. */
export function orderTimeoutMs(order: app.WireOrder): number {
  return ORDER_TIMEOUT_MS + (order.kind === 'prepare' ? order.patienceMs : 0);
}

export class BranchHead {
  constructor(
    private readonly agent: RankAgent,
    private readonly rpc: RpcClient,
  ) {}

  async read(call: ReadCall): Promise<BranchReading> {
    const {term, periodMs, members} = call;
    const [own, ...behind] = await Promise.all([
      this.agent.read(term, periodMs, call, call.view),
      ...members.map(address => this.readMember(address, call)),
    ]);
    let growth: Float64Array | undefined;
    for (const one of [own, ...behind]) {
      if (one.growth !== undefined) {
        growth = packing.addGrowth(growth, one.growth);
      }
    }
    return {ranks: [own, ...behind].map(one => one.answer), growth};
  }

  async order(
    term: number,
    wire: app.WireOrder,
    members: readonly string[],
  ): Promise<BranchOrderResult[]> {
    const order = app.orderFromWire(wire);
    return Promise.all([
      order === undefined ? 'refused' : this.agent.order(term, order),
      ...members.map(address => this.orderMember(address, term, wire)),
    ]);
  }

  private async readMember(address: string, call: ReadCall) {
    const answer = await this.rpc.call(
      address,
      app.read,
      {...call, members: []},
      READ_TIMEOUT_MS,
    );
    const [first] = answer.ok ? answer.value.ranks : [];
    if (!answer.ok || first === undefined) {
      return {answer: {kind: 'silent'} as const, growth: undefined};
    }
    const {growth} = answer.value;
    return {
      answer: first,
      growth: growth === undefined ? undefined : packing.unpackGrowth(growth),
    };
  }

  private async orderMember(
    address: string,
    term: number,
    order: app.WireOrder,
  ): Promise<BranchOrderResult> {
    const answer = await this.rpc.call(
      address,
      app.order,
      {term, order, members: []},
      orderTimeoutMs(order),
    );
    return answer.ok ? (answer.value.results[0] ?? 'silent') : 'silent';
  }
}
