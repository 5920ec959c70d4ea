/**
 * How a planner reaches the sidecars of its group: a small group of one hall
 * one by one, others in branches of one hall each. The planner calls the first
 * sidecar of a branch, which passes the call on, so that neither the bytes
 * between halls nor the planner's link and processor grow with the group.
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
  ReadAnswer,
  ReadWish,
} from './types';

/** Groups up to this size are small: within one hall, called one by one. */
const LARGEST_SMALL = 16;
/** Sidecars in a branch: about the root of a large group's size. */
const BRANCH_SIZE = 8;
/** What a branch may take longer than a single sidecar, in milliseconds. */
const BRANCH_EXTRA_MS = 100;
/**
 * Longest wait for a sidecar that orders another's rank, in milliseconds: some
 * tries of the order, since the group may be held meanwhile.
 */
const HELPER_TIMEOUT_MS = 250;
/** Pause before a silent sidecar is called again, in milliseconds. */
const SILENT_PAUSE_MS = 400;

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
export interface LinksContext {
  readonly rpc: RpcClient;
  term(): number;
  /** Milliseconds between readings, told to the sidecars. */
  periodMs(): number;
  /** What sidecars are told of the group; undefined: nothing is known. */
  view(): GroupView | undefined;
  makeEngine(target: string): Engine;
}

export class GroupLinks {
  private members: readonly Member[] = [];
  private branches: readonly (readonly Member[])[] = [];
  private readonly engines = new Map<string, Engine>();
  /** Sidecars that did not answer, and when they were called last. */
  private readonly silent = new Map<string, number>();

  constructor(private readonly context: LinksContext) {}

  get size(): number {
    return this.members.length;
  }

  get isLarge(): boolean {
    return this.members.length > LARGEST_SMALL;
  }

  setMembers(members: readonly Member[]): void {
    this.members = members;
    this.branches = branchesOf(members);
    const targets = new Set(members.map(member => member.target));
    for (const [target, engine] of this.engines) {
      if (!targets.has(target)) {
        engine.close();
        this.engines.delete(target);
      }
    }
    const sidecars = new Set(members.map(member => member.sidecar));
    for (const sidecar of this.silent.keys()) {
      if (!sidecars.has(sidecar)) {
        this.silent.delete(sidecar);
      }
    }
  }

  isHeard(sidecar: string): boolean {
    return !this.silent.has(sidecar);
  }

  /** Reads every sidecar that is heard, and silent ones now and then. */
  async read(wish: ReadWish): Promise<GroupReading> {
    const now = performance.now();
    const isDue = (member: Member) =>
      now - (this.silent.get(member.sidecar) ?? -Infinity) > SILENT_PAUSE_MS;
    const rounds = await Promise.all(
      this.branches.map(members =>
        this.readBranch(members.filter(isDue), wish),
      ),
    );
    const ranks = new Map<string, RankReading>();
    let growth: Float64Array | undefined;
    let isDeposed = false;
    for (const round of rounds) {
      for (const [sidecar, answer] of round.answers) {
        if (answer.kind === 'read') {
          ranks.set(sidecar, answer.reading);
        }
        isDeposed ||= answer.kind === 'deposed';
      }
      if (round.growth !== undefined) {
        growth = packing.addGrowth(growth, round.growth);
      }
    }
    return {ranks, isDeposed, growth};
  }

  /**
   * Reads every rank, past sidecars that are silent too, which the platform
   * charges for.
   */
  async readAll(): Promise<GroupReading> {
    const wish: ReadWish = {growth: false, held: true};
    this.silent.clear();
    const reading = await this.read(wish);
    const ranks = new Map(reading.ranks);
    await Promise.all(
      this.members
        .filter(member => this.silent.has(member.sidecar))
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
    return isWhole(states) ? this.someRanksOf(reading) : undefined;
  }

  /** The ranks of a reading; places that it lacks must not be asked for. */
  someRanksOf(reading: GroupReading): GroupRanks {
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
    const results = new Map<Member, OrderResult>();
    await Promise.all(
      branchesOf(members).map(async some => {
        const ends = await this.orderBranch(some, order);
        some.forEach((member, at) => results.set(member, ends[at]!));
      }),
    );
    return members.map(member => results.get(member)!);
  }

  /** Orders some members' engines from here, past their sidecars. */
  orderDirect(
    members: readonly Member[],
    order: Order,
  ): Promise<OrderResult[]> {
    return Promise.all(members.map(member => this.orderEngine(member, order)));
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
    this.note(helper, answer.ok);
    return answer.ok ? answer.value.result : 'no-answer';
  }

  async readStates(
    members: readonly Member[],
  ): Promise<(RankState | undefined)[]> {
    const wish: ReadWish = {growth: false, held: false};
    return Promise.all(
      members.map(async member => {
        const {answers} = await this.readBranch([member], wish);
        const answer = answers.get(member.sidecar);
        if (answer?.kind === 'silent') {
          const read = await agent.readRank(this.engineOf(member), false);
          return read?.state;
        }
        return answer?.kind === 'read' ? answer.reading.state : undefined;
      }),
    );
  }

  close(): void {
    this.engines.forEach(engine => engine.close());
    this.engines.clear();
  }

  /** The sidecar called first is one that is heard, where there is one. */
  private headFirst(members: readonly Member[]): Member[] {
    const head = members.findIndex(member => this.isHeard(member.sidecar));
    return head <= 0
      ? [...members]
      : [members[head]!, ...members.filter((_, at) => at !== head)];
  }

  private async readBranch(
    members: readonly Member[],
    wish: ReadWish,
  ): Promise<{
    answers: Map<string, ReadAnswer>;
    growth: Float64Array | undefined;
  }> {
    const answers = new Map<string, ReadAnswer>();
    const [head, ...behind] = this.headFirst(members);
    if (head === undefined) {
      return {answers, growth: undefined};
    }
    const extraMs = behind.length > 0 ? BRANCH_EXTRA_MS : 0;
    const answer = await this.context.rpc.call(
      head.sidecar,
      app.read,
      {
        term: this.context.term(),
        periodMs: this.context.periodMs(),
        growth: wish.growth,
        held: wish.held,
        view: this.context.view(),
        members: behind.map(member => member.sidecar),
      },
      branch.READ_TIMEOUT_MS + extraMs,
    );
    if (!answer.ok) {
      this.note(head, false);
      // The rest of the branch goes on behind another head.
      const rest = await this.readBranch(behind, wish);
      rest.answers.set(head.sidecar, {kind: 'silent'});
      return rest;
    }
    const {ranks, growth} = answer.value;
    [head, ...behind].forEach((member, at) => {
      const one = ranks[at] ?? {kind: 'silent' as const};
      answers.set(member.sidecar, one);
      this.note(member, one.kind !== 'silent');
    });
    return {
      answers,
      growth: growth === undefined ? undefined : packing.unpackGrowth(growth),
    };
  }

  private async orderBranch(
    members: readonly Member[],
    order: Order,
  ): Promise<OrderResult[]> {
    if (members.length === 0) {
      return [];
    }
    const inOrder = this.headFirst(members);
    const [head, ...behind] = inOrder as [Member, ...Member[]];
    const wire = app.orderToWire(order);
    const extraMs = behind.length > 0 ? BRANCH_EXTRA_MS : 0;
    const answer = await this.context.rpc.call(
      head.sidecar,
      app.order,
      {
        term: this.context.term(),
        order: wire,
        members: behind.map(member => member.sidecar),
      },
      branch.orderTimeoutMs(wire) + extraMs,
    );
    const results = new Map<Member, OrderResult>();
    if (answer.ok) {
      await Promise.all(
        inOrder.map(async (member, at) => {
          const end = answer.value.results[at] ?? 'silent';
          this.note(member, end !== 'silent');
          results.set(
            member,
            end === 'silent' ? await this.orderEngine(member, order) : end,
          );
        }),
      );
    } else {
      this.note(head, false);
      const [own, rest] = await Promise.all([
        this.orderEngine(head, order),
        this.orderBranch(behind, order),
      ]);
      results.set(head, own);
      behind.forEach((member, at) => results.set(member, rest[at]!));
    }
    return members.map(member => results.get(member)!);
  }

  /** Past a sidecar; the platform charges for it. */
  private orderEngine(member: Member, order: Order): Promise<OrderResult> {
    return agent.carryOut(this.engineOf(member), order);
  }

  private engineOf(member: Member): Engine {
    let engine = this.engines.get(member.target);
    if (engine === undefined) {
      engine = this.context.makeEngine(member.target);
      this.engines.set(member.target, engine);
    }
    return engine;
  }

  private note(member: Member, isHeard: boolean): void {
    if (isHeard) {
      this.silent.delete(member.sidecar);
    } else {
      this.silent.set(member.sidecar, performance.now());
    }
  }
}

/** Members of a group in the order of their ranks. */
export class GroupRanks extends Ranks {
  constructor(
    private readonly links: GroupLinks,
    private readonly members: readonly Member[],
  ) {
    super();
  }

  get size(): number {
    return this.members.length;
  }

  readStates(places: readonly number[]) {
    return this.links.readStates(places.map(place => this.members[place]!));
  }

  order(places: readonly number[], order: Order) {
    return this.links.orderMembers(
      places.map(place => this.members[place]!),
      order,
    );
  }

  orderDirect(places: readonly number[], order: Order) {
    return this.links.orderDirect(
      places.map(place => this.members[place]!),
      order,
    );
  }

  orderThrough(helper: number, place: number, order: Order) {
    return this.links.orderThrough(
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
  get heard(): number[] {
    return this.all.filter(place =>
      this.links.isHeard(this.members[place]!.sidecar),
    );
  }
}

/**
 * Branches of one hall each, so that halls exchange one answer and one sum of
 * counters instead of one a rank: for 12 ranks in 3 halls the price of bytes
 * between halls falls from 0.0143 of worth to 0.0091 (mean of 8 simulated
 * days). Few members of one hall are called one by
 * one.
 */
function branchesOf(members: readonly Member[]): Member[][] {
  const byHall = new Map<string, Member[]>();
  for (const member of members) {
    const held = byHall.get(member.hall) ?? [];
    held.push(member);
    byHall.set(member.hall, held);
  }
  if (byHall.size <= 1 && members.length <= LARGEST_SMALL) {
    return members.map(member => [member]);
  }
  const branches: Member[][] = [];
  for (const inHall of byHall.values()) {
    for (let at = 0; at < inHall.length; at += BRANCH_SIZE) {
      branches.push(inHall.slice(at, at + BRANCH_SIZE));
    }
  }
  return branches;
}

/** True where the states are those of one open group, each rank once. */
function isWhole(states: readonly RankState[]): boolean {
  const [first] = states;
  return (
    first !== undefined &&
    states.length === first.size &&
    new Set(states.map(state => state.rank)).size === first.size &&
    states.every(state => state.isOpen && state.epoch === first.epoch)
  );
}
