/**
 * Runs a small deployment as real processes on loopback: the stand-ins of platform,
 * engine group and ledger, with sidecars and entries. Network faults can be injected
 * only where the options ask for relays.
 */
import type {Document, Service} from '../../src/configuration/types';
import * as edit from '../../src/configuration/edit';
import {HttpObjectApi} from '../../src/platform/client';
import type {Instance} from '../../src/platform/types';
import * as testHttp from './http';
import {freePorts} from './ports';
import {TestProcess, saveLogs} from './process';
import {Relay} from './relay';
import * as site from './site';

const HOST = '127.0.0.1';
const HALLS = ['hall-a', 'hall-b', 'hall-c'] as const;
const READY_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 25;

export interface FleetOptions {
  readonly entries?: number;
  readonly ledgers?: number;
  readonly ranks?: number;
  readonly service?: Partial<Service>;
  /** Duration of an engine step. */
  readonly stepMs?: number;
  readonly checksFences?: boolean;
  /** Puts relays named like the sidecars between sidecars and targets. */
  readonly relayTargets?: boolean;
  /** Puts relays named `peer-<rank>` in front of the ranks' sidecars. */
  readonly relayRanks?: boolean;
  readonly sidecarArgs?: readonly string[];
}

interface RunningInstance {
  readonly instance: Instance;
  /** Address of the process itself; `instance.address` may be a relay's. */
  readonly listenAddress: string;
  readonly process: TestProcess;
}

/** Polls until `check` returns true; throws once `timeoutMs` has passed. */
export async function eventually(
  condition: string,
  check: () => Promise<boolean> | boolean,
  timeoutMs = READY_TIMEOUT_MS,
): Promise<void> {
  const deadline = Date.now() + timeoutMs;
  while (!(await check())) {
    if (Date.now() > deadline) {
      throw new Error(`condition not met within ${timeoutMs} ms: ${condition}`);
    }
    await pause(POLL_INTERVAL_MS);
  }
}

export function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

export class Fleet {
  /** Processes by name, stand-ins included. */
  readonly processes = new Map<string, TestProcess>();
  readonly relays = new Map<string, Relay>();
  private readonly instances = new Map<string, RunningInstance>();
  /** Address of the platform stand-in. */
  platform = '';
  /** Addresses of the engine stand-in, one per rank. */
  engine: string[] = [];
  /** Address of the ledger stand-in. */
  ledger = '';

  private constructor(private readonly options: FleetOptions) {}

  /** Resolves once all processes are ready and every entry serves requests. */
  static async start(options: FleetOptions = {}): Promise<Fleet> {
    const fleet = new Fleet(options);
    try {
      await fleet.startAll();
    } catch (err) {
      await fleet.close();
      throw err;
    }
    return fleet;
  }

  async close(): Promise<void> {
    saveLogs([...this.processes.values()]);
    await Promise.all([...this.processes.values()].map(p => p.destroy()));
    await Promise.all([...this.relays.values()].map(relay => relay.close()));
  }

  /** Address of an entry or a sidecar, bypassing any relay. */
  address(id: string): string {
    return this.instances.get(id)!.listenAddress;
  }

  process(id: string): TestProcess {
    return this.processes.get(id)!;
  }

  /** Ids of entries and sidecars; an empty prefix returns all. */
  idsWithPrefix(prefix: string): string[] {
    return [...this.instances.keys()].filter(id => id.startsWith(prefix));
  }

  /** Sets faults on the stand-in at an address. */
  async setFaults(address: string, faults: unknown): Promise<void> {
    await testHttp.callJson(address, 'POST', '/standin/faults', faults);
  }

  /** Applies a configuration document on top of its current version. */
  async apply(document: Document, author = 'test') {
    const store = new HttpObjectApi(this.platform);
    const key =
      document.kind === 'template'
        ? `config/templates/${document.name}`
        : `config/accounts/${document.id}`;
    const current = await store.get(key);
    const baseVersion = current.ok ? (current.value?.version ?? 0) : 0;
    const applied = await edit.applyDocument(
      store,
      document,
      baseVersion,
      author,
    );
    store.close();
    return applied;
  }

  /** Sets an instance's state in the platform's instance list. */
  async setInstanceState(id: string, state: 'live' | 'leaving'): Promise<void> {
    const {instance} = this.instances.get(id)!;
    const updated = {...instance, state};
    await testHttp.callJson(
      this.platform,
      'POST',
      '/standin/instances',
      updated,
    );
  }

  /** Starts an ended process on its previous address; resolves once it is ready. */
  async restart(id: string): Promise<void> {
    this.process(id).start();
    await this.whenReady(id);
  }

  async whenReady(id: string): Promise<void> {
    await eventually(`${id} is ready`, async () => {
      const response = await testHttp.call(
        this.address(id),
        'GET',
        '/readyz',
        {},
        undefined,
        500,
      );
      return response.status === 200;
    });
  }

  /** How often the ledger ran each key. */
  runCounts(): Promise<Record<string, number>> {
    return testHttp.callJson(this.ledger, 'GET', '/runs');
  }

  /** When a stand-in rejected requests, in Unix milliseconds. */
  async rejectionTimes(address: string): Promise<readonly number[]> {
    const {arrivals} = await testHttp.callJson<{arrivals: number[]}>(
      address,
      'GET',
      '/standin/turned-away',
    );
    return arrivals;
  }

  /** Requests a chat completion as a stream. */
  chat(
    entry: string,
    account: site.AccountName,
    content: string,
    tokens: number,
    extra: Record<string, string> = {},
  ): testHttp.EventStream {
    const body = JSON.stringify({
      model: 'assistant',
      stream: true,
      max_tokens: tokens,
      messages: [{role: 'user', content}],
    });
    const headers = {...site.authHeaders(account), ...extra};
    return new testHttp.EventStream(this.address(entry), headers, body);
  }

  /** Resumes a stream after an event, through any entry. */
  reconnect(
    entry: string,
    account: site.AccountName,
    lastEventId: string,
  ): testHttp.EventStream {
    const headers = {
      ...site.authHeaders(account),
      'last-event-id': lastEventId,
    };
    return new testHttp.EventStream(this.address(entry), headers, undefined);
  }

  /** Mints a request key for the ledger; retries while the entry returns none. */
  async mintKey(entry: string, account: site.AccountName): Promise<string> {
    let key: string | undefined;
    await eventually('a key has been minted', async () => {
      const response = await testHttp.call(
        this.address(entry),
        'POST',
        '/v1/request-keys',
        site.authHeaders(account),
        JSON.stringify({service: 'ledger'}),
      );
      const document = JSON.parse(response.text || '{}') as {keys?: string[]};
      key = document.keys?.[0];
      return key !== undefined;
    });
    return key!;
  }

  topUp(
    entry: string,
    account: site.AccountName,
    key: string,
    amount = 10,
    extra: Record<string, string> = {},
  ): Promise<testHttp.HttpResponse> {
    return testHttp.call(
      this.address(entry),
      'POST',
      '/ledger/top-ups',
      {...site.authHeaders(account), 'idempotency-key': key, ...extra},
      JSON.stringify({phone: '5125550101', amount}),
    );
  }

  private async startAll(): Promise<void> {
    await this.startStandins();
    await this.apply(site.makeTemplate(this.options.service));
    await this.apply(site.makeAccount('alpha'));
    await this.apply(site.makeAccount('beta'));
    await this.startSidecars();
    await this.startEntries();
    const ids = [...this.instances.keys()];
    await Promise.all(ids.map(id => this.whenReady(id)));
    await Promise.all(
      this.idsWithPrefix('entry').map(id => this.whenServing(id)),
    );
  }

  private async startStandins(): Promise<void> {
    const {ranks = 2, stepMs = 5, checksFences = true} = this.options;
    const [platform, ledger] = await freePorts(2);
    const first = await this.findAdjacentPorts(ranks);
    this.platform = `${HOST}:${platform}`;
    this.ledger = `${HOST}:${ledger}`;
    this.engine = Array.from(
      {length: ranks},
      (_, rank) => `${HOST}:${first + rank}`,
    );
    this.startProcess('platform', [
      'standin',
      'platform',
      '--listen',
      this.platform,
    ]);
    this.startProcess('ledger', [
      'standin',
      'service',
      '--listen',
      this.ledger,
    ]);
    if (ranks > 0) {
      this.startProcess('engine', [
        ...['standin', 'engine', '--listen', `${HOST}:${first}`],
        ...['--ranks', String(ranks), '--step-ms', String(stepMs)],
        ...['--checks-fences', String(checksFences)],
      ]);
    }
    for (const name of this.processes.keys()) {
      await eventually(
        `${name} has started`,
        () => this.process(name).count('FC1001') > 0,
      );
    }
  }

  /** The engine stand-in listens on consecutive ports; returns the first. */
  private async findAdjacentPorts(count: number): Promise<number> {
    for (;;) {
      const ports = await freePorts(count);
      const first = ports[0] ?? 0;
      if (ports.every((port, index) => port === first + index)) {
        return first;
      }
    }
  }

  private async startSidecars(): Promise<void> {
    const {ledgers = 3, ranks = 2} = this.options;
    for (let index = 0; index < ledgers; index += 1) {
      const hall = HALLS[index % HALLS.length]!;
      const id = `ledger-${index}`;
      const target = await this.resolveTarget(id, this.ledger);
      await this.startInstance(id, hall, 'service/ledger', [
        ...['--target', target, '--serves', 'service/ledger'],
      ]);
    }
    for (let rank = 0; rank < ranks; rank += 1) {
      const id = `rank-${rank}`;
      const target = await this.resolveTarget(id, this.engine[rank]!);
      const args = [
        ...['--target', target, '--serves', 'model/assistant'],
        ...['--group', 'group-0', '--rank', String(rank)],
      ];
      await this.startInstance(id, HALLS[0], 'model/assistant', args, rank);
    }
  }

  private async resolveTarget(id: string, target: string): Promise<string> {
    return this.options.relayTargets ? this.openRelay(id, target) : target;
  }

  private async openRelay(name: string, target: string): Promise<string> {
    const [port] = await freePorts(1);
    const relay = new Relay(target);
    await relay.open(port!);
    this.relays.set(name, relay);
    return `${HOST}:${port}`;
  }

  private async startEntries(): Promise<void> {
    const {entries = 2} = this.options;
    for (let index = 0; index < entries; index += 1) {
      const hall = HALLS[index % HALLS.length]!;
      await this.startInstance(`entry-${index}`, hall, '', []);
    }
  }

  private async startInstance(
    id: string,
    hall: string,
    serves: string,
    args: readonly string[],
    rank?: number,
  ): Promise<void> {
    const listenAddress = `${HOST}:${(await freePorts(1))[0]}`;
    const role = serves === '' ? 'entry' : 'sidecar';
    const process = this.startProcess(id, [
      ...[role, '--id', id, '--hall', hall, '--platform', this.platform],
      ...['--listen', listenAddress],
      ...args,
      ...(role === 'sidecar' ? (this.options.sidecarArgs ?? []) : []),
    ]);
    const isRank = rank !== undefined;
    const isRelayed = isRank && this.options.relayRanks;
    const instance: Instance = {
      id,
      hall,
      role,
      address: isRelayed
        ? await this.openRelay(`peer-${rank}`, listenAddress)
        : listenAddress,
      serves,
      state: 'live',
      group: isRank ? 'group-0' : '',
      rank: rank ?? 0,
    };
    this.instances.set(id, {instance, listenAddress, process});
    await this.setInstanceState(id, 'live');
  }

  private startProcess(name: string, args: readonly string[]): TestProcess {
    const process = new TestProcess(name, args);
    this.processes.set(name, process);
    process.start();
    return process;
  }

  /** An entry serves once it knows a rank and a slot owner. */
  private async whenServing(id: string): Promise<void> {
    const {ranks = 2, ledgers = 3} = this.options;
    if (ranks > 0) {
      await eventually(`${id} serves streams`, async () => {
        const stream = this.chat(id, 'alpha', 'warm up', 1);
        await stream.whenEnded();
        return stream.isComplete;
      });
    }
    if (ledgers > 0) {
      await this.mintKey(id, 'alpha');
    }
  }
}
