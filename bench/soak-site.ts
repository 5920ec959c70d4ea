/**
 * Soak test of a site: real entry processes with load beyond the capacity of
 * their targets, next to stand-ins for the store and the targets in this process.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as faults from '../features/support/faults';
import * as fleets from '../features/support/fleet';
import * as testHttp from '../features/support/http';
import {TestProcess, saveLogs, savesLogs} from '../features/support/process';
import {PATHS, SETTINGS_VARIABLE} from '../platform/names';
import * as standin from '../platform/site-standin';
import {ObjectStoreStandin} from '../platform/store-standin';
import * as random from '../src/random';
import * as soakCallers from './soak-callers';
import * as checks from './soak-checks';
import {ColdTarget, SoakTarget, TARGET_SLOTS} from './soak-target';

const ENTRY_COUNT = 3;
const TARGET_COUNT = 3;
const HALLS = ['hall-a', 'hall-b', 'hall-c'];
const SERVICE = 'plain';
const HOST = 'a.example';
const ACCOUNTS = ['large', 'small-1', 'small-2', 'small-3'];
const METRICS_PORT = 9464;
const MEMORY_MB = 160;
const BOUND_BYTES = (MEMORY_MB * 1_000_000) / 16;
const COLD_PER_SECOND = 5;
/** With the default overshoot and slack. */
const MAX_COLD_PER_SECOND = COLD_PER_SECOND * 1.5 + 5;
const TIME_LIMIT_MS = 1_500;
const LARGE_TIME_LIMIT_MS = 8_000;
/** Several slow readers begin at a time. */
const LARGE_INTERVAL_MS = 2_400;
const LARGE_COUNT = 3;
const POLL_INTERVAL_MS = 250;
/** Time for the entries to discover each other and the targets. */
const START_UP_MS = 3_000;
/** Time after the load in which late effects are still detected. */
const SETTLE_MS = 3_500;

/** Together 1.5 times the capacity of 12 slots with 100 ms per request. */
const CALLER_KINDS: readonly soakCallers.CallerKind[] = [
  {name: 'urgent', rank: 0, perSecond: 30},
  {name: 'order', rank: 0, perSecond: 20},
  {name: 'batch', rank: 1, perSecond: 100},
  {name: 'backlog', rank: 1, perSecond: 30},
];
/** Routes whose requests may not be repeated. */
const UNSAFE = ['order', 'backlog'];

/** Faults in quick succession, and in between times long enough for `RankCheck`. */
const PACE: faults.Pace = {
  durationMs: () => 200 + random.integerBelow(1_300),
  pauseMs: () =>
    random.uniform() < 1 / 3
      ? 14_000 + random.integerBelow(3_000)
      : 300 + random.integerBelow(1_200),
};

interface Entry {
  readonly id: string;
  readonly host: string;
  readonly process: TestProcess;
}

export interface SiteReport {
  /** Broken guarantees, each with the time at which it was detected. */
  readonly violations: string[];
  /** How often each check was put to the test. */
  readonly checked: Readonly<Record<string, number>>;
  readonly faults: string[];
}

export class SoakSite implements faults.FaultListener {
  readonly report = new faults.SoakReport();
  private readonly store = new ObjectStoreStandin();
  private readonly targets: SoakTarget[] = [];
  private readonly entries: Entry[] = [];
  private readonly held = new checks.HeldBytesCheck(this.report, BOUND_BYTES);
  private readonly cold = new checks.ColdBoundCheck(
    this.report,
    MAX_COLD_PER_SECOND,
  );
  private readonly ranks = new checks.RankCheck(this.report, TIME_LIMIT_MS);
  private readonly checks = [
    new checks.NotRunCheck('notRun', this.report),
    new checks.RunOnceCheck(
      this.report,
      operation => !UNSAFE.some(name => operation.startsWith(`/${name}/`)),
    ),
    this.cold,
    new checks.UnreadAnswerCheck('unreadAnswers', this.report),
    this.ranks,
    this.held,
  ];
  private readonly dir = fs.mkdtempSync(path.join(os.tmpdir(), 'soak-'));
  /** Loopback network; other runs on this machine use other ones. */
  private readonly net = 16 + (process.pid % 200);
  private readonly timers: NodeJS.Timeout[] = [];

  async open(): Promise<void> {
    const storeAddress = await this.store.open();
    this.store.write('config', 'main', configuration());
    for (let at = 0; at < TARGET_COUNT; at += 1) {
      const target = new SoakTarget(`i-${at}`, this.emit);
      this.targets.push(target);
      const address = await target.open(standin.hostOf(this.net, 100 + at));
      this.store.write('servers', target.id, targetDocument(address, at));
    }
    for (let at = 0; at < ENTRY_COUNT; at += 1) {
      this.startEntry(at, storeAddress);
    }
    await Promise.all(this.entries.map(({id}) => this.whenReady(id)));
  }

  /** Runs the load and the faults that were drawn, and then the last checks. */
  async run(milliseconds: number): Promise<SiteReport> {
    const schedule = this.drawSchedule(milliseconds);
    const options = this.callerOptions();
    const callers = new soakCallers.Callers(options);
    const slow = new soakCallers.SlowReaders(options, LARGE_TIME_LIMIT_MS);
    await fleets.pause(START_UP_MS);
    const sends = CALLER_KINDS.map(kind => callers.send(kind));
    this.repeat(LARGE_INTERVAL_MS, () => slow.open(LARGE_COUNT));
    this.repeat(POLL_INTERVAL_MS, () => this.observeEntries());
    this.onFaultEnd(performance.now());
    await schedule.run(this.report, this);
    this.onFault(performance.now());
    await Promise.all([callers.stop(), ...sends]);
    await fleets.pause(SETTLE_MS);
    await this.observeEntries();
    slow.close();
    return this.summarize(callers, slow);
  }

  onFault(at: number): void {
    this.emit({kind: 'fault', at});
  }

  onFaultEnd(at: number): void {
    this.emit({kind: 'fault-over', at});
  }

  /** Ends all processes, in any state. */
  async close(): Promise<void> {
    this.timers.forEach(timer => clearInterval(timer));
    const processes = this.entries.map(({process}) => process);
    saveLogs(processes);
    await Promise.all(processes.map(process => process.destroy()));
    this.targets.forEach(target => target.close());
    this.store.close();
    fs.rmSync(this.dir, {recursive: true});
  }

  /** For the exit of this process: also ends processes that are suspended. */
  killAll(): void {
    this.entries.forEach(entry => entry.process.signal('SIGKILL'));
    fs.rmSync(this.dir, {recursive: true, force: true});
  }

  private readonly emit = (event: checks.SoakEvent): void => {
    this.checks.forEach(check => check.observe(event));
  };

  private drawSchedule(milliseconds: number): faults.FaultSchedule {
    const processOf = (id: string) => this.entry(id).process;
    const kinds = [
      new faults.KillFault(processOf, id => this.whenRestarted(id)),
      new faults.FreezeFault(processOf),
      new faults.OutageFault(async isUnavailable => {
        this.store.isUnavailable = isUnavailable;
      }),
      new ColdTarget(this.store, this.targets, this.emit),
    ];
    const ids = this.entries.map(({id}) => id);
    return new faults.FaultSchedule(kinds, ids, PACE, milliseconds);
  }

  private callerOptions(): soakCallers.CallerOptions {
    return {
      entries: this.entries.map(({host}) => `${host}:${standin.CALLERS_PORT}`),
      host: HOST,
      keys: ACCOUNTS.map(keyOf),
      timeLimitMs: TIME_LIMIT_MS,
      emit: this.emit,
    };
  }

  private startEntry(at: number, storeAddress: string): void {
    const id = `entry-${at}`;
    const host = standin.hostOf(this.net, at);
    const seeds = [0, 1, 2].map(seed => standin.hostOf(this.net, seed));
    const settings = {
      ...standin.settingsOf('entry', id, host, HALLS[at % HALLS.length]!),
      'seed-nodes': seeds.map(seed => `${seed}:8229`),
      platform: {address: storeAddress},
      limits: {'memory-mb': MEMORY_MB},
      admission: {},
    };
    const file = path.join(this.dir, `${id}.json`);
    fs.writeFileSync(file, JSON.stringify(settings));
    const env = {
      [SETTINGS_VARIABLE]: file,
      FERRYCLEAT_LOG_LEVEL: savesLogs() ? 'info' : 'warn',
    };
    const process = new TestProcess(id, ['site', 'entry'], env);
    this.entries.push({id, host, process});
    process.start();
  }

  private entry(id: string): Entry {
    return this.entries.find(entry => entry.id === id)!;
  }

  private whenReady(id: string): Promise<void> {
    const address = `${this.entry(id).host}:${standin.READY_PORT}`;
    return fleets.eventually(`${id} is ready`, async () => {
      const {status} = await testHttp.call(address, 'GET', PATHS.ready);
      return status === 200;
    });
  }

  private whenRestarted(id: string): Promise<void> {
    return this.whenReady(id).catch((err: Error) =>
      this.report.addViolation(err.message),
    );
  }

  private repeat(intervalMs: number, action: () => unknown): void {
    this.timers.push(setInterval(action, intervalMs));
  }

  private async observeEntries(): Promise<void> {
    this.emit({kind: 'tick', at: performance.now()});
    this.entries.forEach(entry => this.checkRunning(entry));
    await Promise.all(this.entries.map(entry => this.readHeldBytes(entry)));
  }

  /** Processes that were killed have no exit code. */
  private checkRunning({id, process}: Entry): void {
    if (!process.isRunning) {
      this.report.addViolation(`${id} ended by itself`);
      process.start();
    }
  }

  /** Reads nothing from an entry that is suspended or not started. */
  private async readHeldBytes({id, host}: Entry): Promise<void> {
    const {text} = await testHttp.call(
      `${host}:${METRICS_PORT}`,
      'GET',
      '/metrics',
      {},
      undefined,
      POLL_INTERVAL_MS,
    );
    const line = /^ferrycleat_held_bytes_peak (\d+)/m.exec(text);
    if (line !== null) {
      const peakBytes = Number(line[1]);
      this.emit({kind: 'held', entry: id, peakBytes, at: performance.now()});
    }
  }

  private summarize(
    callers: soakCallers.Callers,
    slow: soakCallers.SlowReaders,
  ): SiteReport {
    const {violations, faults} = this.report;
    const cuts = this.entries.map(one => one.process.count('FC2015'));
    const figures = {
      ...callers.counts,
      byRank: Object.fromEntries(callers.byRank),
      slowReaders: slow.count,
      slowReadersCut: cuts.reduce((sum, count) => sum + count, 0),
      maxHeldBytes: this.held.maxBytes,
      maxColdPerSecond: this.cold.maxReceived,
      lowestShareOfHighestRank: this.ranks.lowestShare,
    };
    const checked = Object.fromEntries(
      this.checks.map(({name, count}) => [name, count]),
    );
    return {violations, ...figures, checked, faults};
  }
}

function keyOf(account: string): string {
  return `key-${account}`;
}

function targetDocument(address: string, at: number): object {
  return {
    service: SERVICE,
    address,
    zone: HALLS[at % HALLS.length],
    version: 'v1',
    slots: TARGET_SLOTS,
    state: 'ready',
    'cold-remaining-ms': 0,
    sequence: 1,
  };
}

function route(name: string, priority: number, changes: object): object {
  return {
    name,
    host: HOST,
    'path-prefix': `/${name}/`,
    kind: UNSAFE.includes(name) ? 'unsafe' : 'safe',
    'timeout-ms': TIME_LIMIT_MS,
    'target-latency-ms': 300,
    attempts: 1,
    service: SERVICE,
    priority,
    ...changes,
  };
}

function configuration(): object {
  const plain = CALLER_KINDS.map(({name, rank}) =>
    route(name, rank === 0 ? 0 : 2, {}),
  );
  const large = {kind: 'streaming', 'timeout-ms': LARGE_TIME_LIMIT_MS};
  return {
    version: 1,
    routes: [...plain, route('large', 0, large)],
    services: [
      {
        name: SERVICE,
        'connection-limit': 100,
        'cold-start-s': 8,
        'cold-per-s': COLD_PER_SECOND,
      },
    ],
    // With priorities, as accounts have at sites: the rank is the route's then.
    tenants: ACCOUNTS.map(name => ({
      name,
      'access-keys': [keyOf(name)],
      priority: 1,
    })),
  };
}
