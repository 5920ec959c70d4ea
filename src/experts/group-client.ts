/**
 * How a planner reaches the sidecars of its group: in a tree with one branch a
 * hall, so that neither the bytes between halls nor the planner's link and
 * processor grow with the group.
 */
import type {RpcClient} from '../rpc/client';
import * as app from './app';
import * as branch from './branch';
import * as packing from './packing';
import * as agent from './rank-agent';
import {
  Engine,
  GroupView,
  Order,
  OrderResult,
  RankReading,
  RankState,
  Ranks,
  ReadOptions,
} from './types';

/**
 * Longest wait for a sidecar that orders other ranks, in milliseconds: some
 * tries of the order, since the group may be held meanwhile.
 */
const HELPER_TIMEOUT_MS = 250;
/**
 * Ranks whose counters are read at most. Requests are spread over all ranks
 * alike, so a part of them tells what all are asked for, and counters are the most
 * of what a reading brings over narrow links.
 */
export const MAX_SAMPLED_RANKS = 32;
/** Pause before a silent sidecar is called again, in milliseconds. */
const SILENT_RETRY_INTERVAL_MS = 400;

/** Asks for the states alone. */
export const STATES_ONLY: ReadOptions = {
  growth: false,
  planning: false,
  held: false,
};
/** What a planner asks for once nothing is left of another's change. */
export const PLANNING_READ: ReadOptions = {
  growth: true,
  planning: true,
  held: false,
};

/** One sidecar of the group. */
export interface Member {
  /** Where its target listens. */
  readonly target: string;
  /** Where it listens itself. */
  readonly sidecar: string;
  readonly hall: string;
}

/** One round of readings. */
export interface GroupReading {
  /** By the sidecars' addresses. */
  readonly ranks: ReadonlyMap<string, RankReading>;
  readonly isDeposed: boolean;
  readonly growth: Float64Array | undefined;
}

/** What reaching a group needs. */
export interface GroupClientContext {
  readonly rpc: RpcClient;
  term(): number;
  /** Milliseconds between readings, told to the sidecars. */
  periodMs(): number;
  /** What sidecars are told of the group; undefined: nothing is known. */
  view(): GroupView | undefined;
  makeEngine(target: string): Engine;
}

export class GroupClient {
  private members: readonly Member[] = [];
  /** Members whose counters are read. */
  private sample: ReadonlySet<Member> = new Set();
  private readonly engines = new Map<string, Engine>();
  /** Sidecars that did not answer, and when they were called last. */
  private readonly lastCallToSilent = new Map<string, number>();

  constructor(private readonly context: GroupClientContext) {}

  get size(): number {
    return this.members.length;
  }

  setMembers(members: readonly Member[]): void {
    this.members = members;
    this.sample = sampleMembers(members);
    const targets = new Set(members.map(member => member.target));
    for (const [target, engine] of this.engines) {
      if (!targets.has(target)) {
        engine.close();
        this.engines.delete(target);
      }
    }
    const sidecars = new Set(members.map(member => member.sidecar));
    for (const sidecar of this.lastCallToSilent.keys()) {
      if (!sidecars.has(sidecar)) {
        this.lastCallToSilent.delete(sidecar);
      }
    }
  }

  isResponsive(sidecar: string): boolean {
    return !this.lastCallToSilent.has(sidecar);
  }

  /**
   * Reads every sidecar that is heard. Silent ones are called aside now and
   * then, so that one that stands still costs a reading its time-out once.
   */
  async read(wish: ReadOptions): Promise<GroupReading> {
    const now = performance.now();
    for (const [sidecar, at] of this.lastCallToSilent) {
      const member = this.members.find(one => one.sidecar === sidecar);
      if (member === undefined) {
        // It fell silent as it was taken off the list.
        this.lastCallToSilent.delete(sidecar);
      } else if (now - at > SILENT_RETRY_INTERVAL_MS) {
        this.lastCallToSilent.set(sidecar, now);
        void this.readMembers([member], STATES_ONLY);
      }
    }
    const heard = this.members.filter(one => this.isResponsive(one.sidecar));
    if (!wish.growth) {
      return this.readMembers(heard, wish);
    }
    const [sample, others] = await Promise.all([
      this.readMembers(
        heard.filter(one => this.sample.has(one)),
        wish,
      ),
      this.readMembers(
        heard.filter(one => !this.sample.has(one)),
        {...wish, growth: false},
      ),
    ]);
    return {
      ranks: new Map([...sample.ranks, ...others.ranks]),
      isDeposed: sample.isDeposed || others.isDeposed,
      growth: sample.growth,
    };
  }

  /**
   * Reads every rank, past sidecars that are silent too, which the platform
   * charges for.
   */
  async readAll(): Promise<GroupReading> {
    const wish: ReadOptions = {...STATES_ONLY, held: true};
    this.lastCallToSilent.clear();
    const reading = await this.read(wish);
    const ranks = new Map(reading.ranks);
    await Promise.all(
      this.members
        .filter(member => this.lastCallToSilent.has(member.sidecar))
        .map(async member => {
          const read = await agent.readRank(this.engineOf(member), true);
          if (read !== undefined) {
            ranks.set(member.sidecar, read);
          }
        }),
    );
    return {...reading, ranks};
  }

  /** The ranks of a reading, where it covers one open group. */
  ranksOf(reading: GroupReading): GroupRanks | undefined {
    const states = [...reading.ranks.values()].map(one => one.state);
    return isCompleteGroup(states) ? this.partialRanksOf(reading) : undefined;
  }

  /** The ranks of a reading; places that it lacks must not be asked for. */
  partialRanksOf(reading: GroupReading): GroupRanks {
    const byRank: Member[] = [];
    for (const member of this.members) {
      const state = reading.ranks.get(member.sidecar)?.state;
      if (state !== undefined) {
        byRank[state.rank] = member;
      }
    }
    return new GroupRanks(this, byRank);
  }

  /** Orders some members; answers come in their order. */
  async orderMembers(
    members: readonly Member[],
    order: Order,
  ): Promise<OrderResult[]> {
    const results = await this.orderInBranches(members, app.orderToWire(order));
    const without = members.filter(
      member => results.get(member.sidecar) === 'no-base',
    );
    if (without.length > 0) {
      const wire = app.orderToWire(order, true);
      const again = await this.orderInBranches(without, wire);
      again.forEach((result, sidecar) => results.set(sidecar, result));
    }
    return Promise.all(
      members.map(member => {
        const result = results.get(member.sidecar);
        return result === undefined ||
          result === 'silent' ||
          result === 'no-base'
          ? this.orderEngine(member, order)
          : result;
      }),
    );
  }

  /**
   * Orders some members' engines past their sidecars. Few are ordered from
   * here. Of many the first of each branch are, and then their sidecars order
   * the rest: the group is held until the last has its order.
   */
  async orderRemotely(
    members: readonly Member[],
    order: Order,
  ): Promise<OrderResult[]> {
    const size = Math.ceil(Math.sqrt(members.length));
    if (size <= branch.MAX_BRANCHES) {
      return this.orderEngines(members, order);
    }
    const branches: Member[][] = [];
    for (let at = 0; at < members.length; at += size) {
      branches.push(members.slice(at, at + size));
    }
    const first = await this.orderEngines(
      branches.map(([head]) => head!),
      order,
    );
    const rest = await Promise.all(
      branches.map(([head, ...others]) =>
        this.orderViaSidecar(head!, others, order),
      ),
    );
    return branches.flatMap((_, at) => [first[at]!, ...rest[at]!]);
  }

  private orderEngines(
    members: readonly Member[],
    order: Order,
  ): Promise<OrderResult[]> {
    return Promise.all(members.map(member => this.orderEngine(member, order)));
  }

  /** Has a sidecar order ranks that are not its own. */
  private async orderViaSidecar(
    head: Member,
    others: readonly Member[],
    order: Order,
  ): Promise<OrderResult[]> {
    const answer = this.isResponsive(head.sidecar)
      ? await this.context.rpc.call(
          head.sidecar,
          app.orderOthers,
          {
            term: this.context.term(),
            targets: others.map(member => member.target),
            order: app.orderToWire(order),
          },
          HELPER_TIMEOUT_MS,
        )
      : undefined;
    if (answer?.ok && answer.value.results.length === others.length) {
      return answer.value.results;
    }
    this.recordAnswer(head.sidecar, false);
    return this.orderEngines(others, order);
  }

  /** Has a member's sidecar order the rank of another. */
  async orderThrough(
    helper: Member,
    member: Member,
    rank: number,
    order: Order,
  ): Promise<OrderResult> {
    const wire = app.orderToWire(order);
    const answer = await this.context.rpc.call(
      helper.sidecar,
      app.orderOther,
      {term: this.context.term(), target: member.target, rank, order: wire},
      HELPER_TIMEOUT_MS,
    );
    this.recordAnswer(helper.sidecar, answer.ok);
    return answer.ok ? answer.value.result : 'no-answer';
  }

  async readStates(
    members: readonly Member[],
  ): Promise<(RankState | undefined)[]> {
    const {ranks} = await this.readMembers(members, STATES_ONLY);
    return Promise.all(
      members.map(async member => {
        const reading =
          ranks.get(member.sidecar) ??
          (this.isResponsive(member.sidecar)
            ? undefined
            : await agent.readRank(this.engineOf(member), false));
        return reading?.state;
      }),
    );
  }

  close(): void {
    this.engines.forEach(engine => engine.close());
    this.engines.clear();
  }

  /** Reads some members through their sidecars. */
  private async readMembers(
    members: readonly Member[],
    wish: ReadOptions,
  ): Promise<GroupReading> {
    const {rpc, term, periodMs, view} = this.context;
    const call = {...wish, term: term(), periodMs: periodMs(), view: view()};
    const ranks = new Map<string, RankReading>();
    let growth: Float64Array | undefined;
    let isDeposed = false;
    await Promise.all(
      this.branchesOf(members).map(async sidecars => {
        const round = await branch.readBranch(rpc, call, sidecars);
        round.ranks.forEach((answer, at) => {
          const sidecar = sidecars[at]!;
          this.recordAnswer(sidecar, answer.kind !== 'silent');
          if (answer.kind === 'read') {
            ranks.set(sidecar, answer.reading);
          }
          isDeposed ||= answer.kind === 'deposed';
        });
        if (round.growth !== undefined) {
          growth = packing.addGrowth(growth, round.growth);
        }
      }),
    );
    return {ranks, isDeposed, growth};
  }

  /** Orders some members through their sidecars; results by sidecar. */
  private async orderInBranches(
    members: readonly Member[],
    order: app.WireOrder,
  ): Promise<Map<string, branch.BranchOrderResult>> {
    const {rpc, term} = this.context;
    const call = {term: term(), order};
    const results = new Map<string, branch.BranchOrderResult>();
    await Promise.all(
      this.branchesOf(members).map(async sidecars => {
        const ends = await branch.orderBranch(rpc, call, sidecars);
        ends.forEach((end, at) => {
          results.set(sidecars[at]!, end);
          this.recordAnswer(sidecars[at]!, end !== 'silent');
        });
      }),
    );
    return results;
  }

  /**
   * Sidecars in branches of one hall each, so that halls exchange one answer
   * and one sum of counters instead of one a rank: bytes between halls are paid
   * for. Those of one hall are divided like those behind any head. Sidecars that
   * are heard come first.
   */
  private branchesOf(members: readonly Member[]): string[][] {
    const byHall = new Map<string, string[]>();
    for (const {hall, sidecar} of members) {
      const held = byHall.get(hall) ?? [];
      held.push(sidecar);
      byHall.set(hall, held);
    }
    const halls = [...byHall.values()].map(sidecars => [
      ...sidecars.filter(one => this.isResponsive(one)),
      ...sidecars.filter(one => !this.isResponsive(one)),
    ]);
    const [only] = halls;
    return halls.length === 1 ? branch.splitIntoBranches(only!) : halls;
  }

  /** Past a sidecar; the platform charges for it. */
  private orderEngine(member: Member, order: Order): Promise<OrderResult> {
    return agent.executeOrder(this.engineOf(member), order);
  }

  private engineOf(member: Member): Engine {
    let engine = this.engines.get(member.target);
    if (engine === undefined) {
      engine = this.context.makeEngine(member.target);
      this.engines.set(member.target, engine);
    }
    return engine;
  }

  private recordAnswer(sidecar: string, isHeard: boolean): void {
    if (isHeard) {
      this.lastCallToSilent.delete(sidecar);
    } else {
      this.lastCallToSilent.set(sidecar, performance.now());
    }
  }
}

/** Members of a group in the order of their ranks. */
export class GroupRanks extends Ranks {
  constructor(
    private readonly client: GroupClient,
    private readonly members: readonly Member[],
  ) {
    super();
  }

  get size(): number {
    return this.members.length;
  }

  readStates(places: readonly number[]) {
    return this.client.readStates(places.map(place => this.members[place]!));
  }

  order(places: readonly number[], order: Order) {
    return this.client.orderMembers(
      places.map(place => this.members[place]!),
      order,
    );
  }

  orderRemotely(places: readonly number[], order: Order) {
    return this.client.orderRemotely(
      places.map(place => this.members[place]!),
      order,
    );
  }

  orderThrough(helper: number, place: number, order: Order) {
    return this.client.orderThrough(
      this.members[helper]!,
      this.members[place]!,
      place,
      order,
    );
  }

  /** Where the rank of a place listens. */
  targetOf(place: number): string {
    return this.members[place]!.target;
  }

  /** Places whose sidecars answer. */
  get responsive(): number[] {
    return this.all.filter(place =>
      this.client.isResponsive(this.members[place]!.sidecar),
    );
  }
}

/** Some members at even distances, or all of few. */
function sampleMembers(members: readonly Member[]): Set<Member> {
  const every = Math.ceil(members.length / MAX_SAMPLED_RANKS);
  return new Set(members.filter((_, at) => at % every === 0));
}

/** True where the states are those of one open group, each rank once. */
function isCompleteGroup(states: readonly RankState[]): boolean {
  const [first] = states;
  return (
    first !== undefined &&
    states.length === first.size &&
    new Set(states.map(state => state.rank)).size === first.size &&
    states.every(state => state.isOpen && state.epoch === first.epoch)
  );
}
