/** A leader's links to the ranks of its group. */
import type {RpcClient} from '../rpc/client';
import * as app from './app';
import type {OrderAnswer} from './member';
import type {Fence, MapChange} from './types';

/** Undefined where the rank did not answer: it may have done as told. */
export type LinkAnswer = OrderAnswer | undefined;

/** One rank as the leader reaches it. */
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

/** A rank behind its sidecar's RPC face. */
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
