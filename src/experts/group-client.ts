/**
 * A planner's client for the sidecars of its group. Calls are forwarded along a
 * tree with one branch per hall, which bounds the traffic between halls and the
 * calls that the planner makes.
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

/** Leaves time to retry the order; short because the group may be held. */
const HELPER_TIMEOUT_MS = 250;
/**
 * Ranks whose counters are read. Requests are spread evenly, so a sample shows
 * the demand of all; counters are the largest part of a reading.
 */
export const MAX_SAMPLED_RANKS = 32;
const SILENT_RETRY_INTERVAL_MS = 400;

export const STATES_ONLY: ReadOptions = {
  growth: false,
  planning: false,
  held: false,
};
/** Used once the planner has settled what its predecessor left unfinished. */
export const PLANNING_READ: ReadOptions = {
  growth: true,
  planning: true,
  held: false,
};

/** One rank of the group and its sidecar. */
export interface Member {
  /** Address of the target. */
  readonly target: string;
  /** Address of the sidecar. */
  readonly sidecar: string;
  readonly hall: string;
}

export interface GroupReading {
  /** By sidecar address; lacks ranks that could not be read. */
  readonly ranks: ReadonlyMap<string, RankReading>;
  /** A sidecar has heard a planner with a higher term. */
  readonly isDeposed: boolean;
  /** Sum over the sampled ranks. */
  readonly growth: Float64Array | undefined;
}

export interface GroupClientContext {
  readonly rpc: RpcClient;
  term(): number;
  /** Milliseconds between readings, sent to the sidecars. */
  periodMs(): number;
  /** Summary of the group, sent to the sidecars; undefined: none. */
  view(): GroupView | undefined;
  makeEngine(target: string): Engine;
}

export class GroupClient {
  private members: readonly Member[] = [];
  /** Members whose counters are read. */
  private sample: ReadonlySet<Member> = new Set();
  private readonly engines = new Map<string, Engine>();
  /** By address of a silent sidecar: time of the last call to it. */
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
   * Reads every responsive sidecar. Silent ones are retried in the background,
   * so that a frozen one delays only one reading by its timeout.
   */
  async read(options: ReadOptions): Promise<GroupReading> {
    const now = performance.now();
    for (const [sidecar, at] of this.lastCallToSilent) {
      const member = this.members.find(one => one.sidecar === sidecar);
      if (member === undefined) {
        // Marked silent by a call that was under way when it left the list.
        this.lastCallToSilent.delete(sidecar);
      } else if (now - at > SILENT_RETRY_INTERVAL_MS) {
        this.lastCallToSilent.set(sidecar, now);
        void this.readMembers([member], STATES_ONLY);
      }
    }
    const responsive = this.members.filter(one =>
      this.isResponsive(one.sidecar),
    );
    if (!options.growth) {
      return this.readMembers(responsive, options);
    }
    const [sample, others] = await Promise.all([
      this.readMembers(
        responsive.filter(one => this.sample.has(one)),
        options,
      ),
      this.readMembers(
        responsive.filter(one => !this.sample.has(one)),
        {...options, growth: false},
      ),
    ]);
    return {
      ranks: new Map([...sample.ranks, ...others.ranks]),
      isDeposed: sample.isDeposed || others.isDeposed,
      growth: sample.growth,
    };
  }

  /** Reads every rank, directly where its sidecar is silent. */
  async readAll(): Promise<GroupReading> {
    const options: ReadOptions = {...STATES_ONLY, held: true};
    this.lastCallToSilent.clear();
    const reading = await this.read(options);
    const ranks = new Map(reading.ranks);
    await Promise.all(
      this.members
        .filter(member => this.lastCallToSilent.has(member.sidecar))
        .map(async member => {
          const direct = await agent.readRank(this.engineOf(member), true);
          if (direct !== undefined) {
            ranks.set(member.sidecar, direct);
          }
        }),
    );
    return {...reading, ranks};
  }

  /** Undefined unless the reading covers one whole, open group. */
  ranksOf(reading: GroupReading): GroupRanks | undefined {
    const states = [...reading.ranks.values()].map(one => one.state);
    return isCompleteGroup(states) ? this.partialRanksOf(reading) : undefined;
  }

  /** The ranks of a partial reading; the missing ones must not be addressed. */
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

  /** Orders members through their sidecars, or directly if that fails. */
  async orderMembers(
    members: readonly Member[],
    order: Order,
  ): Promise<OrderResult[]> {
    const results = await this.orderInBranches(members, app.orderToWire(order));
    const lacking = members.filter(
      member => results.get(member.sidecar) === 'no-base',
    );
    if (lacking.length > 0) {
      const wire = app.orderToWire(order, true);
      const retried = await this.orderInBranches(lacking, wire);
      retried.forEach((result, sidecar) => results.set(sidecar, result));
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
   * Orders members' engines without their own sidecars. A small group is
   * ordered directly. In a large one the first rank of each branch is ordered
   * directly, and its sidecar then orders the others, since the group is held
   * until all are done.
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

  /** Has a sidecar order other ranks, or orders them directly if that fails. */
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

  /** Has the helper's sidecar order the rank of another member. */
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

  private async readMembers(
    members: readonly Member[],
    options: ReadOptions,
  ): Promise<GroupReading> {
    const {rpc, term, periodMs, view} = this.context;
    const call = {...options, term: term(), periodMs: periodMs(), view: view()};
    const ranks = new Map<string, RankReading>();
    let growth: Float64Array | undefined;
    let isDeposed = false;
    await Promise.all(
      this.branchesOf(members).map(async sidecars => {
        const reading = await branch.readBranch(rpc, call, sidecars);
        reading.ranks.forEach((answer, at) => {
          const sidecar = sidecars[at]!;
          this.recordAnswer(sidecar, answer.kind !== 'silent');
          if (answer.kind === 'read') {
            ranks.set(sidecar, answer.reading);
          }
          isDeposed ||= answer.kind === 'deposed';
        });
        if (reading.growth !== undefined) {
          growth = packing.addGrowth(growth, reading.growth);
        }
      }),
    );
    return {ranks, isDeposed, growth};
  }

  /** Returns results by sidecar address. */
  private async orderInBranches(
    members: readonly Member[],
    order: app.WireOrder,
  ): Promise<Map<string, branch.BranchOrderResult>> {
    const {rpc, term} = this.context;
    const call = {term: term(), order};
    const results = new Map<string, branch.BranchOrderResult>();
    await Promise.all(
      this.branchesOf(members).map(async sidecars => {
        const branchResults = await branch.orderBranch(rpc, call, sidecars);
        branchResults.forEach((result, at) => {
          results.set(sidecars[at]!, result);
          this.recordAnswer(sidecars[at]!, result !== 'silent');
        });
      }),
    );
    return results;
  }

  /**
   * Sidecars in one branch per hall, so that one answer and one sum of counters
   * pass between halls instead of one per rank: that traffic is charged for. A
   * single hall is split like the members of any branch. Responsive sidecars
   * come first, as heads.
   */
  private branchesOf(members: readonly Member[]): string[][] {
    const byHall = new Map<string, string[]>();
    for (const {hall, sidecar} of members) {
      const inHall = byHall.get(hall) ?? [];
      inHall.push(sidecar);
      byHall.set(hall, inHall);
    }
    const halls = [...byHall.values()].map(sidecars => [
      ...sidecars.filter(one => this.isResponsive(one)),
      ...sidecars.filter(one => !this.isResponsive(one)),
    ]);
    const [only] = halls;
    return halls.length === 1 ? branch.splitIntoBranches(only!) : halls;
  }

  /** Orders the engine directly, which the platform charges for. */
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

  private recordAnswer(sidecar: string, hasAnswered: boolean): void {
    if (hasAnswered) {
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

  readStates(ranks: readonly number[]) {
    return this.client.readStates(ranks.map(rank => this.members[rank]!));
  }

  order(ranks: readonly number[], order: Order) {
    return this.client.orderMembers(
      ranks.map(rank => this.members[rank]!),
      order,
    );
  }

  orderRemotely(ranks: readonly number[], order: Order) {
    return this.client.orderRemotely(
      ranks.map(rank => this.members[rank]!),
      order,
    );
  }

  orderThrough(helper: number, rank: number, order: Order) {
    return this.client.orderThrough(
      this.members[helper]!,
      this.members[rank]!,
      rank,
      order,
    );
  }

  targetOf(rank: number): string {
    return this.members[rank]!.target;
  }

  /** Ranks whose sidecars answer. */
  get responsive(): number[] {
    return this.all.filter(rank =>
      this.client.isResponsive(this.members[rank]!.sidecar),
    );
  }
}

/** At most `MAX_SAMPLED_RANKS` members at even intervals. */
function sampleMembers(members: readonly Member[]): Set<Member> {
  const interval = Math.ceil(members.length / MAX_SAMPLED_RANKS);
  return new Set(members.filter((_, at) => at % interval === 0));
}

/** True if the states are those of one open group, each rank once. */
function isCompleteGroup(states: readonly RankState[]): boolean {
  const [first] = states;
  return (
    first !== undefined &&
    states.length === first.size &&
    new Set(states.map(state => state.rank)).size === first.size &&
    states.every(state => state.isOpen && state.epoch === first.epoch)
  );
}
