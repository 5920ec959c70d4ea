/**
 * Entries whose callers all come back when a group opens after an outage, with
 * views that are late.
 */
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
import type {RpcClient} from '../rpc/client';
import type {Call} from './call';
import type {ForwarderContext} from './forwarder';
import {GroupGate} from './group-gate';
import {ENGINE, ROUTE} from './group-kit';
import * as groupRequestLimit from './group-request-limit';
import {GroupViews} from './group-views';
import {LoadBalancer} from './load-balancer';
import type {RelayedRequest} from './relayed-request';
import {TargetFinder} from './target-finder';
import {TargetList} from './target-list';
import type {Target} from './types';

const ENTRIES = 17;
const RANKS = 72;
const IMBALANCE = 3.5;
const VIEW_AGE_MS = 850;
const POLL_MS = 20;
const STEP_MS = 10;
const SECOND_MS = 1_000;
/** Retries that wait at an entry when the group opens. */
const WAITING_RETRIES = 30;
/** Requests that arrive at an entry in each step after that; half are retries. */
const ARRIVALS_PER_STEP = 0.3;
/** Longer than what is observed. */
const STREAM_MS = 1_800;
/** Wait after which a retry is tried for the last time. */
const LAST_TRY_AFTER_MS = 1_200 - 180;

const SLOTS = RANKS * ENGINE.slots;

const ranks: Target[] = Array.from({length: RANKS}, (_, rank) => ({
  id: `t${rank}`,
  lifetime: `t${rank}@1`,
  service: 's',
  address: `10.0.0.${rank}:1`,
  hall: 'h',
  slots: ENGINE.slots,
  coldRemainingMs: 0,
  isLeaving: false,
  sequence: 1,
  revision: 1,
  group: 'g',
  rank,
}));

/** Requests that the new group may process at once. */
const ALLOWED = groupRequestLimit.limitRequests(
  ENGINE,
  {size: RANKS, imbalance: IMBALANCE, slowness: 1, correction: 1},
  ROUTE,
).most;

interface Entry {
  readonly finder: TargetFinder;
  readonly views: GroupViews;
  readonly balancer: LoadBalancer;
}

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

class FakeSite {
  /** Starts, and those of them that were the last try of a retry. */
  started = 0;
  lastTries = 0;
  private isOpen = false;
  /** Requests at each rank, now and at earlier times. */
  private readonly counts = ranks.map(() => 0);
  private readonly history: Array<{at: number; requests: number[]}> = [];
  private readonly entries: readonly Entry[];

  constructor(private readonly knownEntries = ENTRIES) {
    this.entries = Array.from({length: ENTRIES}, () => this.openEntry());
  }

  async run(ms: number, perStep = 0): Promise<void> {
    for (let left = ms; left > 0; left -= STEP_MS) {
      await jest.advanceTimersByTimeAsync(STEP_MS);
      const at = performance.now();
      this.history.push({at, requests: [...this.counts]});
      for (const entry of this.entries) {
        if (random.uniform() < perStep) {
          this.send(entry, random.uniform() < 0.5);
        }
      }
    }
  }

  /** All entries' callers retry within a second; then the group opens. */
  async openWithWaiting(perEntry: number): Promise<void> {
    for (let at = 0; at < perEntry; at += 1) {
      this.entries.forEach(entry => this.send(entry, true));
      await this.run(Math.ceil(900 / perEntry / STEP_MS) * STEP_MS);
    }
    this.isOpen = true;
  }

  close(): void {
    this.entries.forEach(({finder, views}) => {
      finder.close();
      views.close();
    });
  }

  private send({finder, balancer}: Entry, isRetry: boolean): void {
    const startedAt = performance.now();
    let ticket: Ticket | undefined;
    const call = {
      startedAt,
      isLikelyRetry: isRetry,
      hasSentHead: false,
      deadline: startedAt + ROUTE.timeoutMs,
      timeLeftMs: ROUTE.timeoutMs,
      callerTimeLeftMs: ROUTE.timeoutMs,
      signal: new AbortController().signal,
      holdPlace: (place: Ticket) => (ticket = place),
    } as unknown as Call;
    const request = {
      route: ROUTE,
      service: 's',
      head: {prompt: undefined},
    } as unknown as RelayedRequest;
    const begin = async () => {
      const found = await finder.find(call, request, new Map(), isRetry);
      if (!found.ok) {
        return;
      }
      this.started += 1;
      const isLast = performance.now() - startedAt >= LAST_TRY_AFTER_MS;
      this.lastTries += isRetry && isLast ? 1 : 0;
      this.counts[found.value.rank!]! += 1;
      await wait(STREAM_MS);
      this.counts[found.value.rank!]! -= 1;
      balancer.end(found.value, 0, performance.now());
      ticket?.release(true);
    };
    void begin();
  }

  /** Long polls return a new view at once, and the state of the group. */
  private async report(): Promise<unknown> {
    await wait(POLL_MS);
    const now = performance.now();
    const old = this.history.find(one => one.at >= now - VIEW_AGE_MS);
    const view: GroupView = {
      requests: old?.requests ?? ranks.map(() => 0),
      imbalance: IMBALANCE,
      slow: [],
    };
    const seen = {isOpen: this.isOpen, ageMs: 0};
    return ok({
      known: this.isOpen ? {view, ageMs: VIEW_AGE_MS} : undefined,
      seen,
    });
  }

  private openEntry(): Entry {
    const configuration = new CurrentConfiguration();
    configuration.offer({
      version: 1,
      routes: [ROUTE],
      services: [{name: 's', engine: ENGINE} as never],
      accounts: undefined,
      limits: {} as never,
    });
    const targets = new TargetList();
    ranks.forEach(rank => targets.add(rank));
    const gate = new GroupGate();
    const log = {event: () => undefined};
    const metrics = new Metrics();
    const knownEntryCount = () => this.knownEntries;
    const views: GroupViews = new GroupViews({
      rpc: {call: () => this.report()} as unknown as RpcClient,
      reach: new LastContact(),
      hall: 'h',
      rpcPort: 1,
      ranks: () => targets.ranks(),
      usableRanks: () => targets.usableRanks(),
      knownEntryCount,
      onGroupState: ({group}, isOpen, at) =>
        void gate.noteReport(group!, isOpen, at),
      onPasses: () => undefined,
      inFlight: lifetime => balancer.inFlight(lifetime),
    });
    const balancer: LoadBalancer = new LoadBalancer('h', views);
    const finder = new TargetFinder({
      cfg: {admission: {...DEFAULT_ADMISSION, isEnabled: true}},
      configuration,
      targets,
      balancer,
      gate,
      views,
      crashes: {isActive: false, convictions: new Subject<void>()},
      shares: new UnlimitedShares(),
      knownEntryCount,
      log,
      metrics,
    } as unknown as ForwarderContext);
    views.pollNewGroups();
    return {finder, views, balancer};
  }
}

// Guards against a group that is filled beyond its slots when it opens: passes
// then take longer than callers accept, and almost no request is in time.
describe('requests that are started when a group opens', () => {
  beforeEach(() => {
    jest.useFakeTimers();
    random.seed(5);
  });
  afterEach(() => jest.useRealTimers());

  it('stay within its limit, and with last tries within its slots', async () => {
    const site = new FakeSite();
    await site.run(300);
    await site.openWithWaiting(WAITING_RETRIES);
    await site.run(SECOND_MS, ARRIVALS_PER_STEP);
    expect(site.started - site.lastTries).toBeLessThanOrEqual(ALLOWED);
    expect(site.started).toBeLessThanOrEqual(SLOTS);
    expect(site.started).toBeGreaterThan(0.9 * ALLOWED);
    expect(site.lastTries).toBeGreaterThan(0);
    site.close();
  });

  it('do so roughly where the entries do not know each other yet', async () => {
    const site = new FakeSite(1);
    await site.run(300);
    await site.openWithWaiting(WAITING_RETRIES);
    await site.run(SECOND_MS, ARRIVALS_PER_STEP);
    expect(site.started - site.lastTries).toBeLessThanOrEqual(
      ALLOWED * (ENTRIES / 16) + 1,
    );
    expect(site.started).toBeLessThanOrEqual(SLOTS);
    site.close();
  });
});
