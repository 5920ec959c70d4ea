/**
 * What the sidecars beside a group's ranks know of it: its planner tells them
 * at each reading, and an entry asks one of them several times a second. So
 * entries share a view of the group without asking each other.
 */
import * as rxjs from 'rxjs';
import * as experts from '../experts/app';
import type {GroupView} from '../experts/types';
import type {LastContact} from '../peers/last-contact';
import * as grouping from '../grouping';
import * as random from '../random';
import type {EngineFigures} from '../routes/types';
import type {RpcClient} from '../rpc/client';
import * as limits from './group-request-limit';
import type {Target} from './types';

/** Pause between questions, in milliseconds; a sidecar waits for news. */
const POLL_PAUSE_MS = 20;
/** And after a question that brought nothing. */
const FAILED_POLL_PAUSE_MS = 150;
/** Time that a sidecar waits for news: longer than planners are silent. */
const LONG_POLL_MS = 400;
/** Longest wait for an answer beyond that, in milliseconds. */
const RESPONSE_MARGIN_MS = 120;
/** Views older than this tell nothing, in milliseconds. */
const MAX_VIEW_AGE_MS = 900;
const NO_RANK = -1;
/** Entries that may send to a group beside this one, at most. */
const MAX_ENTRIES = 16;

interface ReceivedView {
  readonly view: GroupView;
  /** Monotonic time at which the view was true. */
  readonly at: number;
  /** This entry's requests in flight when it heard, by target's lifetime. */
  readonly ownInFlight: ReadonlyMap<string, number>;
}

/**
 * Imbalance of a group that has just formed: its experts are dealt out in turn.
 * Taken for less, it would be sent more than it can begin.
 */
const NEW_GROUP_IMBALANCE = 3.5;
/** Time in which a planner has told of a group that formed, in milliseconds. */
const NEW_GROUP_MS = 2_000;
/** Of a group of which nothing is told for another reason. */
const DEFAULT_IMBALANCE = 1.5;

/** What decides whether a group takes another request. */
export interface GroupCapacity {
  /** Requests that it may work on at once. */
  readonly most: number;
  /** Those that it is believed to have. */
  readonly requests: number;
  readonly imbalance: number;
  /** Of its slowest rank. */
  readonly slowness: number;
  /** Milliseconds since this was told. */
  readonly ageMs: number;
}

/** What following groups needs. */
export interface GroupViewsContext {
  readonly rpc: RpcClient;
  readonly reach: LastContact;
  readonly hall: string;
  /** Where sidecars listen. */
  readonly rpcPort: number;
  /** Targets that are ranks of groups; the same list until one changes. */
  ranks(): readonly Target[];
  /** Entries that are known, this one among them. */
  knownEntryCount(): number;
  /** A sidecar has told whether a rank's group was open at a time. */
  onGroupState(target: Target, isOpen: boolean, at: number): void;
  /** This entry's requests in flight to a lifetime of a target. */
  inFlight(lifetime: string): number;
}

export class GroupViews {
  /** Something new was told of a group. */
  readonly updates = new rxjs.Subject<void>();
  private readonly views = new Map<string, ReceivedView>();
  /** When groups were seen to open, by their keys; closed ones aren't here. */
  private readonly openedAt = new Map<string, number>();
  /** The ranks by group, as long as they are the same. */
  private rankIndex: {
    readonly ranks: readonly Target[] | undefined;
    readonly byKey: ReadonlyMap<string, readonly Target[]>;
  } = {ranks: undefined, byKey: new Map()};
  /** Groups that are being followed. */
  private readonly polledGroups = new Set<string>();
  private isClosed = false;

  constructor(private readonly context: GroupViewsContext) {}

  /** Follows the groups of the targets that are known by now. */
  pollNewGroups(): void {
    for (const target of this.context.ranks()) {
      const key = keyOf(target);
      if (!this.polledGroups.has(key) && !this.isClosed) {
        this.polledGroups.add(key);
        void this.pollGroup(key);
      }
    }
  }

  /** This instance was suspended: what was told tells nothing any more. */
  clear(): void {
    this.views.clear();
  }

  close(): void {
    this.isClosed = true;
    this.updates.complete();
  }

  /** What was told of a target's group; undefined: nothing lately. */
  viewOf(target: Target, now: number): GroupView | undefined {
    return this.freshView(target, now)?.view;
  }

  /** How many times as long as it should a target's work takes. */
  slownessOf(target: Target, now: number): number {
    const view = this.freshView(target, now)?.view;
    return view?.slow.find(one => one.rank === target.rank)?.slowness ?? 1;
  }

  /**
   * Requests of all entries at a target: those that were told, and what this
   * entry has sent and got answered since. Undefined where nothing was told.
   */
  requestsAt(target: Target, now: number): number | undefined {
    const held = this.freshView(target, now);
    const told = held?.view.requests[target.rank ?? NO_RANK];
    if (held === undefined || told === undefined) {
      return undefined;
    }
    const ownThen = held.ownInFlight.get(target.lifetime) ?? 0;
    return Math.max(told + this.context.inFlight(target.lifetime) - ownThen, 0);
  }

  /** What a target's group may take. */
  capacityOf(
    target: Target,
    engine: EngineFigures,
    pauseMs: number,
    now: number,
  ): GroupCapacity {
    const held = this.freshView(target, now);
    if (held === undefined) {
      return this.estimateCapacity(target, engine, pauseMs, now);
    }
    const {view} = held;
    const told = sumOf(view.requests);
    const slowness = Math.max(1, ...view.slow.map(one => one.slowness));
    const {imbalance} = view;
    const pace = {size: view.requests.length, imbalance, slowness};
    const own = sumOf([...this.ownInFlightOf(keyOf(target)).values()]);
    const ownThen = sumOf([...held.ownInFlight.values()]);
    // Other entries change with the traffic as this one does.
    const scale = Math.min(
      Math.max(told / Math.max(ownThen, 1), 1),
      MAX_ENTRIES,
    );
    const requests = told + (own - ownThen) * scale;
    return {
      most: limits.maxRequests(engine, pace, pauseMs),
      requests,
      imbalance,
      slowness,
      ageMs: now - held.at,
    };
  }

  /**
   * Room where nothing was told lately, as in a group that has just opened:
   * other entries are taken to send as many requests as this one.
   */
  private estimateCapacity(
    target: Target,
    engine: EngineFigures,
    pauseMs: number,
    now: number,
  ): GroupCapacity {
    const key = keyOf(target);
    const own = [...this.ownInFlightOf(key).values()];
    const openMs = now - (this.openedAt.get(key) ?? -Infinity);
    const imbalance =
      openMs < NEW_GROUP_MS ? NEW_GROUP_IMBALANCE : DEFAULT_IMBALANCE;
    const slowness = 1;
    const pace = {size: own.length, imbalance, slowness};
    return {
      imbalance,
      slowness,
      most: limits.maxRequests(engine, pace, pauseMs),
      requests:
        sumOf(own) * Math.min(this.context.knownEntryCount(), MAX_ENTRIES),
      ageMs: Infinity,
    };
  }

  private freshView(target: Target, now: number): ReceivedView | undefined {
    const held = this.views.get(keyOf(target));
    return held !== undefined && now - held.at < MAX_VIEW_AGE_MS
      ? held
      : undefined;
  }

  /** Asks for news of a group as long as it has ranks. */
  private async pollGroup(key: string): Promise<void> {
    while (!this.isClosed) {
      const ranks = this.ranksOf(key);
      if (ranks.length === 0) {
        break;
      }
      const isTold = await this.poll(key, ranks);
      await pause(isTold ? POLL_PAUSE_MS : random.jitter(FAILED_POLL_PAUSE_MS));
    }
    this.polledGroups.delete(key);
    this.views.delete(key);
    this.openedAt.delete(key);
  }

  /** False where nothing was told. */
  private async poll(key: string, ranks: readonly Target[]): Promise<boolean> {
    const {rpc, hall, rpcPort} = this.context;
    const near = ranks.filter(rank => rank.hall === hall);
    const rank = random.pick(near.length > 0 ? near : ranks);
    const [host] = rank.address.split(':', 1);
    const answer = await rpc.call(
      `${host}:${rpcPort}`,
      experts.view,
      {waitMs: LONG_POLL_MS},
      LONG_POLL_MS + RESPONSE_MARGIN_MS,
    );
    if (!answer.ok) {
      return false;
    }
    this.context.reach.recordAnswer();
    const {known, seen} = answer.value;
    if (seen !== undefined) {
      const seenAt = performance.now() - seen.ageMs;
      this.noteGroupState(key, seen.isOpen, seenAt);
      this.context.onGroupState(rank, seen.isOpen, seenAt);
    }
    const at = known && performance.now() - known.ageMs;
    if (at !== undefined && at > (this.views.get(key)?.at ?? 0)) {
      this.views.set(key, {
        view: known!.view,
        at,
        ownInFlight: this.ownInFlightOf(key),
      });
      this.updates.next();
    }
    return known !== undefined || seen !== undefined;
  }

  private noteGroupState(key: string, isOpen: boolean, at: number): void {
    if (!isOpen) {
      this.openedAt.delete(key);
    } else if (!this.openedAt.has(key)) {
      this.openedAt.set(key, at);
    }
  }

  private ownInFlightOf(key: string): Map<string, number> {
    return new Map(
      this.ranksOf(key).map(rank => [
        rank.lifetime,
        this.context.inFlight(rank.lifetime),
      ]),
    );
  }

  private ranksOf(key: string): readonly Target[] {
    const ranks = this.context.ranks();
    if (ranks !== this.rankIndex.ranks) {
      this.rankIndex = {ranks, byKey: grouping.groupBy(ranks, keyOf)};
    }
    return this.rankIndex.byKey.get(key) ?? [];
  }
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

function keyOf(target: Target): string {
  return `${target.service} ${target.group}`;
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
