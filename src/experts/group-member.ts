/**
 * One rank's part in planning for its group. The member that holds the seat
 * follows the list of targets and the configuration; the others ask the store
 * for nothing.
 */
import {Log} from '../observability/log';
import {Metrics} from '../observability/metrics';
import type {ObjectApi} from '../platform/client';
import * as objects from '../platform/types';
import {WatchEvent, WatchLoop} from '../platform/watch-loop';
import * as random from '../random';
import type {ExpertParameters} from '../routes/types';
import type {RpcClient} from '../rpc/client';
import type {SiteDocuments} from '../roles/site-documents';
import type {Target} from '../forwarding/types';
import * as app from './app';
import {GroupClient} from './group-client';
import {GroupPlanner} from './planner';
import type {RankAgent} from './rank-agent';
import {PlannerElection, ElectionContext} from './planner-election';
import type {Engine, RankState} from './types';

/** Longest wait for a member's word on that, in milliseconds. */
const HEARING_TIMEOUT_MS = 80;
/** Milliseconds that the planner's watches wait for a change. */
const WATCH_TIMEOUT_MS = 25_000;
/** Members that are asked for their word; more would tell no more. */
const MAX_ASKED_MEMBERS = 12;
/**
 * Time that a planner has to be heard by a process that has just started, in
 * milliseconds: some of its readings.
 */
const STARTUP_DELAY_MS = 200;
/** Time between members' turns at a seat that is free, in milliseconds. */
const RANK_DELAY_MS = 50;
/** Pause between questions to an engine that is no rank yet. */
const RANK_POLL_INTERVAL_MS = 200;

/** What a member needs of its process. */
export interface MemberContext {
  /** Name of the instance. */
  readonly id: string;
  /** Names this life of the process. */
  readonly life: string;
  readonly service: string;
  readonly rpcPort: number;
  readonly engine: Engine;
  readonly agent: RankAgent;
  readonly documents: SiteDocuments;
  readonly store: ObjectApi;
  readonly rpc: RpcClient;
  readonly log: Log;
  readonly metrics: Metrics;
}

export class GroupMember extends ElectionContext {
  private readonly groupClient: GroupClient;
  private readonly planner: GroupPlanner;
  private election: PlannerElection | undefined;
  private group = '';
  private rank = 0;
  private members: readonly Target[] = [];
  private figures: ExpertParameters | undefined;
  private watches: readonly WatchLoop[] = [];
  private isClosed = false;

  constructor(private readonly context: MemberContext) {
    super();
    this.groupClient = new GroupClient({
      rpc: context.rpc,
      term: () => this.election?.term ?? 0,
      periodMs: () => this.planner.periodMs,
      view: () => this.planner.view,
      makeEngine: target => context.documents.makeEngine(target),
    });
    this.planner = new GroupPlanner({
      group: context.service,
      figures: () => this.figures,
      links: this.groupClient,
      term: () => this.election?.term ?? 0,
      ownRank: () => this.rank,
      ownState: () => this.readOwnState(),
      formerRank: () => this.election?.previousRank,
      onDeposed: () => this.election?.stepDown(),
      onTick: () => this.updateWatches(),
      log: context.log,
      metrics: context.metrics,
    });
  }

  /** Takes part from when the engine is a rank of a group. */
  async run(): Promise<void> {
    const {context} = this;
    while (!this.isClosed) {
      const state = await context.engine.state();
      if (state.ok && state.value !== undefined) {
        this.group = state.value.group;
        this.rank = state.value.rank;
        break;
      }
      await sleep(RANK_POLL_INTERVAL_MS);
    }
    if (this.isClosed) {
      return;
    }
    void context.agent.primeCounters();
    const {documents, service, id, life, store, log} = context;
    const key = `${documents.seatKind}/${service}.${this.group}`;
    this.election = new PlannerElection(
      key,
      {holder: id, life, rank: this.rank},
      this,
      store,
      log,
    );
    this.planner.start();
    await this.election.run();
  }

  heardTerm(): number {
    return this.context.agent.term;
  }

  isPlannerHeard(): boolean {
    return this.context.agent.isPlannerHeard;
  }

  electionDelayMs(): number {
    const {hasHeardPlanner: hasHeard} = this.context.agent;
    return this.rank * RANK_DELAY_MS + (hasHeard ? 0 : STARTUP_DELAY_MS);
  }

  onElected(): void {
    this.updateWatches();
    this.planner.wake();
  }

  async canBecomePlanner(): Promise<boolean> {
    const listing = await this.context.store.list(
      `${this.context.documents.targetsKind}/`,
    );
    if (!listing.ok) {
      return false;
    }
    this.setMembers(listing.value.items.flatMap(item => this.readTarget(item)));
    const asked = random.sample(this.members, MAX_ASKED_MEMBERS);
    const answers = await Promise.all(
      asked.map(target =>
        this.context.rpc.call(
          this.sidecarOf(target),
          app.hearing,
          {},
          HEARING_TIMEOUT_MS,
        ),
      ),
    );
    const reached = answers.filter(answer => answer.ok).length;
    const isHeard = answers.some(
      answer => answer.ok && answer.value.isPlannerHeard,
    );
    return !isHeard && reached * 2 > asked.length;
  }

  async close(): Promise<void> {
    this.isClosed = true;
    this.planner.close();
    this.watches.forEach(loop => loop.close());
    await this.election?.close();
    this.groupClient.close();
  }

  /** Only the planner follows the store. */
  private updateWatches(): void {
    const isHolding = (this.election?.term ?? 0) !== 0;
    if (isHolding && this.watches.length === 0 && !this.isClosed) {
      this.watches = this.startWatches();
    } else if (!isHolding && this.watches.length > 0) {
      this.watches.forEach(loop => loop.close());
      this.watches = [];
    }
  }

  private startWatches(): WatchLoop[] {
    const {documents, store} = this.context;
    const targets = new WatchLoop(
      store,
      documents.targetsKind,
      () => WATCH_TIMEOUT_MS,
    );
    const configuration = new WatchLoop(
      store,
      documents.configurationKind,
      () => WATCH_TIMEOUT_MS,
    );
    targets.events.subscribe(event => this.onTargets(event));
    configuration.events.subscribe(event => this.onConfiguration(event));
    void targets.run();
    void configuration.run();
    return [targets, configuration];
  }

  private onTargets(event: WatchEvent): void {
    if (event.kind !== 'listed' && event.kind !== 'changed') {
      return;
    }
    const {items, removed} = event.listing;
    const found = items.flatMap(item => this.readTarget(item));
    const read = new Set(found.map(target => target.id));
    const isListed = event.kind === 'listed';
    const named = new Set(
      (isListed ? items.map(item => item.key) : removed).map(objects.nameOf),
    );
    // An entry that tells of no target takes nobody's place.
    const kept = this.members.filter(
      ({id}) => !read.has(id) && named.has(id) === isListed,
    );
    this.setMembers([...kept, ...found]);
  }

  private onConfiguration(event: WatchEvent): void {
    if (event.kind !== 'listed' && event.kind !== 'changed') {
      return;
    }
    const {documents, service} = this.context;
    const object = event.listing.items.find(
      item => item.key === documents.configurationKey,
    );
    const read = documents.readSnapshot(object?.value);
    if (read.ok) {
      const found = read.value.services.find(one => one.name === service);
      this.figures = found?.engine?.experts;
      this.planner.wake();
    }
  }

  private readTarget(item: objects.StoredObject): Target[] {
    const target = this.context.documents.readTarget(
      objects.nameOf(item.key),
      item.version,
      item.value,
    );
    return target.ok ? [target.value] : [];
  }

  /** A rank's newest life is the one that counts at its address. */
  private setMembers(targets: readonly Target[]): void {
    const byAddress = new Map<string, Target>();
    for (const target of targets) {
      const isMember =
        target.service === this.context.service && target.group === this.group;
      const held = byAddress.get(target.address);
      if (isMember && (held?.revision ?? 0) < target.revision) {
        byAddress.set(target.address, target);
      }
    }
    this.members = [...byAddress.values()];
    this.groupClient.setMembers(
      this.members.map(target => ({
        target: target.address,
        sidecar: this.sidecarOf(target),
        hall: target.hall,
      })),
    );
  }

  private async readOwnState(): Promise<RankState | undefined> {
    const state = await this.context.engine.state();
    return state.ok ? state.value : undefined;
  }

  /** Every sidecar stands on its target's instance, at the same port. */
  private sidecarOf(target: Target): string {
    const [host] = target.address.split(':', 1);
    return `${host}:${this.context.rpcPort}`;
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
