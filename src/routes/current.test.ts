import {CurrentConfiguration} from './current';
import * as tables from './table';
import type {Route, Snapshot} from './types';

function route(name: string, host: string, pathPrefix: string): Route {
  return {
    name,
    host,
    pathPrefix,
    kind: 'safe',
    services: [{service: name, weight: 1}],
    timeoutMs: 800,
    latencyObjectiveMs: 300,
    pauseMs: 0,
    attempts: 2,
    priority: 1,
    isPublic: false,
    isResumable: false,
  };
}

function snapshot(version: number): Snapshot {
  return {
    version,
    routes: [
      route('wide', 'a.example', '/x/'),
      route('narrow', 'a.example', '/x/y/'),
      route('other', 'b.example', '/x/'),
    ],
    services: [],
    accounts: [{name: 'acc', keys: ['k1'], priority: undefined}],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

describe('CurrentConfiguration', () => {
  it('never goes back to an older version', () => {
    const current = new CurrentConfiguration();
    expect(current.offer(snapshot(5))).toBe(true);
    expect(current.offer(snapshot(4))).toBe(false);
    expect(current.offer(snapshot(5))).toBe(false);
    expect(current.table!.snapshot.version).toBe(5);
    expect(current.offer(snapshot(9))).toBe(true);
  });

  it('measures its age from the latest confirmation', () => {
    const current = new CurrentConfiguration();
    expect(current.isStale(0)).toBe(true);
    current.confirm(1_000);
    current.confirm(400);
    expect(current.ageMs(1_500)).toBe(500);
    expect(current.isStale(3_500)).toBe(false);
    expect(current.isStale(3_700)).toBe(true);
  });
});

describe('RouteTable', () => {
  const table = new tables.RouteTable(snapshot(1));

  it('finds the route with the longest matching prefix of the host', () => {
    expect(table.findRoute('a.example', '/x/y/z')?.name).toBe('narrow');
    expect(table.findRoute('A.example:80', '/x/z?q=/x/y/')?.name).toBe('wide');
    expect(table.findRoute('b.example', '/x/y/')?.name).toBe('other');
    expect(table.findRoute('c.example', '/x/')).toBeUndefined();
    expect(table.findRoute('a.example', '/z/')).toBeUndefined();
  });

  it('finds the account of a key', () => {
    expect(table.findAccount('k1')?.name).toBe('acc');
    expect(table.findAccount('k2')).toBeUndefined();
  });

  it('picks services by weight', () => {
    const split = {
      ...route('r', 'h', '/'),
      services: [
        {service: 'a', weight: 90},
        {service: 'b', weight: 10},
      ],
    };
    expect(tables.pickService(split, 0)).toBe('a');
    expect(tables.pickService(split, 0.899)).toBe('a');
    expect(tables.pickService(split, 0.901)).toBe('b');
    expect(tables.pickService(split, 0.999)).toBe('b');
  });
});
