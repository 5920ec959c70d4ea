import {Subject} from 'rxjs';
import {UnlimitedShares} from '../capacity/types';
import {Metrics} from '../observability/metrics';
import {DEFAULT_ADMISSION} from '../roles/site-settings';
import {CurrentConfiguration} from '../routes/current';
import type {Route} from '../routes/types';
import type {Call} from './call';
import type {ForwarderContext} from './forwarder';
import {GroupGate} from './group-gate';
import {LoadBalancer} from './load-balancer';
import type {RelayedRequest} from './relayed-request';
import {TargetFinder} from './target-finder';
import {TargetList} from './target-list';
import type {Target} from './types';

const TARGET = {
  id: 't',
  lifetime: 't@1',
  service: 's',
  address: 't',
  hall: 'h',
  slots: 4,
  coldRemainingMs: 0,
  isLeaving: false,
  revision: 1,
  sequence: 1,
} as Target;
/** Requests that an entry has in flight at most at the target. */
const MOST = 6;

function route(
  priority: number,
  latencyObjectiveMs: number,
  kind: Route['kind'] = 'stream',
): Route {
  return {
    name: `${priority}-${latencyObjectiveMs}`,
    host: `${priority}-${latencyObjectiveMs}`,
    pathPrefix: '/',
    kind,
    services: [{service: 's', weight: 1}],
    timeoutMs: 1_500,
    latencyObjectiveMs,
    pauseMs: 0,
    attempts: 2,
    priority,
    isPublic: true,
    isResumable: false,
  };
}

/** Fills the target and sends one more over the first route; how many wait. */
function waitingAtFull(routes: readonly Route[]): number {
  const configuration = new CurrentConfiguration();
  configuration.offer({
    version: 1,
    routes,
    services: [],
    accounts: undefined,
    limits: {} as never,
  });
  const targets = new TargetList();
  targets.add(TARGET);
  const finder = new TargetFinder({
    cfg: {admission: DEFAULT_ADMISSION},
    configuration,
    targets,
    balancer: new LoadBalancer('h'),
    gate: new GroupGate(),
    views: {updates: new Subject<void>()},
    crashes: {isActive: false, convictions: new Subject<void>()},
    shares: new UnlimitedShares(),
    knownEntryCount: () => 1,
    log: {event: () => undefined},
    metrics: new Metrics(),
  } as unknown as ForwarderContext);
  for (let at = 0; at <= MOST; at += 1) {
    const startedAt = performance.now();
    const call = {
      startedAt,
      deadline: startedAt + 1_500,
      timeLeftMs: 1_500,
      callerTimeLeftMs: 1_500,
      signal: new AbortController().signal,
      holdPlace: () => undefined,
    } as unknown as Call;
    const request = {route: routes[0], service: 's', head: {}};
    void finder.find(call, request as RelayedRequest, new Map(), false);
  }
  const waiting = finder.admission
    .demandOf('s', 's')
    .reduce((sum, line) => sum + line.waiting, 0);
  finder.close();
  return waiting;
}

// Guards against queues, and their refusals and processor time, at services that
// don't need them.
describe('a first attempt at a full service', () => {
  it('is refused at once where its routes with an objective have one priority', () => {
    expect(waitingAtFull([route(1, 500), route(1, 300)])).toBe(0);
    expect(waitingAtFull([route(1, 500), route(0, 0)])).toBe(0);
    const plain = [route(1, 500, 'safe'), route(0, 300, 'safe')];
    expect(waitingAtFull(plain)).toBe(0);
  });

  it('waits where they have different priorities', () => {
    expect(waitingAtFull([route(1, 500), route(0, 300)])).toBe(1);
  });
});
