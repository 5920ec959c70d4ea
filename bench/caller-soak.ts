/**
 * Soak test of callers that don't behave: crowds of them beside ordinary callers,
 * while the entries of a site are stopped, killed, suspended and reloaded and their
 * configuration changes.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import {SoakReport} from '../features/support/faults';
import * as fleets from '../features/support/fleet';
import * as testHttp from '../features/support/http';
import {TestProcess, saveLogs} from '../features/support/process';
import * as crowds from '../platform/crowd-kit';
import {PATHS, SETTINGS_VARIABLE} from '../platform/names';
import * as standin from '../platform/site-standin';
import {ObjectStoreStandin} from '../platform/store-standin';
import * as random from '../src/random';
import {OrdinaryCaller} from './ordinary-caller';
import {StopTarget} from './stop-callers';

const SERVICE = 'plain';
const HOST = 'a.example';
const HALL = 'hall-a';
const TARGET_COUNT = 3;
const CALLERS_PER_ENTRY = 6;
const KIB = 1_024;
const MIB = 1_024 * KIB;
const BODY_LIMITS = [MIB, 64 * KIB] as const;
const HEAP_MB = 100;
const MEMORY_MB = 260;
const DESCRIPTORS = 500;
const POLL_INTERVAL_MS = 200;
const SUSPENSION_MS = 700;
const WARM_UP_MS = 1_000;
const SERVED_TIMEOUT_MS = 30_000;
const MAX_PAUSE_MS = 2_000;
const MIN_CROWD = 10;
const MAX_CROWD = 120;
const METRICS_PORT = 9464;

export interface CallerSoakOptions {
  readonly entries: number;
  readonly durationMs: number;
}

export interface CallerReport {
  readonly violations: string[];
  readonly faults: string[];
  readonly figures: Readonly<Record<string, number>>;
}

interface CrowdKind {
  readonly name: string;
  readonly port: number;
  readonly bytes: (at: number) => Iterable<Buffer>;
}

const CHUNKED = [1, 64 * KIB] as const;
const FIELDS = Array.from({length: 1_500}, (_, at) => `h${at}:\r\n`).join('');

const CROWD_KINDS: readonly CrowdKind[] = [
  {
    name: 'open bodies',
    port: standin.CALLERS_PORT,
    bytes: at =>
      crowds.endlessUpload('/quick/20/64', MIB - 1, CHUNKED[at % 2]!),
  },
  {
    name: 'bodies past the limit',
    port: standin.CALLERS_PORT,
    bytes: at =>
      crowds.endlessUpload('/quick/20/64', 32 * MIB, CHUNKED[at % 2]!),
  },
  {
    name: 'large answers unread',
    port: standin.CALLERS_PORT,
    bytes: () =>
      crowds.requestsAhead(500, () =>
        crowds.headOf('GET', `/work/10/${256 * KIB}`, ''),
      ),
  },
  {
    name: 'refusals unread',
    port: standin.CALLERS_PORT,
    bytes: caller =>
      crowds.requestsAhead(5_000, at =>
        crowds.headOf(
          'GET',
          `/keyed/${at}`,
          `Authorization: Bearer key-${caller}-${at}\r\n`,
        ),
      ),
  },
  {
    name: 'heads',
    port: standin.CALLERS_PORT,
    bytes: at => [
      Buffer.from(
        crowds.headOf('GET', '/quick/20/64', FIELDS).slice(0, -2 * (at % 2)),
      ),
    ],
  },
  {name: 'silent', port: standin.CALLERS_PORT, bytes: () => []},
  {
    name: 'metrics unread',
    port: METRICS_PORT,
    bytes: () =>
      crowds.requestsAhead(500, () => crowds.headOf('GET', '/metrics', '')),
  },
];

const FAULT_KINDS = [
  'stop',
  'kill',
  'suspend',
  'reload',
  'configuration',
] as const;
/** Share of the steps that open a crowd. */
const CROWD_SHARE = 0.6;

interface Step {
  readonly crowd: CrowdKind | undefined;
  readonly count: number;
  readonly fault: (typeof FAULT_KINDS)[number];
  /** Number of the entry. */
  readonly entry: number;
  readonly pauseMs: number;
}

class Entry {
  usage: crowds.ProcessUsage | undefined;
  /** A signal of the soak ends its process. */
  isEnding = false;

  constructor(
    readonly id: string,
    readonly host: string,
    readonly process: TestProcess,
  ) {}

  get callers(): string {
    return `${this.host}:${standin.CALLERS_PORT}`;
  }

  start(): void {
    this.process.start();
    this.usage?.close();
    this.usage = new crowds.ProcessUsage(this.process.pid);
    this.isEnding = false;
  }

  async isReady(): Promise<boolean> {
    const address = `${this.host}:${standin.READY_PORT}`;
    const {status} = await testHttp.call(address, 'GET', PATHS.ready);
    return status === 200;
  }
}

export class CallerSoak {
  private readonly report = new SoakReport();
  private readonly store = new ObjectStoreStandin();
  private readonly targets: StopTarget[] = [];
  private readonly entries: Entry[] = [];
  private readonly crowds: crowds.Crowd[] = [];
  private readonly restarts = new Set<Promise<void>>();
  private readonly dir = fs.mkdtempSync(path.join(os.tmpdir(), 'callers-'));
  private readonly net = 16 + (process.pid % 200);
  private version = 1;
  private peakMegabytes = 0;
  private maxDescriptors = 0;
  private pollTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: CallerSoakOptions) {}

  async open(): Promise<void> {
    const storeAddress = await this.store.open();
    this.writeConfiguration();
    for (let at = 0; at < TARGET_COUNT; at += 1) {
      const target = new StopTarget(`i-${at}`);
      this.targets.push(target);
      const host = standin.hostOf(this.net, 2_000 + at);
      this.store.write('servers', target.id, {
        service: SERVICE,
        address: await target.open(host),
        zone: HALL,
        version: 'v1',
        slots: 1_000,
        state: 'ready',
        'cold-remaining-ms': 0,
        sequence: 1,
      });
    }
    for (let at = 0; at < this.options.entries; at += 1) {
      this.addEntry(at, storeAddress);
    }
    await Promise.all(this.entries.map(entry => this.whenReady(entry)));
    this.pollTimer = setInterval(() => this.check(), POLL_INTERVAL_MS);
  }

  async run(): Promise<CallerReport> {
    const schedule = this.drawSchedule();
    const callers = this.entries.flatMap(entry =>
      Array.from(
        {length: CALLERS_PER_ENTRY},
        () => new OrdinaryCaller(entry.callers, HOST),
      ),
    );
    const runs = callers.map(caller => caller.run());
    await timers.setTimeout(WARM_UP_MS);
    for (const step of schedule) {
      this.disturb(step);
      await timers.setTimeout(step.pauseMs);
    }
    await Promise.all(this.restarts);
    await Promise.all(this.entries.map(entry => this.checkServed(entry)));
    callers.forEach(caller => caller.stop());
    await Promise.all(runs);
    this.check();
    return this.judge(callers);
  }

  async close(): Promise<void> {
    clearInterval(this.pollTimer);
    this.crowds.forEach(crowd => crowd.close());
    const processes = this.entries.map(entry => entry.process);
    saveLogs(processes);
    await Promise.all(processes.map(one => one.destroy()));
    this.entries.forEach(entry => entry.usage?.close());
    this.targets.forEach(target => target.close());
    this.store.close();
    fs.rmSync(this.dir, {recursive: true});
  }

  /** For the exit of this process: also ends processes that are suspended. */
  killAll(): void {
    this.entries.forEach(entry => entry.process.signal('SIGKILL'));
    fs.rmSync(this.dir, {recursive: true, force: true});
  }

  /** Drawn before the run, so that the seed fixes it. */
  private drawSchedule(): Step[] {
    const steps: Step[] = [];
    for (let drawnMs = 0; drawnMs < this.options.durationMs;) {
      const pauseMs = random.integerBelow(MAX_PAUSE_MS);
      const isCrowd = random.uniform() < CROWD_SHARE;
      const crowd = random.pick(CROWD_KINDS);
      steps.push({
        crowd: isCrowd ? crowd : undefined,
        count: MIN_CROWD + random.integerBelow(MAX_CROWD - MIN_CROWD),
        fault: random.pick(FAULT_KINDS),
        entry: random.integerBelow(this.options.entries),
        pauseMs,
      });
      drawnMs += pauseMs;
    }
    return steps;
  }

  private disturb(step: Step): void {
    const entry = this.entries[step.entry]!;
    if (step.crowd === undefined) {
      this.report.addFault(`${step.fault} ${entry.id}`);
      this.inject(step.fault, entry);
      return;
    }
    const {name, port, bytes} = step.crowd;
    this.report.addFault(`${step.count} callers, ${name}, ${entry.id}`);
    const plans = Array.from({length: step.count}, (_, at) => ({
      bytes: bytes(at),
      isReading: false,
    }));
    // They stay until the process closes them or is gone.
    this.crowds.push(new crowds.Crowd(`${entry.host}:${port}`, plans));
  }

  private inject(fault: Step['fault'], entry: Entry): void {
    switch (fault) {
      case 'stop':
      case 'kill':
        if (!entry.isEnding) {
          const signal = fault === 'stop' ? 'SIGTERM' : 'SIGKILL';
          this.restarts.add(this.restart(entry, signal));
        }
        return;
      case 'suspend':
        entry.process.freeze();
        setTimeout(() => entry.process.thaw(), SUSPENSION_MS);
        return;
      case 'reload':
        // It ends a process that Node.js is still starting.
        if (!entry.isEnding && entry.process.count('FC1001') > 0) {
          entry.process.signal('SIGHUP');
        }
        return;
      case 'configuration':
        this.writeConfiguration();
    }
  }

  private async restart(entry: Entry, signal: NodeJS.Signals): Promise<void> {
    entry.isEnding = true;
    entry.process.signal(signal);
    await entry.process.whenEnded();
    entry.start();
    entry.isEnding = true;
    await this.whenReady(entry);
    entry.isEnding = false;
  }

  private whenReady(entry: Entry): Promise<void> {
    return fleets
      .eventually(`${entry.id} is ready`, () => entry.isReady())
      .catch((err: Error) => this.report.addViolation(err.message));
  }

  /** Memory, descriptors and life of each process. */
  private check(): void {
    for (const entry of this.entries) {
      const {id, process, usage, isEnding} = entry;
      if (!process.isAlive) {
        if (!isEnding) {
          this.report.addViolation(`${id} ended by itself`);
          entry.start();
        }
        continue;
      }
      const megabytes = usage!.peakMegabytes();
      if (megabytes > this.peakMegabytes) {
        this.peakMegabytes = megabytes;
      }
      this.maxDescriptors = Math.max(
        this.maxDescriptors,
        usage!.maxDescriptors,
      );
    }
  }

  /** An ordinary caller is served while the crowds are still connected. */
  private async checkServed(entry: Entry): Promise<void> {
    const caller = new OrdinaryCaller(entry.callers, HOST);
    try {
      await fleets.eventually(
        `an ordinary request is answered by ${entry.id}`,
        async () => (await caller.send()) === 200,
        SERVED_TIMEOUT_MS,
      );
    } catch (err) {
      this.report.addViolation((err as Error).message);
    }
    caller.stop();
  }

  private judge(callers: readonly OrdinaryCaller[]): CallerReport {
    if (this.peakMegabytes > MEMORY_MB) {
      this.report.addViolation(`${this.peakMegabytes} MB resident`);
    }
    if (this.maxDescriptors > DESCRIPTORS) {
      this.report.addViolation(`${this.maxDescriptors} descriptors`);
    }
    const sent = callers.flatMap(caller => caller.ended);
    for (const one of sent) {
      const runs = this.targets.reduce(
        (sum, target) => sum + (target.records.get(one.id)?.runs ?? 0),
        0,
      );
      if (runs > 1 || (one.isNotRun && runs > 0) || one.isForeign) {
        this.report.addViolation(`${JSON.stringify(one)} ran ${runs} times`);
      }
    }
    const {violations, faults} = this.report;
    const figures = {
      sent: sent.length,
      served: sent.filter(one => one.status === 200).length,
      refused: sent.filter(one => one.isNotRun).length,
      peakMegabytes: Math.round(this.peakMegabytes),
      maxDescriptors: this.maxDescriptors,
      crowds: this.crowds.length,
      restarts: this.restarts.size,
    };
    return {violations, faults, figures};
  }

  private addEntry(at: number, storeAddress: string): void {
    const id = `entry-${at}`;
    const host = standin.hostOf(this.net, at);
    const seeds = [0, 1, 2].map(seed => standin.hostOf(this.net, seed));
    const settings = {
      ...standin.settingsOf('entry', id, host, HALL),
      'seed-nodes': seeds.map(seed => `${seed}:8229`),
      platform: {address: storeAddress},
      limits: {'memory-mb': MEMORY_MB, 'file-descriptors': DESCRIPTORS},
    };
    const file = path.join(this.dir, `${id}.json`);
    fs.writeFileSync(file, JSON.stringify(settings));
    const process = new TestProcess(id, ['site', 'entry'], {
      [SETTINGS_VARIABLE]: file,
      NODE_OPTIONS: `--max-old-space-size=${HEAP_MB}`,
    });
    const entry = new Entry(id, host, process);
    this.entries.push(entry);
    entry.start();
  }

  private writeConfiguration(): void {
    const route = (name: string, isPublic: boolean) => ({
      name,
      host: HOST,
      'path-prefix': `/${name}/`,
      kind: 'unsafe',
      'timeout-ms': 5_000,
      attempts: 1,
      service: SERVICE,
      public: isPublic,
    });
    this.store.write('config', 'main', {
      version: this.version,
      routes: [
        route('quick', true),
        route('work', true),
        route('keyed', false),
      ],
      services: [{name: SERVICE, 'connection-limit': 2_000}],
      tenants: [{name: 'account', 'access-keys': ['key']}],
      limits: {'body-bytes': BODY_LIMITS[this.version % BODY_LIMITS.length]},
    });
    this.version += 1;
  }
}
