/** A simulated network between entries, for tests with fake timers. */
import * as random from '../random';
import {fail, ok} from '../result';
import type {RpcClient} from '../rpc/client';
import type {Method} from '../rpc/types';

const SECOND_MS = 1_000;
const MAX_TRANSIT_MS = 10;

type Handler = (params: unknown, peer: unknown) => unknown;

/** One entry on the network. */
export class NetworkNode {
  /** Receives no calls, and no answers to its own. */
  isFrozen = false;
  private readonly handlers = new Map<string, Handler>();

  constructor(readonly address: string) {}

  /** Has the type of the same method of an RPC server. */
  readonly handle = (
    {name}: Pick<Method<never, never>, 'name'>,
    handler: unknown,
  ): void => void this.handlers.set(name, handler as Handler);

  /** @internal */
  answer(method: string, params: unknown): unknown {
    return this.handlers.get(method)!(params, {address: ''});
  }
}

export class Network<N extends NetworkNode> {
  readonly nodes = new Map<string, N>();
  /** Monotonic time until which an entry is disconnected. */
  private readonly cutUntil = new Map<string, number>();
  /** Entries that can reach each other, but not the rest. */
  private part = new Set<string>();
  calls = 0;
  /** Share of the messages that are lost. */
  lossShare = 0;

  get all(): N[] {
    return [...this.nodes.values()];
  }

  add(node: N): N {
    this.nodes.set(node.address, node);
    return node;
  }

  cut(address: string, ms: number): void {
    const until = performance.now() + ms;
    const before = this.cutUntil.get(address) ?? 0;
    this.cutUntil.set(address, Math.max(before, until));
  }

  /** Separates the addresses from the others; empty: nobody. */
  split(addresses: readonly string[]): void {
    this.part = new Set(addresses);
  }

  private isCut(address: string): boolean {
    return performance.now() < (this.cutUntil.get(address) ?? 0);
  }

  callFrom(from: NetworkNode): RpcClient['call'] {
    return async (address, method, params, timeoutMs = SECOND_MS) => {
      const sleep = (ms: number) =>
        new Promise(resolve => setTimeout(resolve, ms));
      const transitMs = () => 1 + random.uniform() * MAX_TRANSIT_MS;
      const startedAt = performance.now();
      this.calls += 1;
      await sleep(transitMs());
      const to = this.nodes.get(address);
      const isLost =
        to === undefined ||
        to.isFrozen ||
        this.isCut(from.address) ||
        this.isCut(address) ||
        this.part.has(from.address) !== this.part.has(address) ||
        random.uniform() < this.lossShare;
      if (!isLost) {
        const result = to.answer(method.name, params);
        await sleep(transitMs());
        if (!from.isFrozen && random.uniform() >= this.lossShare) {
          return ok(result as never);
        }
      }
      await sleep(Math.max(timeoutMs - (performance.now() - startedAt), 0));
      return fail({kind: 'unreachable', sent: true});
    };
  }
}
