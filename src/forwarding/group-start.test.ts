/** What an entry that has just started sends to groups that it knows nothing of. */
import {Subject} from 'rxjs';
import {UnlimitedShares} from '../capacity/types';
import {Metrics} from '../observability/metrics';
import {LastContact} from '../peers/last-contact';
import * as random from '../random';
import {fail, ok} from '../result';
import {DEFAULT_ADMISSION} from '../roles/site-settings';
import {CurrentConfiguration} from '../routes/current';
import type {Route} from '../routes/types';
import type {RpcClient} from '../rpc/client';
import type {Call} from './call';
import type {ForwarderContext} from './forwarder';
import {GroupGate} from './group-gate';
import * as groupKit from './group-kit';
import {GroupViews} from './group-views';
import {LoadBalancer} from './load-balancer';
import type {RelayedRequest} from './relayed-request';
import {TargetFinder} from './target-finder';
import {TargetList} from './target-list';
import type {Target} from './types';

const RANKS = 32;
/** Sends of a request that its group refuses. */
const MAX_SENDS = 2;
/** From a send to the head of the rank's response. */
const SEND_MS = 10;
/** From a call of a sidecar to its response. */
const ROUND_TRIP_MS = 30;
/** The page's bounds. */
const UNKNOWN_MS = 700;
const ADDED_MS = 20;
const OTHER_SIDECAR_MS = 150;

const ROUTE: Route = {
  ...groupKit.ROUTE,
  latencyObjectiveMs: 0,
  pauseMs: 0,
  attempts: MAX_SENDS,
};

function ranksOf(group: string): Target[] {
  return Array.from({length: RANKS}, (_, rank) => ({
    id: `${group}${rank}`,
    lifetime: `${group}${rank}@1`,
    service: 's',
    address: `${group}${rank}:1`,
    hall: 'h',
    slots: 7,
    coldRemainingMs: 0,
    isLeaving: false,
    sequence: 1,
    revision: 1,
    group,
    rank,
  }));
}

type ViewCall = {readonly waitMs: number};
type Answer = Promise<unknown>;

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Never answers: the call fails after its timeout. */
async function silence(timeoutMs: number): Answer {
  await wait(timeoutMs);
  return fail({kind: 'unreachable', sent: true});
}

/** Answers as a sidecar does: without a change only after the long poll. */
async function stateOf(isOpen: boolean, waitMs: number): Answer {
  await wait(ROUND_TRIP_MS + waitMs);
  return ok({seen: {isOpen, ageMs: 0}});
}

interface Sent {
  readonly at: number;
  readonly group: string;
  readonly isAccepted: boolean;
}

class StartedEntry {
  readonly sends: Sent[] = [];
  /** Times at which requests were accepted by a rank. */
  readonly servedAt: number[] = [];
  refused = 0;
  /** Names of the hosts whose sidecars were called. */
  readonly asked: string[] = [];
  private readonly startedAt = performance.now();
  private readonly gate = new GroupGate();
  private readonly targets = new TargetList();
  private readonly views: GroupViews;
  private readonly balancer: LoadBalancer;
  private readonly finder: TargetFinder;

  constructor(
    groups: readonly string[],
    /** A rank of the group accepts a request that reaches it after `ms`. */
    private readonly accepts: (group: string, ms: number) => boolean,
    sidecar: (host: string, waitMs: number, timeoutMs: number) => Answer,
    private readonly route = ROUTE,
  ) {
    const configuration = new CurrentConfiguration();
    configuration.offer({
      version: 1,
      routes: [route],
      services: [{name: 's'} as never],
      accounts: undefined,
      limits: {} as never,
    });
    groups.flatMap(ranksOf).forEach(rank => this.targets.add(rank));
    const call = async (
      address: string,
      _: unknown,
      {waitMs}: ViewCall,
      timeoutMs: number,
    ) => {
      const [host] = address.split(':', 1);
      await Promise.resolve();
      this.asked.push(host!);
      return sidecar(host!, waitMs, timeoutMs);
    };
    this.views = new GroupViews({
      rpc: {call} as unknown as RpcClient,
      reach: new LastContact(),
      hall: 'h',
      rpcPort: 1,
      ranks: () => this.targets.ranks(),
      usableRanks: () => this.targets.usableRanks(),
      knownEntryCount: () => 1,
      onGroupState: ({group}, isOpen, at) =>
        void this.gate.noteReport(group!, isOpen, at),
      onPasses: () => undefined,
      inFlight: lifetime => this.balancer.inFlight(lifetime),
    });
    this.balancer = new LoadBalancer('h', this.views);
    this.finder = new TargetFinder({
      cfg: {admission: {...DEFAULT_ADMISSION, isEnabled: true}},
      configuration,
      targets: this.targets,
      balancer: this.balancer,
      gate: this.gate,
      views: this.views,
      crashes: {isActive: false, convictions: new Subject<void>()},
      shares: new UnlimitedShares(),
      knownEntryCount: () => 1,
      log: {event: () => undefined},
      metrics: new Metrics(),
    } as unknown as ForwarderContext);
    this.views.pollNewGroups();
  }

  get ms(): number {
    return performance.now() - this.startedAt;
  }

  /** A first try, which doesn't wait for a group that is known as closed. */
  async request(): Promise<void> {
    const startedAt = performance.now();
    const call = {
      startedAt,
      isLikelyRetry: false,
      hasSentHead: false,
      deadline: startedAt + this.route.timeoutMs,
      timeLeftMs: this.route.timeoutMs,
      callerTimeLeftMs: this.route.timeoutMs,
      signal: new AbortController().signal,
      holdPlace: () => undefined,
    } as unknown as Call;
    const request = {
      route: this.route,
      service: 's',
      head: {prompt: undefined},
    } as unknown as RelayedRequest;
    for (let sends = 0; sends < MAX_SENDS; sends += 1) {
      const found = await this.finder.find(call, request, new Map(), false);
      if (!found.ok) {
        break;
      }
      if (await this.send(found.value)) {
        return;
      }
    }
    this.refused += 1;
  }

  close(): void {
    this.finder.close();
    this.views.close();
  }

  private async send(target: Target): Promise<boolean> {
    const group = target.group!;
    const isAccepted = this.accepts(group, this.ms);
    this.sends.push({at: this.ms, group, isAccepted});
    await wait(SEND_MS);
    this.balancer.end(target, 0, performance.now());
    if (isAccepted) {
      this.gate.noteAccepted(group, performance.now());
      this.servedAt.push(this.ms);
    } else {
      this.gate.noteRefused(group, target.id, performance.now());
    }
    return isAccepted;
  }
}

const isSilent = (_host: string, _waitMs: number, timeoutMs: number) =>
  silence(timeoutMs);
const reportsOpen = (_host: string, waitMs: number) => stateOf(true, waitMs);

describe('an entry that has just started', () => {
  beforeEach(() => {
    jest.useFakeTimers();
    random.seed(7);
  });
  afterEach(() => jest.useRealTimers());

  // Guards against requests that use up their sends and the retry budget at a
  // group that opens shortly after.
  it.each([
    ['without admission', 0],
    ['with admission', 503],
  ])('holds requests until the group opens, %s', async (_, objectiveMs) => {
    const opensMs = 600;
    const route = {...ROUTE, latencyObjectiveMs: objectiveMs};
    const opens = (_group: string, ms: number) => ms >= opensMs;
    const entry = new StartedEntry(['g'], opens, isSilent, route);
    for (let at = 0; at < 20; at += 1) {
      void entry.request();
      await jest.advanceTimersByTimeAsync(opensMs / 20);
    }
    await jest.advanceTimersByTimeAsync(400);
    expect(entry.sends.filter(one => !one.isAccepted)).toHaveLength(0);
    expect(entry.refused).toBe(0);
    expect(entry.servedAt).toHaveLength(20);
    expect(Math.max(...entry.servedAt)).toBeLessThan(UNKNOWN_MS + 100);
    entry.close();
  });

  // Guards against a wait that lasts until the hold ends although the state came.
  it('sends them once a sidecar reports that the group has opened', async () => {
    const opensMs = 300;
    const opens = (_group: string, ms: number) => ms >= opensMs;
    const entry: StartedEntry = new StartedEntry(['g'], opens, (...args) =>
      entry.ms < opensMs ? isSilent(...args) : stateOf(true, 0),
    );
    void entry.request();
    await jest.advanceTimersByTimeAsync(500);
    expect(entry.sends).toHaveLength(1);
    expect(entry.sends[0]!.isAccepted).toBe(true);
    entry.close();
  });

  // Guards against callers that are held although the group is known as closed.
  it('refuses first tries as before once the group is known closed', async () => {
    const isOpen = () => false;
    const entry = new StartedEntry(['g'], isOpen, (_host, waitMs) =>
      stateOf(false, waitMs),
    );
    void entry.request();
    await jest.advanceTimersByTimeAsync(ROUND_TRIP_MS + 60);
    expect(entry.refused).toBe(1);
    expect(entry.sends).toHaveLength(0);
    entry.close();
  });

  // Guards against slower restarts of entries while their groups are open.
  it('delays requests for an open group by one round trip', async () => {
    const entry = new StartedEntry(['g'], () => true, reportsOpen);
    void entry.request();
    await jest.advanceTimersByTimeAsync(ROUND_TRIP_MS + ADDED_MS);
    expect(entry.sends).toHaveLength(1);
    expect(entry.servedAt).toHaveLength(1);
    entry.close();
  });

  // Guards against waiting for the time-out of one frozen sidecar.
  it('asks another sidecar if the first is silent', async () => {
    const entry: StartedEntry = new StartedEntry(
      ['g'],
      () => true,
      (host, ...rest) =>
        host === entry.asked[0]
          ? isSilent(host, ...rest)
          : reportsOpen(host, rest[0]),
    );
    void entry.request();
    const boundMs = OTHER_SIDECAR_MS + ROUND_TRIP_MS + ADDED_MS;
    await jest.advanceTimersByTimeAsync(boundMs);
    expect(entry.sends).toHaveLength(1);
    entry.close();
  });

  // Guards against a group without sidecars that never gets a request.
  it('probes a group of which no sidecar answers', async () => {
    const entry = new StartedEntry(['g'], () => true, isSilent);
    void entry.request();
    await jest.advanceTimersByTimeAsync(UNKNOWN_MS);
    expect(entry.sends).toHaveLength(1);
    entry.close();
  });

  // Guards against a second hold, counted from the first request.
  it('does so at once if the ranks have long been known', async () => {
    const entry = new StartedEntry(['g'], () => true, isSilent);
    await jest.advanceTimersByTimeAsync(UNKNOWN_MS);
    void entry.request();
    await jest.advanceTimersByTimeAsync(1);
    expect(entry.sends).toHaveLength(1);
    entry.close();
  });

  // Guards against requests that wait for one group while another takes them.
  it('sends to an open group while another is unknown', async () => {
    const entry = new StartedEntry(
      ['g', 'o'],
      group => group === 'o',
      (host, waitMs, timeoutMs) =>
        host.startsWith('o') ? stateOf(true, waitMs) : silence(timeoutMs),
    );
    await jest.advanceTimersByTimeAsync(ROUND_TRIP_MS + ADDED_MS);
    const askedMs = entry.ms;
    for (let at = 0; at < 5; at += 1) {
      void entry.request();
    }
    await jest.advanceTimersByTimeAsync(1);
    expect(entry.sends).toEqual(
      Array.from({length: 5}, () => ({
        at: expect.closeTo(askedMs, -1),
        group: 'o',
        isAccepted: true,
      })),
    );
    entry.close();
  });
});
