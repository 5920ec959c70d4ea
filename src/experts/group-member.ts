/**
 * One rank's part in planning for its group. Only the member that is the
 * planner watches the list of targets and the configuration; the others access
 * the store for the election alone.
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

/** Timeout of asking a member whether it hears a planner. */
const HEARING_TIMEOUT_MS = 80;
const WATCH_TIMEOUT_MS = 25_000;
/**
 * Members that are asked whether they hear a planner; more would not tell more.
 */
const MAX_ASKED_MEMBERS = 12;
/**
 * Time for a process that has just started to hear the current planner: several
 * of its readings.
 */
const STARTUP_DELAY_MS = 200;
/** Election delay of each rank after the one before it. */
const RANK_DELAY_MS = 50;
/** Interval of reading an engine that is not a rank yet. */
const RANK_POLL_INTERVAL_MS = 200;

export interface MemberContext {
  /** Name of the instance. */
  readonly id: string;
  /** Unique to one run of the process. */
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
      groupClient: this.groupClient,
      term: () => this.election?.term ?? 0,
      ownRank: () => this.rank,
      ownState: () => this.readOwnState(),
      previousRank: () => this.election?.previousRank,
      onDeposed: () => this.election?.stepDown(),
      onTick: () => this.updateWatches(),
      log: context.log,
      metrics: context.metrics,
    });
  }

  /** Waits until the engine is a rank of a group, then runs until closed. */
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
    const {hasHeardPlanner} = this.context.agent;
    return this.rank * RANK_DELAY_MS + (hasHeardPlanner ? 0 : STARTUP_DELAY_MS);
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
    await this.planner.close();
    this.watches.forEach(watch => watch.close());
    await this.election?.close();
    this.groupClient.close();
  }

  /** Watches the store only while this member is the planner. */
  private updateWatches(): void {
    const isPlanner = (this.election?.term ?? 0) !== 0;
    if (isPlanner && this.watches.length === 0 && !this.isClosed) {
      this.watches = this.startWatches();
    } else if (!isPlanner && this.watches.length > 0) {
      this.watches.forEach(watch => watch.close());
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
    const validIds = new Set(found.map(target => target.id));
    const isListed = event.kind === 'listed';
    const names = new Set(
      (isListed ? items.map(item => item.key) : removed).map(objects.nameOf),
    );
    // A member whose entry is present but invalid is kept.
    const kept = this.members.filter(
      ({id}) => !validIds.has(id) && names.has(id) === isListed,
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

  /** Of targets with the same address, only the newest revision is a member. */
  private setMembers(targets: readonly Target[]): void {
    const byAddress = new Map<string, Target>();
    for (const target of targets) {
      const isMember =
        target.service === this.context.service && target.group === this.group;
      const newest = byAddress.get(target.address);
      if (isMember && (newest?.revision ?? 0) < target.revision) {
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

  /** Sidecars run on their targets' instances, all on the same port. */
  private sidecarOf(target: Target): string {
    const [host] = target.address.split(':', 1);
    return `${host}:${this.context.rpcPort}`;
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
