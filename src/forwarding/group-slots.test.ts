/** Groups of ranks in three halls, one of which may be drained. */
import {Subject} from 'rxjs';
import type {Ticket} from '../admission/admittee';
import {UnlimitedShares} from '../capacity/types';
import type {GroupView} from '../experts/types';
import {Metrics} from '../observability/metrics';
import {LastContact} from '../peers/last-contact';
import * as random from '../random';
import {ok} from '../result';
import {DEFAULT_ADMISSION} from '../roles/site-settings';
import {CurrentConfiguration} from '../routes/current';
import type {EngineParameters} from '../routes/types';
import type {RpcClient} from '../rpc/client';
import type {Call} from './call';
import type {ForwarderContext} from './forwarder';
import {GroupGate} from './group-gate';
import * as groupKit from './group-kit';
import * as groupRequestLimit from './group-request-limit';
import {GroupViews} from './group-views';
import {LoadBalancer} from './load-balancer';
import * as openingLimit from './opening-limit';
import {ForwarderPools} from './pools';
import type {RelayedRequest} from './relayed-request';
import {TargetFinder} from './target-finder';
import {TargetList} from './target-list';
import type {Target} from './types';

const RANKS = 32;
const HALLS = ['h0', 'h1', 'h2'];
/** Has 11 of the ranks of a group. */
const DRAINED = 'h0';
const GROUPS = ['a', 'b'];
const SLOTS = 7;
const USABLE_SLOTS = 21 * SLOTS;
const IMBALANCE = 1.1;
const STEP_MS = 10;
const POLL_MS = 20;
const REQUESTS_PER_SECOND = 160;
const STREAM_MS = 2_000;

/** Passes with all slots taken are shorter than the route's pause. */
const ENGINE: EngineParameters = {
  ...groupKit.ENGINE,
  slots: SLOTS,
  perSequenceMs: 0.8,
};

const ranks: Target[] = GROUPS.flatMap((group, subnet) =>
  Array.from({length: RANKS}, (_, rank) => ({
    id: `${group}${rank}`,
    lifetime: `${group}${rank}@1`,
    service: 's',
    address: `10.0.${subnet}.${rank}:1`,
    hall: HALLS[rank % HALLS.length]!,
    slots: SLOTS,
    coldRemainingMs: 0,
    isLeaving: false,
    sequence: 1,
    revision: 1,
    group,
    rank,
  })),
);

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** One entry and two groups. */
class FakeSite {
  readonly targets = new TargetList();
  readonly views: GroupViews;
  readonly pools: ForwarderPools;
  /** Most requests at once, by rank. */
  readonly maxima = new Map<Target, number>();
  private readonly counts = new Map<Target, number>();
  private readonly balancer: LoadBalancer;
  private readonly finder: TargetFinder;

  constructor() {
    const {targets} = this;
    const configuration = new CurrentConfiguration();
    configuration.offer({
      version: 1,
      routes: [groupKit.ROUTE],
      services: [{name: 's', engine: ENGINE} as never],
      accounts: undefined,
      limits: {} as never,
    });
    ranks.forEach(rank => targets.add(rank));
    const cfg = {admission: {...DEFAULT_ADMISSION, isEnabled: true}};
    const gate = new GroupGate();
    const views: GroupViews = new GroupViews({
      rpc: {
        call: (address: string) => this.report(address),
      } as unknown as RpcClient,
      reach: new LastContact(),
      hall: 'h1',
      rpcPort: 1,
      ranks: () => targets.ranks(),
      usableRanks: () => targets.usableRanks(),
      knownEntryCount: () => 1,
      onGroupState: ({group}, isOpen, at) =>
        void gate.noteReport(group!, isOpen, at),
      onPasses: () => undefined,
      inFlight: lifetime => this.balancer.inFlight(lifetime),
    });
    this.views = views;
    this.balancer = new LoadBalancer('h1', views);
    this.finder = new TargetFinder({
      cfg,
      configuration,
      targets,
      balancer: this.balancer,
      gate,
      views,
      crashes: {isActive: false, convictions: new Subject<void>()},
      shares: new UnlimitedShares(),
      knownEntryCount: () => 1,
      log: {event: () => undefined},
      metrics: new Metrics(),
    } as unknown as ForwarderContext);
    this.pools = new ForwarderPools(
      {cfg, configuration, targets, views},
      this.finder.admission,
    );
    views.pollNewGroups();
  }

  async run(ms: number, perSecond = 0): Promise<void> {
    for (let left = ms; left > 0; left -= STEP_MS) {
      await jest.advanceTimersByTimeAsync(STEP_MS);
      const perStep = (perSecond * STEP_MS) / 1_000;
      const arrivals = Math.floor(perStep + random.uniform());
      for (let sent = 0; sent < arrivals; sent += 1) {
        void this.send();
      }
    }
  }

  capacity(rank: Target) {
    return this.views.capacityOf(
      rank,
      ENGINE,
      groupKit.ROUTE,
      performance.now(),
    );
  }

  inFlight(filter: (rank: Target) => boolean): number {
    return ranks
      .filter(filter)
      .reduce((sum, rank) => sum + (this.counts.get(rank) ?? 0), 0);
  }

  close(): void {
    this.finder.close();
    this.views.close();
  }

  private async send(): Promise<void> {
    const startedAt = performance.now();
    let ticket: Ticket | undefined;
    const call = {
      startedAt,
      isLikelyRetry: false,
      hasSentHead: false,
      deadline: startedAt + groupKit.ROUTE.timeoutMs,
      timeLeftMs: groupKit.ROUTE.timeoutMs,
      callerTimeLeftMs: groupKit.ROUTE.timeoutMs,
      signal: new AbortController().signal,
      holdPlace: (place: Ticket) => (ticket = place),
    } as unknown as Call;
    const head = {prompt: undefined};
    const request = {route: groupKit.ROUTE, service: 's', head};
    const found = await this.finder.find(
      call,
      request as unknown as RelayedRequest,
      new Map(),
      false,
    );
    if (found.ok) {
      this.add(found.value, 1);
      await wait(STREAM_MS);
      this.add(found.value, -1);
      this.balancer.end(found.value, 0, performance.now());
      ticket?.release(true);
    }
  }

  private add(rank: Target, change: number): void {
    const count = (this.counts.get(rank) ?? 0) + change;
    this.counts.set(rank, count);
    this.maxima.set(rank, Math.max(this.maxima.get(rank) ?? 0, count));
  }

  /** Views without delay, so that only the limit and the choice have an effect. */
  private async report(address: string): Promise<unknown> {
    await wait(POLL_MS);
    const [subnet] = address.split('.').slice(2);
    const group = GROUPS[Number(subnet)];
    const view: GroupView = {
      requests: ranks
        .filter(rank => rank.group === group)
        .map(rank => this.counts.get(rank) ?? 0),
      imbalance: IMBALANCE,
      slow: [],
    };
    const seen = {isOpen: true, ageMs: 60_000};
    return ok({known: {view, ageMs: 0}, seen});
  }
}

// Guards against groups that get requests for the slots of ranks that receive
// none: the excess then waits in the ranks that are in use.
describe('a group of which one hall is drained', () => {
  let site: FakeSite;
  const factors = {size: RANKS, imbalance: IMBALANCE, slowness: 1};

  beforeEach(async () => {
    jest.useFakeTimers();
    random.seed(5);
    site = new FakeSite();
    await site.run(300);
  });
  afterEach(() => {
    site.close();
    jest.useRealTimers();
  });

  it('is limited by the slots of its other ranks', () => {
    const before = groupRequestLimit.limitRequests(
      ENGINE,
      {...factors, correction: 1},
      groupKit.ROUTE,
    );
    expect(before.most).toBeCloseTo(1.05 * RANKS * SLOTS);
    expect(site.capacity(ranks[0]!)).toMatchObject(before);
    expect(site.pools.capacityOf('s a', performance.now())).toBe(235);
    site.targets.setDrainedHalls([DRAINED]);
    const {most} = site.capacity(ranks[1]!);
    expect(most).toBeCloseTo(1.05 * USABLE_SLOTS);
    expect(site.pools.capacityOf('s a', performance.now())).toBe(154);
    site.targets.setDrainedHalls([]);
    expect(site.capacity(ranks[0]!)).toMatchObject(before);
  });

  it('has no more slots than those when it opens', () => {
    site.targets.setDrainedHalls([DRAINED]);
    const now = performance.now();
    const knowledge = site.views.knowledgeOf(ranks[1]!, now);
    expect(knowledge).toMatchObject({size: RANKS, usableRanks: 21});
    const {most} = site.capacity(ranks[1]!);
    const group = {engine: ENGINE, allowed: groupKit.ROUTE, knowledge, most};
    expect(openingLimit.slotsOf(group)).toBe(USABLE_SLOTS);
    const opening = {
      ...knowledge,
      openMs: 100,
      uptimeMs: 60_000,
      viewAgeMs: 200,
    };
    for (const kind of ['first-try', 'last-try', 'resumed'] as const) {
      const part = openingLimit.partOf(
        kind,
        {...group, knowledge: opening},
        () => undefined,
      );
      expect(part).toBeLessThanOrEqual(USABLE_SLOTS);
    }
  });

  // Guards also against requests of the drained hall that take slots of others.
  it('lets requests in the drained hall end and use no other slots', async () => {
    await site.run(1_900, REQUESTS_PER_SECOND);
    await site.run(2 * POLL_MS);
    const inFlight = site.inFlight(one => one.group === 'a');
    const elsewhere = site.inFlight(
      one => one.group === 'a' && one.hall === DRAINED,
    );
    expect(elsewhere).toBeGreaterThan(20);
    site.targets.setDrainedHalls([DRAINED]);
    const {requests, usableRequests, most} = site.capacity(ranks[1]!);
    expect(most).toBeCloseTo(1.05 * USABLE_SLOTS);
    expect(usableRequests).toBe(inFlight - elsewhere);
    expect(requests).toBe(usableRequests);
    await site.run(2 * STREAM_MS);
    expect(site.inFlight(() => true)).toBe(0);
  });

  // The second rate is that of a burst.
  it.each([REQUESTS_PER_SECOND, 1.5 * REQUESTS_PER_SECOND])(
    'fills no rank in use beyond its part of the limit at %d requests per second',
    async perSecond => {
      site.targets.setDrainedHalls([DRAINED]);
      await site.run(8_000, perSecond);
      const total = site.inFlight(() => true);
      expect(site.inFlight(one => one.hall === DRAINED)).toBe(0);
      expect(total).toBeGreaterThan(2 * USABLE_SLOTS);
      // Requests start below the limit, which need not be a whole number.
      expect(total).toBeLessThanOrEqual(2 * Math.ceil(1.05 * USABLE_SLOTS));
      // The limit is 7.35 per rank; one of the own hall may have one more than
      // others, as a hop counts as one request.
      const fullest = Math.max(...site.maxima.values());
      expect(fullest).toBeLessThanOrEqual(Math.ceil(1.05 * SLOTS) + 1);
    },
  );
});
