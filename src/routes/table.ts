/** Looks up routes, accounts and services of one configuration version. */
import type * as types from './types';

/** A configuration snapshot with its indexes. */
export class RouteTable {
  private readonly byHost = new Map<string, types.Route[]>();
  private readonly byKey = new Map<string, types.ClientAccount>();
  private readonly byService = new Map<string, types.Service>();
  private readonly withObjective = new Set<string>();
  /** The route with the shortest allowed pause, by service. */
  private readonly strictest = new Map<string, types.Route>();
  /** Services whose routes have different priorities. */
  private readonly withPriorities: ReadonlySet<string>;
  /** The same among the routes of streams with an objective. */
  private readonly withRankedStreams: ReadonlySet<string>;

  constructor(readonly snapshot: types.Snapshot) {
    for (const route of snapshot.routes) {
      for (const {service} of route.services) {
        if (route.latencyObjectiveMs > 0) {
          this.withObjective.add(service);
        }
        const {pauseMs = Infinity} = this.strictest.get(service) ?? {};
        if (route.pauseMs > 0 && route.pauseMs < pauseMs) {
          this.strictest.set(service, route);
        }
      }
      const host = route.host.toLowerCase();
      const routes = this.byHost.get(host) ?? [];
      routes.push(route);
      this.byHost.set(host, routes);
    }
    for (const routes of this.byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const account of snapshot.accounts ?? []) {
      account.keys.forEach(key => this.byKey.set(key, account));
    }
    snapshot.services.forEach(one => this.byService.set(one.name, one));
    this.withPriorities = differing(snapshot.routes);
    this.withRankedStreams = differing(snapshot.routes.filter(isRankedStream));
  }

  /**
   * The route with the longest prefix that matches the path. A host with a port
   * also matches routes of the host alone; the query is ignored.
   */
  findRoute(host: string, path: string): types.Route | undefined {
    const name = host.toLowerCase();
    const routes =
      this.byHost.get(name) ?? this.byHost.get(name.replace(/:\d+$/, ''));
    const pathOnly = path.split('?', 1)[0]!;
    return routes?.find(route => pathOnly.startsWith(route.pathPrefix));
  }

  findAccount(key: string): types.ClientAccount | undefined {
    return this.byKey.get(key);
  }

  findService(name: string): types.Service | undefined {
    return this.byService.get(name);
  }

  /**
   * The route of the service that allows the shortest pause; undefined: none
   * limits the pause.
   */
  strictestRoute(service: string): types.Route | undefined {
    return this.strictest.get(service);
  }

  /** True if any route of the service has a latency objective. */
  hasObjective(service: string): boolean {
    return this.withObjective.has(service);
  }

  /** True if the service's routes have different priorities. */
  differInPriority(service: string): boolean {
    return this.withPriorities.has(service);
  }

  /** True if the service's routes of streams with an objective have different priorities. */
  streamsDifferInPriority(service: string): boolean {
    return this.withRankedStreams.has(service);
  }

  /** True if requests of the route must carry the API key of an account. */
  needsKey(route: types.Route): boolean {
    return !route.isPublic && this.snapshot.accounts !== undefined;
  }
}

/**
 * Routes without an objective have no waits to order. Plain services have many
 * routes that are hardly used, whose priorities say nothing about their load.
 */
function isRankedStream({kind, latencyObjectiveMs}: types.Route): boolean {
  return kind === 'stream' && latencyObjectiveMs > 0;
}

/** Services whose routes among these have different priorities. */
function differing(routes: readonly types.Route[]): Set<string> {
  const found = new Set<string>();
  const first = new Map<string, number>();
  for (const {services, priority} of routes) {
    for (const {service} of services) {
      if ((first.get(service) ?? priority) !== priority) {
        found.add(service);
      }
      first.set(service, priority);
    }
  }
  return found;
}

/**
 * Picks one of a route's services by weight; `fraction` is a number in [0, 1).
 */
export function pickService(route: types.Route, fraction: number): string {
  const total = route.services.reduce((sum, one) => sum + one.weight, 0);
  let remaining = fraction * total;
  for (const {service, weight} of route.services) {
    remaining -= weight;
    if (remaining < 0) {
      return service;
    }
  }
  return route.services[route.services.length - 1]!.service;
}
