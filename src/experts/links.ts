/** The ways a planner reaches a rank. */
import type {RpcClient} from '../rpc/client';
import * as app from './app';
import * as agent from './rank-agent';
import {
  Engine,
  Order,
  OrderResult,
  RankLink,
  RankReading,
  ReadWish,
} from './types';

/** Longest wait for a reading, in milliseconds. */
const READ_TIMEOUT_MS = 150;
/** Longest wait for an order that copies nothing, in milliseconds. */
const ORDER_TIMEOUT_MS = 500;

/**
 * A rank behind its sidecar; where the sidecar is silent, its engine is
 * ordered from here, which the platform charges for.
 */
export class SidecarLink extends RankLink {
  /** False while the sidecar does not answer. */
  isHeard = true;

  constructor(
    private readonly rpc: RpcClient,
    private readonly address: string,
    private readonly engine: Engine,
    private readonly term: () => number,
  ) {
    super();
  }

  async read(wish: ReadWish): Promise<RankReading | 'deposed' | undefined> {
    const answer = await this.rpc.call(
      this.address,
      app.read,
      {term: this.term(), ...wish},
      READ_TIMEOUT_MS,
    );
    this.isHeard = answer.ok;
    if (!answer.ok) {
      return undefined;
    }
    switch (answer.value.kind) {
      case 'reading': {
        const {state, counts, held} = answer.value.reading;
        return {state, counts, held};
      }
      case 'deposed':
        return 'deposed';
      case 'no-rank':
        return undefined;
    }
  }

  /** The state alone, past a sidecar that is silent. */
  readDirect(wish: ReadWish): Promise<RankReading | undefined> {
    return agent.readRank(this.engine, {...wish, counts: false});
  }

  async order(order: Order): Promise<OrderResult> {
    const patienceMs = order.kind === 'prepare' ? order.patienceMs : 0;
    const answer = await this.rpc.call(
      this.address,
      app.order,
      {term: this.term(), order: toWire(order)},
      ORDER_TIMEOUT_MS + patienceMs,
    );
    this.isHeard = answer.ok;
    return answer.ok ? answer.value.result : agent.carryOut(this.engine, order);
  }

  close(): void {
    this.engine.close();
  }
}

function toWire(order: Order) {
  return order.kind === 'prepare'
    ? {...order, map: order.map.map(ranks => ranks.map(held => [...held]))}
    : order;
}
