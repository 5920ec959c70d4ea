/**
 * The forwarding core of one entry of a site of 17, with fakes for what it calls:
 * a group of ranks, its views, and the allocator of its capacity.
 */
import * as capacityApp from '../src/capacity/app';
import {SharedCapacity} from '../src/capacity/shared-capacity';
import {Call} from '../src/forwarding/call';
import type {ForwarderContext} from '../src/forwarding/forwarder';
import {GroupGate} from '../src/forwarding/group-gate';
import {ENGINE} from '../src/forwarding/group-kit';
import {GroupViews} from '../src/forwarding/group-views';
import {LoadBalancer} from '../src/forwarding/load-balancer';
import {ForwarderPools, poolOf} from '../src/forwarding/pools';
import {TargetFinder} from '../src/forwarding/target-finder';
import {TargetList} from '../src/forwarding/target-list';
import type {Target} from '../src/forwarding/types';
import type {Log} from '../src/observability/log';
import {Metrics} from '../src/observability/metrics';
import {LastContact} from '../src/peers/last-contact';
import {PeerDirectory} from '../src/peers/peer-directory';
import {PeerRanking} from '../src/peers/peer-ranking';
import {ok} from '../src/result';
import {CurrentConfiguration} from '../src/routes/current';
import type {Route} from '../src/routes/types';
import type {RpcClient} from '../src/rpc/client';

export const ENTRY_COUNT = 17;
export const RANK_COUNT = 72;
export const SERVICE = 'model';
const GROUP = 'group';
const HALLS = ['hall-0', 'hall-1', 'hall-2'];
const VIEW_INTERVAL_MS = 200;
const VIEW_AGE_MS = 100;
const CALL_MS = 5;
/** Share of the capacity above which an allocator calls a pool short. */
const SHORT_SHARE = 0.75;

export const ROUTES: readonly Route[] = ['a', 'b', 'c'].map(name => ({
  name,
  host: name,
  pathPrefix: '/',
  kind: 'stream',
  services: [{service: SERVICE, weight: 1}],
  timeoutMs: 8_000,
  latencyObjectiveMs: 503,
  pauseMs: 150,
  attempts: 3,
  priority: 1,
  isPublic: false,
  isResumable: true,
}));

const TARGETS: readonly Target[] = Array.from(
  {length: RANK_COUNT},
  (_, rank) => ({
    id: `t${rank}`,
    lifetime: `t${rank}@1`,
    service: SERVICE,
    address: `10.0.0.${rank}:1`,
    hall: HALLS[rank % HALLS.length]!,
    slots: ENGINE.slots,
    isLeaving: false,
    revision: 1,
    sequence: 1,
    coldRemainingMs: 0,
    group: GROUP,
    rank,
  }),
);

export class AdmissionEntry {
  readonly finder: TargetFinder;
  readonly balancer: LoadBalancer;
  readonly metrics = new Metrics();
  /** Calls to the allocator. */
  capacityCalls = 0;
  /** Formatted, as a real log does, but not written. */
  private readonly log: Log = {
    event: (name, fields) => void JSON.stringify({name, ...fields}),
  };
  private readonly views: GroupViews;
  private readonly shares: SharedCapacity;
  private readonly context: ForwarderContext;

  /** `parts`: the load of this entry is the total load divided by this. */
  constructor(
    isEnabled: boolean,
    private readonly parts: number,
  ) {
    const targets = new TargetList();
    TARGETS.forEach(one => targets.add(one));
    const configuration = new CurrentConfiguration();
    configuration.offer({
      version: 1,
      routes: ROUTES,
      services: [
        {
          name: SERVICE,
          connectionLimit: 64,
          coldStartMs: 0,
          coldPerSecond: 0,
          engine: ENGINE,
        },
      ],
      accounts: undefined,
      limits: {
        headerBytes: 0,
        bodyBytes: 0,
        headerTimeoutMs: 0,
        idleTimeoutMs: 0,
      },
    });
    this.views = this.openViews(targets);
    this.balancer = new LoadBalancer(HALLS[0]!, this.views);
    this.shares = this.openShares();
    this.context = {
      cfg: {admission: {isEnabled, weights: new Map(), floorShare: 0.1}},
      configuration,
      targets,
      balancer: this.balancer,
      gate: new GroupGate(),
      views: this.views,
      shares: this.shares,
      crashes: {isActive: false},
      knownEntryCount: () => ENTRY_COUNT,
      log: this.log,
      metrics: this.metrics,
    } as unknown as ForwarderContext;
    this.finder = new TargetFinder(this.context);
    this.shares.changes.subscribe(() => this.finder.admission.wake());
    this.views.pollNewGroups();
  }

  /** A call whose caller stays connected. */
  newCall(): Call {
    const res = {once: () => undefined, on: () => undefined};
    return new Call({} as never, res as never, this.context, () => false);
  }

  close(): void {
    this.finder.close();
    this.shares.close();
    this.views.close();
  }

  private openViews(targets: TargetList): GroupViews {
    return new GroupViews({
      rpc: {call: () => this.reportView()} as unknown as RpcClient,
      reach: new LastContact(),
      hall: HALLS[0]!,
      rpcPort: 1,
      ranks: () => targets.ranks(),
      usableRanks: () => targets.usableRanks(),
      knownEntryCount: () => ENTRY_COUNT,
      onGroupState: () => undefined,
      inFlight: lifetime => this.balancer.inFlight(lifetime),
      onPasses: () => undefined,
    });
  }

  private openShares(): SharedCapacity {
    const addresses = Array.from(
      {length: ENTRY_COUNT},
      (_, at) => `10.0.1.${at}:1`,
    );
    const rankingOf = (own: string) =>
      new PeerRanking(own, new PeerDirectory(own, addresses));
    // Another entry allocates.
    const [allocator] = rankingOf(addresses[0]!).ranked(poolOf(SERVICE, GROUP));
    const own = addresses.find(one => one !== allocator)!;
    const call = (
      _: string,
      _method: object,
      params: capacityApp.ReportParams,
    ) => this.grant(params, allocator!);
    return new SharedCapacity({
      rpc: {call} as unknown as RpcClient,
      peers: rankingOf(own),
      source: {
        demandOf: pool => this.pools.demandOf(pool),
        capacityOf: (pool, now) => this.pools.capacityOf(pool, now),
      },
      log: this.log,
      metrics: this.metrics,
      knownEntryCount: () => ENTRY_COUNT,
      weightOf: () => 1,
      floorShare: 0.1,
    });
  }

  private get pools(): ForwarderPools {
    return new ForwarderPools(this.context, this.finder.admission);
  }

  /** The other entries have as many requests as this one, evenly over the ranks. */
  private async reportView(): Promise<unknown> {
    await wait(VIEW_INTERVAL_MS - VIEW_AGE_MS);
    const own = TARGETS.map(({lifetime}) => this.balancer.inFlight(lifetime));
    const sum = own.reduce((a, b) => a + b, 0);
    const others = Math.round((sum * (this.parts - 1)) / RANK_COUNT);
    const view = {
      requests: own.map(count => count + others),
      imbalance: 1.3,
      slow: [],
    };
    await wait(VIEW_AGE_MS);
    const seen = {isOpen: true, ageMs: VIEW_AGE_MS};
    return ok({known: {view, ageMs: VIEW_AGE_MS}, seen});
  }

  /** Answers a report as an allocator whose other entries report the same. */
  private async grant(params: capacityApp.ReportParams, allocator: string) {
    this.capacityCalls += 1;
    await wait(CALL_MS);
    const answers = params.reports.map(({capacity, lines}) => {
      const demand = lines.reduce(
        (sum, {inFlight, waiting}) => sum + inFlight + waiting,
        0,
      );
      const isShort = demand * this.parts > SHORT_SHARE * capacity;
      const share = Math.floor(capacity / this.parts);
      const grant = {share, isShort, waitMs: VIEW_INTERVAL_MS};
      return {order: [allocator], silent: [], grant, isRelayed: false};
    });
    return ok({answers});
  }
}

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
