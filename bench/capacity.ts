/**
 * Resource use by size, for docs/CAPACITY.md: memory per client account and
 * target, bytes and processor time per control message, and the load of idle
 * sidecar processes on the host and on the store.
 */
import * as http from 'node:http';
import type {Socket} from 'node:net';
import * as configurationApp from '../src/configuration/app';
import * as parse from '../src/configuration/parse';
import {Replica} from '../src/configuration/replica';
import {accountKey, templateKey} from '../src/configuration/types';
import * as groupsApp from '../src/groups/app';
import type {MapChange} from '../src/groups/types';
import {SILENT_LOG} from '../src/observability/log';
import * as load from '../src/placement/load';
import type {Instance, StoredObject} from '../src/platform/types';
import {RpcClient} from '../src/rpc/client';
import {RpcServer} from '../src/rpc/server';
import type {Method} from '../src/rpc/types';
import * as targetsApp from '../src/targets/app';
import {TargetDirectory, chooseSubset} from '../src/targets/directory';
import {IDLE_LOAD} from '../src/targets/types';
import {DEMO_DOCUMENTS} from '../src/commands/demo';
import * as hop from './hop';
import type {Benchmark} from './main';

const ACCOUNT_COUNTS = [770, 7_700];
const TARGET_COUNTS = [100, 1_000, 3_200];
const SUBSET_SIZE = 24;
const WARM_UP_MESSAGES = 1_500;
const MEASURED_MESSAGES = 1_500;
const HALL_COUNT = 6;
const PROCESS_COUNTS = [10, 40, 100];
/** Exceeds a process's first watch, after which only watchers call the store. */
const SETTLE_MS = 26_000;
const MEASURE_MS = 20_000;
const KILOBYTE = 1_024;
const MEGABYTE = KILOBYTE * KILOBYTE;

function heapUsedBytes(): number {
  global.gc?.();
  return process.memoryUsage().heapUsed;
}

function makeAccountObjects(count: number): StoredObject[] {
  const parsed = parse.parseFile(DEMO_DOCUMENTS);
  const documents = parsed.ok ? parsed.value : [];
  const change = (document: unknown) => ({
    changeId: '01890a5d-ac96-774b-bcce-b302099a8057',
    author: 'bench',
    at: '2026-12-02T00:00:00.000Z',
    document,
    former: [],
  });
  const objects: StoredObject[] = [
    {key: templateKey('demo'), version: 1, value: change(documents[0])},
  ];
  for (let index = 0; index < count; index += 1) {
    const id = `account-${index}`;
    const digest = index.toString(16).padStart(64, '0');
    const document = {
      ...{kind: 'account', id, template: 'demo'},
      ...{keyDigests: [digest], parameters: {weight: 2, burst: 50}},
    };
    objects.push({
      key: accountKey(id),
      version: index + 2,
      value: change(document),
    });
  }
  return objects;
}

function measureAccounts(count: number) {
  const objects = makeAccountObjects(count);
  const bytes = JSON.stringify(objects).length;
  const copy = JSON.parse(JSON.stringify(objects)) as StoredObject[];
  objects.length = 0;
  const before = heapUsedBytes();
  const replica = new Replica();
  const startedAt = performance.now();
  replica.mergeListing({revision: count + 2, items: copy, removed: []});
  const fillMs = performance.now() - startedAt;
  const heldBytes = heapUsedBytes() - before;
  const changeMs = measureOneChange(replica, count);
  return {
    accounts: replica.accountCount,
    bytesPerAccountOnTheWire: bytes / count,
    heapBytesPerAccountBesideTheObject: heldBytes / count,
    objectHeapBytesPerAccount: objectHeapBytes(count),
    fillMs,
    oneChangeMs: changeMs,
  };
}

function objectHeapBytes(count: number): number {
  const before = heapUsedBytes();
  const text = JSON.stringify(makeAccountObjects(count));
  const held = JSON.parse(text) as StoredObject[];
  const bytes = heapUsedBytes() - before - text.length;
  return held.length > 0 ? bytes / count : 0;
}

/** Milliseconds that a full replica takes to apply one change. */
function measureOneChange(replica: Replica, count: number): number {
  const CHANGES = 200;
  const [, sample] = makeAccountObjects(1);
  const startedAt = performance.now();
  for (let index = 0; index < CHANGES; index += 1) {
    replica.mergeListing({
      revision: count + 3 + index,
      items: [{...sample!, version: count + 3 + index}],
      removed: [],
    });
  }
  return (performance.now() - startedAt) / CHANGES;
}

function makeInstances(count: number): Instance[] {
  return Array.from({length: count}, (_, index) => ({
    id: `target-${index}`,
    hall: `hall-${index % HALL_COUNT}`,
    role: 'sidecar' as const,
    address: `10.0.${index >> 8}.${index & 255}:7000`,
    state: 'live' as const,
    serves:
      index % 10 === 0 ? 'service/ledger' : `model/assistant-${index % 5}`,
    group: `group-${index >> 6}`,
    rank: index & 63,
  }));
}

function measureTargets(count: number) {
  const list = makeInstances(count);
  const listBytes = JSON.stringify(list).length;
  const before = heapUsedBytes();
  const directory = new TargetDirectory('entry-0', () => SUBSET_SIZE);
  const members = directory.applyInstances(list);
  for (const member of members) {
    directory.applyReport(
      {
        ...{id: member.id, hall: member.hall, address: member.address},
        serves: {kind: 'service', name: 'ledger'},
        state: 'live',
        load: IDLE_LOAD,
      },
      1,
    );
  }
  const heldBytes = heapUsedBytes() - before;
  const startedAt = performance.now();
  chooseSubset('entry-1', list, SUBSET_SIZE);
  const chooseMs = performance.now() - startedAt;
  return {
    targets: count,
    members: members.length,
    heapBytesPerMember: heldBytes / members.length,
    listBytesPerTarget: listBytes / count,
    chooseSubsetMs: chooseMs,
  };
}

/** Bytes and processor time per message, client and server together. */
async function measureMessage<P, R>(
  method: Method<P, R>,
  params: P,
  result: R,
) {
  let bytes = 0;
  const rpcServer = new RpcServer(SILENT_LOG);
  rpcServer.handle(method, () => result);
  const server = http.createServer((req, res) => {
    void rpcServer.handleRequest(req, res);
  });
  const sockets = new Set<Socket>();
  server.on('connection', socket => {
    sockets.add(socket);
    socket.once('close', () => {
      bytes += socket.bytesRead + socket.bytesWritten;
    });
  });
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  const {port} = server.address() as {port: number};
  const client = new RpcClient();
  for (let sent = 0; sent < WARM_UP_MESSAGES; sent += 1) {
    await client.call(`127.0.0.1:${port}`, method, params);
  }
  const before = process.cpuUsage();
  for (let sent = 0; sent < MEASURED_MESSAGES; sent += 1) {
    await client.call(`127.0.0.1:${port}`, method, params);
  }
  const used = process.cpuUsage(before);
  client.close();
  server.closeAllConnections();
  await new Promise(done => server.close(done));
  await new Promise(done => setTimeout(done, 50));
  const cpuMs = (used.user + used.system) / 1_000 / MEASURED_MESSAGES;
  return {
    method: method.name,
    bytesBothWays: bytes / (MEASURED_MESSAGES + WARM_UP_MESSAGES),
    cpuMsBothSides: cpuMs,
  };
}

async function measureMessages() {
  const report = {
    ...{id: 'target-1000', hall: 'hall-1', address: '10.0.0.1:7000'},
    serves: {kind: 'service' as const, name: 'ledger'},
    state: 'live' as const,
    load: IDLE_LOAD,
  };
  const change: MapChange = {
    ...{id: '01890a5d-ac96-774b-bcce-b302099a8057', generation: 1, from: 1},
    step: 1,
    map: {version: 2, layers: load.roundRobinLayers(8, 128, 64)},
  };
  const armResult = {
    refusal: null,
    answer: {
      ...{rank: 1, incarnation: change.id, generation: 1, step: 1, stepMs: 5},
      ...{version: 1, fence: {lease: 1, ballot: 0, rank: 0}},
      state: 'armed' as const,
    },
  };
  const fence = {lease: 1, ballot: 0, rank: 0};
  const counts = Array.from({length: 8}, () =>
    new Array<number>(128).fill(123_456),
  );
  return [
    await measureMessage(targetsApp.report, {}, report),
    await measureMessage(configurationApp.hello, {}, {}),
    await measureMessage(
      configurationApp.wait,
      {stamp: '1.1.0', instancesDigest: 'x'.repeat(43), waitMs: 0},
      {
        delta: {complete: 1, items: []},
        instances: null,
        instancesDigest: 'x'.repeat(43),
      },
    ),
    await measureMessage(
      configurationApp.since,
      {version: 1},
      {complete: 2, items: makeAccountObjects(1).slice(1)},
    ),
    await measureMessage(
      groupsApp.arm,
      {change, fence, incarnation: ''},
      armResult,
    ),
    await measureMessage(groupsApp.counts, {}, {counts, rankMs: 1, stepMs: 1}),
  ];
}

/** Starts idle sidecars and measures them and the calls that the store gets. */
async function measureProcesses(count: number, firstPort: number) {
  const platform = `127.0.0.1:${firstPort}`;
  const target = `127.0.0.1:${firstPort + 1}`;
  const fleet = new hop.BenchFleet();
  try {
    fleet.start('platform', ['standin', 'platform', '--listen', platform]);
    fleet.start('target', ['standin', 'service', '--listen', target]);
    await hop.waitUntil(
      async () => (await hop.sendJson(platform, '/standin/faults', {})) === 200,
    );
    await hop.applySite(platform);
    for (let index = 0; index < count; index += 1) {
      await startSidecar(fleet, platform, target, index, firstPort + 2 + index);
    }
    await new Promise(done => setTimeout(done, SETTLE_MS));
    const callsBefore = await readStoreCalls(platform);
    const names = [...fleet.children.keys()].filter(n => n.startsWith('side'));
    const ticksBefore = names.map(name => fleet.usage(name).ticks);
    await new Promise(done => setTimeout(done, MEASURE_MS));
    const calls = await readStoreCalls(platform);
    const usages = names.map(name => fleet.usage(name));
    const seconds = MEASURE_MS / 1_000;
    const ticks = usages.map(
      (usage, index) => usage.ticks - ticksBefore[index]!,
    );
    const perSecond = (before: number, after: number) =>
      (after - before) / seconds;
    const mean = (values: readonly number[]) =>
      values.reduce((sum, value) => sum + value, 0) / values.length;
    return {
      processes: count,
      halls: Math.min(HALL_COUNT, count),
      rssMb: (mean(usages.map(usage => usage.rssKb)) * KILOBYTE) / MEGABYTE,
      maxRssMb:
        (Math.max(...usages.map(usage => usage.rssKb)) * KILOBYTE) / MEGABYTE,
      coreShare: mean(ticks) / 100 / seconds,
      maxCoreShare: Math.max(...ticks) / 100 / seconds,
      storeReadsPerSecond: perSecond(callsBefore.reads, calls.reads),
      storeWatchesPerSecond: perSecond(callsBefore.watches, calls.watches),
      storeWritesPerSecond: perSecond(callsBefore.writes, calls.writes),
    };
  } finally {
    await fleet.close();
  }
}

async function startSidecar(
  fleet: hop.BenchFleet,
  platform: string,
  target: string,
  index: number,
  port: number,
): Promise<void> {
  const id = `side-${index}`;
  const hall = `hall-${index % HALL_COUNT}`;
  const address = `127.0.0.1:${port}`;
  const serves = 'model/assistant';
  fleet.start(id, [
    ...['sidecar', '--id', id, '--hall', hall, '--listen', address],
    ...['--platform', platform, '--target', target, '--serves', serves],
  ]);
  await hop.sendJson(platform, '/standin/instances', {
    ...{id, hall, address, serves, role: 'sidecar', state: 'live'},
  });
}

function readStoreCalls(
  platform: string,
): Promise<{reads: number; writes: number; watches: number}> {
  return new Promise((resolve, reject) => {
    http
      .get(`http://${platform}/standin/calls`, res => {
        let text = '';
        res.on('data', (chunk: Buffer) => {
          text += chunk.toString();
        });
        res.on('end', () =>
          resolve(
            JSON.parse(text) as {
              reads: number;
              writes: number;
              watches: number;
            },
          ),
        );
      })
      .on('error', reject);
  });
}

async function run(): Promise<unknown> {
  const accounts = ACCOUNT_COUNTS.map(measureAccounts);
  const targets = TARGET_COUNTS.map(measureTargets);
  const messages = await measureMessages();
  const processes = [];
  let firstPort = 23_000;
  for (const count of PROCESS_COUNTS) {
    processes.push(await measureProcesses(count, firstPort));
    firstPort += count + 10;
  }
  return {accounts, targets, messages, processes};
}

export const benchmark: Benchmark = {
  name: 'capacity',
  description: 'resource use by the number of accounts, targets and processes',
  run,
};
