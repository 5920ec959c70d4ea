/** Looking up routes and keys of one configuration version. */
import type * as types from './types';

/** A snapshot with its indexes. */
export class RouteTable {
  private readonly byHost = new Map<string, types.Route[]>();
  private readonly byKey = new Map<string, types.ClientAccount>();
  private readonly byService = new Map<string, types.Service>();

  constructor(readonly snapshot: types.Snapshot) {
    for (const route of snapshot.routes) {
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
  }

  /** The route of the host whose prefix is the longest that fits. */
  findRoute(host: string, path: string): types.Route | undefined {
    const name = host.toLowerCase();
    const routes =
      this.byHost.get(name) ?? this.byHost.get(name.replace(/:\d+$/, ''));
    const bare = path.split('?', 1)[0]!;
    return routes?.find(route => bare.startsWith(route.pathPrefix));
  }

  findAccount(key: string): types.ClientAccount | undefined {
    return this.byKey.get(key);
  }

  findService(name: string): types.Service | undefined {
    return this.byService.get(name);
  }

  /** True where the route's requests must carry a known key. */
  needsKey(route: types.Route): boolean {
    return !route.isPublic && this.snapshot.accounts !== undefined;
  }
}

/** Picks a route's service; `unit` is a number in [0, 1). */
export function pickService(route: types.Route, unit: number): string {
  const total = route.services.reduce((sum, one) => sum + one.weight, 0);
  let left = unit * total;
  for (const {service, weight} of route.services) {
    left -= weight;
    if (left < 0) {
      return service;
    }
  }
  return route.services[route.services.length - 1]!.service;
}
