/**
 * What the sidecars beside a group's ranks know of it: its planner tells them
 * at each reading, and an entry asks one of them several times a second. So
 * entries share a view of the group without asking each other.
 */
import * as experts from '../experts/app';
import type {GroupView} from '../experts/types';
import * as random from '../random';
import type {EngineFigures} from '../routes/types';
import type {RpcClient} from '../rpc/client';
import * as limits from './group-limit';
import type {Target} from './types';

/** Milliseconds between questions. */
const PERIOD_MS = 150;
/** Longest wait for an answer, in milliseconds. */
const ANSWER_MS = 120;
/** Views older than this tell nothing, in milliseconds. */
const STALE_MS = 900;
/** Entries that may send to a group beside this one, at most. */
const MOST_ENTRIES = 16;

interface HeldView {
  readonly view: GroupView;
  /** Monotonic time at which the view was true. */
  readonly at: number;
  /** This entry's requests in flight to the group when it heard of it. */
  readonly ownThen: number;
}

/** What following groups needs. */
export interface ViewsContext {
  readonly rpc: RpcClient;
  readonly hall: string;
  /** Where sidecars listen. */
  readonly rpcPort: number;
  /** Targets that are ranks of groups. */
  ranks(): readonly Target[];
  /** This entry's requests in flight to a target. */
  inFlight(id: string): number;
}

export class GroupViews {
  private readonly held = new Map<string, HeldView>();
  private timer: NodeJS.Timeout | undefined;
  private isClosed = false;

  constructor(private readonly context: ViewsContext) {}

  start(): void {
    this.timer = setTimeout(() => void this.round(), random.jitter(PERIOD_MS));
  }

  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
  }

  /** How many times as long as it should a target's work takes. */
  slownessOf(target: Target, now: number): number {
    const view = this.fresh(target, now)?.view;
    const slow = view?.slow.find(one => one.target === target.address);
    return slow?.slowness ?? 1;
  }

  /**
   * Requests that the target's group may take in addition; negative where it
   * has too many. Undefined where that isn't known.
   */
  roomOf(
    target: Target,
    engine: EngineFigures,
    pauseMs: number,
    now: number,
  ): number | undefined {
    const held = this.fresh(target, now);
    if (held === undefined) {
      return undefined;
    }
    const {view, ownThen} = held;
    const slowness = Math.max(1, ...view.slow.map(one => one.slowness));
    const pace = {size: view.size, imbalance: view.imbalance, slowness};
    const own = this.ownOf(keyOf(target));
    // Other entries change with the traffic as this one does.
    const others = view.requests / Math.max(ownThen, 1);
    const scale = Math.min(Math.max(others, 1), MOST_ENTRIES);
    const requests = view.requests + (own - ownThen) * scale;
    return limits.mostRequests(engine, pace, pauseMs) - requests;
  }

  private fresh(target: Target, now: number): HeldView | undefined {
    const held = this.held.get(keyOf(target));
    return held !== undefined && now - held.at < STALE_MS ? held : undefined;
  }

  private async round(): Promise<void> {
    const groups = new Map<string, Target[]>();
    for (const target of this.context.ranks()) {
      const key = keyOf(target);
      groups.set(key, [...(groups.get(key) ?? []), target]);
    }
    for (const key of this.held.keys()) {
      if (!groups.has(key)) {
        this.held.delete(key);
      }
    }
    await Promise.all([...groups].map(([key, ranks]) => this.ask(key, ranks)));
    if (!this.isClosed) {
      this.start();
    }
  }

  private async ask(key: string, ranks: readonly Target[]): Promise<void> {
    const {rpc, hall, rpcPort} = this.context;
    const near = ranks.filter(rank => rank.hall === hall);
    const {address} = random.pick(near.length > 0 ? near : ranks);
    const [host] = address.split(':', 1);
    const askedAt = performance.now();
    const answer = await rpc.call(
      `${host}:${rpcPort}`,
      experts.view,
      {},
      ANSWER_MS,
    );
    const known = answer.ok ? answer.value.known : undefined;
    if (known !== undefined) {
      const {view, ageMs} = known;
      const at = askedAt - ageMs;
      const before = this.held.get(key);
      if (before === undefined || before.at < at) {
        this.held.set(key, {view, at, ownThen: this.ownOf(key)});
      }
    }
  }

  private ownOf(key: string): number {
    let own = 0;
    for (const target of this.context.ranks()) {
      if (keyOf(target) === key) {
        own += this.context.inFlight(target.id);
      }
    }
    return own;
  }
}

function keyOf(target: Target): string {
  return `${target.service} ${target.group}`;
}
