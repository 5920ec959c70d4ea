/**
 * Stand-in for the platform: versioned objects with conditional updates and
 * watches, and a list of instances that can lag. Keeps all data in memory.
 */
import type * as http from 'node:http';
import * as v from 'valibot';
import * as body from '../src/http/body';
import * as httpServer from '../src/http/server';
import {Instance, StoredObject, instanceSchema} from '../src/platform/types';
import * as faults from './faults';

const MAX_VALUE_BYTES = 1024 * 1024;
const MAX_WAIT_MS = 60_000;

interface ListedInstance {
  readonly instance: Instance;
  readonly listedAt: number;
}

/** Number of calls since the start, by kind. */
export interface CallCounts {
  reads: number;
  writes: number;
  watches: number;
}

export class PlatformStandin {
  private readonly history: StoredObject[] = [];
  private readonly current = new Map<string, StoredObject>();
  private readonly listed: ListedInstance[] = [];
  private readonly waiters = new Set<() => void>();
  private revision = 0;
  private readonly faults: faults.PlatformFaults = {
    outage: false,
    outageAfterWrites: null,
    hideWatches: false,
    loseAnswers: 0,
    delayMs: 0,
    listLagMs: 0,
    staleRevision: null,
  };
  private readonly counts: CallCounts = {reads: 0, writes: 0, watches: 0};
  private listener: httpServer.Listener | undefined;

  /** Starts the server and returns its address. */
  async open(address: string): Promise<string> {
    this.listener = await httpServer.listen(
      address,
      (req, res) => this.handleRequest(req, res),
      () => undefined,
    );
    return this.listener.address;
  }

  async close(): Promise<void> {
    this.wakeWaiters();
    await this.listener?.close();
  }

  /** Adds an instance to the list, or replaces the one with its id. */
  addInstance(instance: Instance): void {
    this.listed.push({instance, listedAt: Date.now()});
  }

  private async handleRequest(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://standin');
    if (url.pathname.startsWith('/standin/')) {
      await this.handleControl(req, res, url.pathname);
      return;
    }
    if (this.faults.outage) {
      res.destroy();
      return;
    }
    if (this.faults.delayMs > 0) {
      await new Promise(wake => setTimeout(wake, this.faults.delayMs));
    }
    const key = decodeURIComponent(
      url.pathname.replace(/^\/v1\/objects\//, ''),
    );
    if (url.pathname === '/v1/instances') {
      this.counts.reads += 1;
      body.sendJson(res, 200, {instances: this.laggedInstances()});
    } else if (url.pathname === '/v1/watch') {
      this.counts.watches += 1;
      await this.handleWatch(res, url.searchParams);
    } else if (url.pathname === '/v1/objects') {
      this.counts.reads += 1;
      const prefix = url.searchParams.get('prefix') ?? '';
      body.sendJson(res, 200, this.listObjects(prefix));
    } else if (req.method === 'GET') {
      this.counts.reads += 1;
      const found = this.readAsOf(key);
      body.sendJson(res, found ? 200 : 404, found ?? {});
    } else if (req.method === 'PUT') {
      this.counts.writes += 1;
      await this.handlePut(req, res, key);
    } else {
      body.sendJson(res, 405, {});
    }
  }

  private async handlePut(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    key: string,
  ): Promise<void> {
    const read = await body.readJson(req, MAX_VALUE_BYTES);
    const match = /^"(\d+)"$/.exec(body.headerOf(req, 'if-match') ?? '');
    if (!read.ok || match === null) {
      body.sendJson(res, 400, {
        error: 'expected a JSON body and an If-Match version',
      });
      return;
    }
    const stored = this.current.get(key);
    if ((stored?.version ?? 0) !== Number(match[1])) {
      body.sendJson(res, 412, {current: stored ?? null});
      return;
    }
    this.revision += 1;
    const object = {key, version: this.revision, value: read.value};
    this.current.set(key, object);
    this.history.push(object);
    this.wakeWaiters();
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1;
      res.destroy();
      return;
    }
    this.countDownToOutage();
    body.sendJson(res, 200, {version: this.revision});
  }

  private countDownToOutage(): void {
    const left = this.faults.outageAfterWrites;
    if (left !== null) {
      this.faults.outageAfterWrites = left - 1;
      this.faults.outage ||= left - 1 <= 0;
    }
  }

  private async handleWatch(
    res: http.ServerResponse,
    query: URLSearchParams,
  ): Promise<void> {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after') ?? 0);
    const waitMs = Math.min(Number(query.get('wait-ms') ?? 0), MAX_WAIT_MS);
    const deadlineAt = Date.now() + waitMs;
    let changed = this.changedSince(prefix, after);
    while (changed.length === 0 && Date.now() < deadlineAt && !res.destroyed) {
      await this.waitForChange(deadlineAt - Date.now(), res);
      changed = this.changedSince(prefix, after);
    }
    if (this.faults.outage) {
      res.destroy();
      return;
    }
    body.sendJson(res, 200, {revision: this.revision, items: changed});
  }

  private waitForChange(
    waitMs: number,
    res: http.ServerResponse,
  ): Promise<void> {
    return new Promise(resolve => {
      const settle = () => {
        clearTimeout(timer);
        this.waiters.delete(settle);
        res.removeListener('close', settle);
        resolve();
      };
      const timer = setTimeout(settle, waitMs);
      this.waiters.add(settle);
      res.once('close', settle);
    });
  }

  private wakeWaiters(): void {
    if (!this.faults.hideWatches) {
      [...this.waiters].forEach(wake => wake());
    }
  }

  private changedSince(prefix: string, after: number): StoredObject[] {
    return [...this.current.values()].filter(
      object => object.version > after && object.key.startsWith(prefix),
    );
  }

  private listObjects(prefix: string) {
    const revision = this.faults.staleRevision ?? this.revision;
    const items = [...this.current.keys()]
      .filter(key => key.startsWith(prefix))
      .flatMap(key => this.readAsOf(key) ?? []);
    return {revision, items};
  }

  private readAsOf(key: string): StoredObject | undefined {
    const maxRevision = this.faults.staleRevision;
    if (maxRevision === null) {
      return this.current.get(key);
    }
    return this.history.findLast(
      object => object.key === key && object.version <= maxRevision,
    );
  }

  private laggedInstances(): Instance[] {
    const visibleUntil = Date.now() - this.faults.listLagMs;
    const byId = new Map<string, Instance>();
    for (const {instance, listedAt} of this.listed) {
      if (listedAt <= visibleUntil) {
        byId.set(instance.id, instance);
      }
    }
    return [...byId.values()];
  }

  private async handleControl(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    path: string,
  ): Promise<void> {
    if (req.method === 'GET') {
      const history = this.history.map(o => ({key: o.key, at: o.version}));
      body.sendJson(res, 200, {...this.counts, history});
      return;
    }
    const read = await body.readJson(req, MAX_VALUE_BYTES);
    const value = read.ok ? read.value : undefined;
    if (path === '/standin/instances') {
      const parsed = v.safeParse(instanceSchema, value);
      if (parsed.success) {
        this.addInstance(parsed.output);
      }
      body.sendJson(res, parsed.success ? 200 : 400, {});
      return;
    }
    const parsed = v.safeParse(faults.platformFaultsSchema, value);
    if (parsed.success) {
      Object.assign(this.faults, parsed.output);
      this.wakeWaiters();
    }
    body.sendJson(res, parsed.success ? 200 : 400, {});
  }
}
