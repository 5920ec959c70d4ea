/**
 * Runs a rank's part in its group, in its sidecar: the RPC methods of the member,
 * the leader, and the group's view for the placement planner.
 */
import type {Follower} from '../configuration/follower';
import {Log} from '../observability/log';
import type {Metrics} from '../observability/metrics';
import type {ObjectApi} from '../platform/client';
import type {Instance} from '../platform/types';
import {PlannedGroup, Planner, RankReading} from '../placement/planner';
import * as load from '../placement/load';
import type {RpcClient} from '../rpc/client';
import type {RpcServer} from '../rpc/server';
import * as app from './app';
import type {EngineClient} from './engine-client';
import {GroupLeader} from './leader';
import {RankLink, RpcRankLink} from './links';
import {OrderAnswer, RankMember} from './member';
import * as types from './types';

export interface RankIdentity {
  readonly id: string;
  readonly group: string;
  readonly rank: number;
  readonly model: string;
  readonly incarnation: string;
}

const COUNTS_TIMEOUT_MS = 1_000;

class LocalRankLink extends RankLink {
  constructor(
    private readonly member: RankMember,
    private readonly onCommit: (
      answer: OrderAnswer,
      map: types.ExpertMap,
    ) => void,
  ) {
    super();
  }

  query(change: types.MapChange | null, fence: types.Fence | null) {
    return this.member.query(change, fence);
  }

  stage(change: types.MapChange, fence: types.Fence) {
    return this.member.stage(change, fence);
  }

  arm(change: types.MapChange, fence: types.Fence, incarnation: string) {
    return this.member.arm(change, fence, incarnation);
  }

  async commit(change: types.MapChange, fence: types.Fence) {
    const answer = await this.member.commit(change, fence);
    this.onCommit(answer, change.map);
    return answer;
  }

  abort(change: types.MapChange, fence: types.Fence) {
    return this.member.abort(change, fence);
  }
}

export class RankService extends PlannedGroup {
  private readonly member: RankMember;
  private readonly leader: GroupLeader;
  private readonly planner: Planner;
  private latestReading: types.EngineRank | undefined;
  private committedMap: types.ExpertMap | undefined;

  constructor(
    private readonly identity: RankIdentity,
    orders: EngineClient,
    private readonly follower: Follower,
    store: ObjectApi,
    private readonly rpc: RpcClient,
    private readonly log: Log,
    private readonly metrics: Metrics,
    private readonly isLeaving: () => boolean,
  ) {
    super();
    this.member = new RankMember(identity.incarnation, orders);
    this.leader = new GroupLeader(
      {group: identity.group, rank: identity.rank, holder: identity.id},
      this.member,
      store,
      log,
      () => this.links(),
      version => this.mapToForm(version),
    );
    this.planner = new Planner(this, () => this.placementSettings());
  }

  registerHandlers(server: RpcServer): void {
    server.handle(app.query, params =>
      this.member.query(params.change, params.fence),
    );
    server.handle(app.stage, params =>
      this.member.stage(params.change, params.fence),
    );
    server.handle(app.arm, async params => {
      const answer = await this.member.arm(
        params.change,
        params.fence,
        params.incarnation,
      );
      return this.logRefusal('arm', answer);
    });
    server.handle(app.commit, async params => {
      const answer = await this.member.commit(params.change, params.fence);
      this.recordCommittedMap(answer, params.change.map);
      return this.logRefusal('commit', answer);
    });
    server.handle(app.abort, async params => {
      const answer = await this.member.abort(params.change, params.fence);
      return this.logRefusal('abort', answer);
    });
    server.handle(app.propose, async params => {
      const end = await this.leader.propose(version => ({version, ...params}));
      return {end: end?.kind ?? 'no-lease'};
    });
    server.handle(app.counts, () => ({
      counts: this.latestReading?.counts ?? [],
      rankMs: this.latestReading?.rankMs ?? 0,
      stepMs: this.latestReading?.stepMs ?? 0,
    }));
  }

  start(): void {
    this.planner.start();
  }

  close(): void {
    this.planner.close();
    this.leader.close();
  }

  /** Records a reading of the engine and its step skew. */
  noteReading(rank: types.EngineRank): void {
    this.latestReading = rank;
    this.leader.noteReading(rank);
    const skewMs = Math.max(rank.stepMs - rank.rankMs, 0);
    this.metrics.recordDuration('step_skew', '', this.identity.group, skewMs);
  }

  /** The lowest live rank plans; more than one may while views differ. */
  isPlanner(): boolean {
    const [first] = this.groupSidecars().filter(
      sidecar => sidecar.state === 'live',
    );
    return first?.id === this.identity.id && !this.isLeaving();
  }

  async readRanks(): Promise<readonly RankReading[] | undefined> {
    const sidecars = this.groupSidecars();
    if (sidecars.length !== this.latestReading?.ranks) {
      return undefined;
    }
    const answers = await Promise.all(
      sidecars.map(sidecar =>
        this.rpc.call(sidecar.address, app.counts, {}, COUNTS_TIMEOUT_MS),
      ),
    );
    const readings = answers.flatMap(answer =>
      answer.ok ? [answer.value] : [],
    );
    return readings.length === sidecars.length ? readings : undefined;
  }

  currentMap(): types.ExpertMap | undefined {
    const version = this.latestReading?.version;
    if (version === undefined || version === null) {
      return undefined;
    }
    return this.committedMap?.version === version
      ? this.committedMap
      : {version, layers: this.initialLayers()};
  }

  async propose(layers: number[][][]): Promise<boolean> {
    const end = await this.leader.propose(version => ({version, layers}));
    this.metrics.count('map_changes_total', {end: end?.kind ?? 'no-lease'});
    return end?.kind === 'committed';
  }

  private links(): RankLink[] {
    return this.groupSidecars().map(sidecar =>
      sidecar.id === this.identity.id
        ? new LocalRankLink(this.member, (answer, map) =>
            this.recordCommittedMap(answer, map),
          )
        : new RpcRankLink(this.rpc, sidecar.address),
    );
  }

  /** In order of rank, in any state. */
  private groupSidecars(): Instance[] {
    return this.follower.instances
      .filter(instance => instance.group === this.identity.group)
      .sort((a, b) => a.rank - b.rank);
  }

  private placementSettings() {
    const templates = this.follower.replica.allTemplates();
    const match = templates.find(
      template => template.models[this.identity.model] !== undefined,
    );
    return match?.placement;
  }

  private mapToForm(version: number | null): types.ExpertMap {
    const map = this.committedMap ?? {
      version: 1,
      layers: this.initialLayers(),
    };
    return version === null ? map : {...map, version};
  }

  private initialLayers(): number[][][] {
    const counts = this.latestReading?.counts ?? [];
    const experts = counts[0]?.length ?? 0;
    return load.roundRobinLayers(
      counts.length,
      experts,
      this.latestReading?.ranks ?? 1,
    );
  }

  private recordCommittedMap(answer: OrderAnswer, map: types.ExpertMap): void {
    if (answer.refusal === null) {
      this.committedMap = map;
    }
  }

  private logRefusal(order: string, answer: OrderAnswer): OrderAnswer {
    if (answer.refusal !== null) {
      const isStale = answer.refusal === 'old-fence';
      const name = isStale ? 'staleOrderRefused' : 'orderFailed';
      this.log.event(name, {order, refusal: answer.refusal});
    }
    return answer;
  }
}
