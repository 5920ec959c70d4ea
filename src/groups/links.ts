/** The leader's connections to the ranks of its group. */
import type {RpcClient} from '../rpc/client';
import * as app from './app';
import type {OrderAnswer} from './member';
import type {Fence, MapChange} from './types';

/** Undefined if the rank did not answer; it may still have executed the order. */
export type LinkAnswer = OrderAnswer | undefined;

export abstract class RankLink {
  abstract query(
    change: MapChange | null,
    fence: Fence | null,
  ): Promise<LinkAnswer>;
  abstract stage(change: MapChange, fence: Fence): Promise<LinkAnswer>;
  abstract arm(
    change: MapChange,
    fence: Fence,
    incarnation: string,
  ): Promise<LinkAnswer>;
  abstract commit(change: MapChange, fence: Fence): Promise<LinkAnswer>;
  abstract abort(change: MapChange, fence: Fence): Promise<LinkAnswer>;
}

const ORDER_TIMEOUT_MS = 500;
const STAGE_TIMEOUT_MS = 120_000;

/** Reaches a rank through its sidecar's RPC methods. */
export class RpcRankLink extends RankLink {
  constructor(
    private readonly rpc: RpcClient,
    private readonly address: string,
  ) {
    super();
  }

  async query(change: MapChange | null, fence: Fence | null) {
    const params = {change, fence};
    return linkAnswer(
      await this.rpc.call(this.address, app.query, params, ORDER_TIMEOUT_MS),
    );
  }

  async stage(change: MapChange, fence: Fence) {
    const params = {change, fence};
    return linkAnswer(
      await this.rpc.call(this.address, app.stage, params, STAGE_TIMEOUT_MS),
    );
  }

  async arm(change: MapChange, fence: Fence, incarnation: string) {
    const params = {change, fence, incarnation};
    return linkAnswer(
      await this.rpc.call(this.address, app.arm, params, ORDER_TIMEOUT_MS),
    );
  }

  async commit(change: MapChange, fence: Fence) {
    const params = {change, fence};
    return linkAnswer(
      await this.rpc.call(this.address, app.commit, params, ORDER_TIMEOUT_MS),
    );
  }

  async abort(change: MapChange, fence: Fence) {
    const params = {change, fence};
    return linkAnswer(
      await this.rpc.call(this.address, app.abort, params, ORDER_TIMEOUT_MS),
    );
  }
}

function linkAnswer(
  answer: {ok: true; value: OrderAnswer} | {ok: false},
): LinkAnswer {
  return answer.ok ? answer.value : undefined;
}
