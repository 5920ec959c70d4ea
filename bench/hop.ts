/**
 * Cost of the hop through entry and sidecar. The same calls go directly to the
 * stand-in service and through both, in alternating rounds, at several levels
 * of concurrency. Also measures idle processes. Reads /proc, so needs Linux.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as path from 'node:path';
import type {Benchmark} from './main';
import * as stats from './stats';

const BUNDLE = path.join(process.cwd(), 'dist', 'ferrycleat.js');
const HOST = '127.0.0.1';
const CONCURRENCIES = [1, 32, 256];
const ROUNDS = 4;
const ROUND_MS = 1_000;
const IDLE_MEASURE_MS = 8_000;
const TICKS_PER_SECOND = 100;
const KILOBYTE = 1_024;

const agent = new http.Agent({keepAlive: true, maxSockets: 512});

/** Times a small request in milliseconds; rejects on a status but 200. */
function timeLookup(
  address: string,
  urlPath: string,
  headers: http.OutgoingHttpHeaders,
): Promise<number> {
  return new Promise((resolve, reject) => {
    const startedAt = performance.now();
    const req = http.get(
      `http://${address}${urlPath}`,
      {agent, headers},
      res => {
        res.on('data', () => undefined);
        res.on('end', () => {
          if (res.statusCode !== 200) {
            reject(new RangeError(`status ${res.statusCode}`));
            return;
          }
          resolve(performance.now() - startedAt);
        });
      },
    );
    req.on('error', reject);
  });
}

async function runRound(
  concurrency: number,
  sendOne: () => Promise<number>,
): Promise<{times: number[]; perSecond: number}> {
  const times: number[] = [];
  const startedAt = performance.now();
  const worker = async () => {
    while (performance.now() - startedAt < ROUND_MS) {
      times.push(await sendOne());
    }
  };
  await Promise.all(Array.from({length: concurrency}, worker));
  const seconds = (performance.now() - startedAt) / 1_000;
  return {times, perSecond: times.length / seconds};
}

/** Resident kilobytes and processor ticks of a process. */
function readUsage(pid: number): {rssKb: number; ticks: number} {
  const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
  const rss = /VmRSS:\s+(\d+) kB/.exec(status);
  const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  return {rssKb: Number(rss?.[1] ?? 0), ticks};
}

/** Child processes by name; `close` kills them. */
export class BenchFleet {
  readonly children = new Map<string, childProcess.ChildProcess>();

  start(name: string, args: readonly string[]): void {
    const child = childProcess.spawn(process.execPath, [BUNDLE, ...args], {
      stdio: ['ignore', 'ignore', 'ignore'],
    });
    this.children.set(name, child);
  }

  usage(name: string): {rssKb: number; ticks: number} {
    return readUsage(this.children.get(name)!.pid!);
  }

  async close(): Promise<void> {
    const ended = [...this.children.values()].map(
      child => new Promise(resolve => child.once('close', resolve)),
    );
    this.children.forEach(child => child.kill('SIGKILL'));
    await Promise.all(ended);
  }
}

/** Sends JSON and returns the response's status, or 0 on a failed request. */
export function sendJson(
  address: string,
  urlPath: string,
  document: unknown,
  method = 'POST',
  headers: http.OutgoingHttpHeaders = {},
): Promise<number> {
  return new Promise(resolve => {
    const req = http.request(
      `http://${address}${urlPath}`,
      {
        method,
        agent,
        headers: {'content-type': 'application/json', ...headers},
      },
      res => {
        res.resume();
        res.on('end', () => resolve(res.statusCode ?? 0));
      },
    );
    req.on('error', () => resolve(0));
    req.end(JSON.stringify(document));
  });
}

/** Returns when the check passes, or after the timeout even if it does not. */
export async function waitUntil(check: () => Promise<boolean>): Promise<void> {
  const TIMEOUT_MS = 30_000;
  const deadlineAt = Date.now() + TIMEOUT_MS;
  while (!(await check()) && Date.now() < deadlineAt) {
    await new Promise(resolve => setTimeout(resolve, 50));
  }
}

const PORTS = {platform: 21080, ledger: 21081, sidecar: 21082, entry: 21083};
const AUTH_HEADERS = {authorization: 'Bearer local-demo-key'};

function addressOf(name: keyof typeof PORTS): string {
  return `${HOST}:${PORTS[name]}`;
}

/** Applies the benchmarks' configuration to the platform. */
export async function applySite(platform: string): Promise<void> {
  const apply = childProcess.spawn(process.execPath, [
    BUNDLE,
    ...['template', 'apply', 'bench/site.yaml', '--platform', platform],
  ]);
  await new Promise(resolve => apply.once('close', resolve));
}

async function openFleet(): Promise<BenchFleet> {
  const fleet = new BenchFleet();
  fleet.start('platform', [
    'standin',
    'platform',
    '--listen',
    addressOf('platform'),
  ]);
  fleet.start('ledger', [
    'standin',
    'service',
    '--listen',
    addressOf('ledger'),
  ]);
  await waitUntil(
    async () => (await sendJson(addressOf('platform'), '/standin/x', {})) > 0,
  );
  await applySite(addressOf('platform'));
  const common = ['--platform', addressOf('platform'), '--hall', 'hall-a'];
  fleet.start('sidecar', [
    ...[
      'sidecar',
      '--id',
      'ledger-0',
      '--listen',
      addressOf('sidecar'),
      ...common,
    ],
    ...['--target', addressOf('ledger'), '--serves', 'service/ledger'],
    ...['--capacity', '512'],
  ]);
  fleet.start('entry', [
    ...['entry', '--id', 'entry-0', '--listen', addressOf('entry'), ...common],
  ]);
  const list = (id: string, role: string, address: string, serves: string) =>
    sendJson(addressOf('platform'), '/standin/instances', {
      ...{id, role, address, serves, hall: 'hall-a', state: 'live'},
    });
  await list('ledger-0', 'sidecar', addressOf('sidecar'), 'service/ledger');
  await list('entry-0', 'entry', addressOf('entry'), '');
  await waitUntil(async () => {
    const status = await sendJson(
      addressOf('entry'),
      '/ledger/balances/1',
      undefined,
      'GET',
      AUTH_HEADERS,
    );
    return status === 200;
  });
  return fleet;
}

async function measureIdle(fleet: BenchFleet) {
  const names = ['entry', 'sidecar'] as const;
  const before = names.map(name => fleet.usage(name).ticks);
  await new Promise(resolve => setTimeout(resolve, IDLE_MEASURE_MS));
  return Object.fromEntries(
    names.map((name, index) => {
      const {rssKb, ticks} = fleet.usage(name);
      const seconds = (ticks - before[index]!) / TICKS_PER_SECOND;
      const share = seconds / (IDLE_MEASURE_MS / 1_000);
      return [name, {rssMb: rssKb / KILOBYTE, coreShare: share}];
    }),
  );
}

/** Resident megabytes of an idle Node.js process without the application. */
async function measureBareRuntimeMb(): Promise<number> {
  const child = childProcess.spawn(process.execPath, [
    '-e',
    'setTimeout(() => {}, 10000)',
  ]);
  await new Promise(resolve => setTimeout(resolve, 1_500));
  const {rssKb} = readUsage(child.pid!);
  child.kill('SIGKILL');
  return rssKb / KILOBYTE;
}

async function run(): Promise<unknown> {
  const bareMb = await measureBareRuntimeMb();
  const fleet = await openFleet();
  try {
    const resting = await measureIdle(fleet);
    const rows = [];
    for (const concurrency of CONCURRENCIES) {
      const directMs: number[] = [];
      const proxiedMs: number[] = [];
      const rates = {direct: 0, proxied: 0};
      for (let round = 0; round < ROUNDS; round += 1) {
        const direct = await runRound(concurrency, () =>
          timeLookup(addressOf('ledger'), '/balances/1', {}),
        );
        const proxied = await runRound(concurrency, () =>
          timeLookup(addressOf('entry'), '/ledger/balances/1', AUTH_HEADERS),
        );
        directMs.push(...direct.times);
        proxiedMs.push(...proxied.times);
        rates.direct += direct.perSecond / ROUNDS;
        rates.proxied += proxied.perSecond / ROUNDS;
      }
      const addedMs = (share: number) =>
        stats.quantile(proxiedMs, share) - stats.quantile(directMs, share);
      rows.push({
        concurrency,
        addedP50Ms: addedMs(0.5),
        addedP99Ms: addedMs(0.99),
        perSecondRatio: rates.proxied / rates.direct,
        throughPerSecond: rates.proxied,
      });
    }
    const loadedMb = Object.fromEntries(
      ['entry', 'sidecar'].map(name => [
        name,
        fleet.usage(name).rssKb / KILOBYTE,
      ]),
    );
    return {rows, bareRuntimeMb: bareMb, resting, loadedRssMb: loadedMb};
  } finally {
    await fleet.close();
    agent.destroy();
  }
}

export const benchmark: Benchmark = {
  name: 'hop',
  description: 'cost of a hop and of idle processes',
  run,
};
