/**
 * What a hop through entry and sidecar costs: the same calls straight to the
 * stand-in and through both, turn by turn in one run, at 1, 32 and 256
 * concurrent streams; and what idle processes use.
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

/** One small lookup; answers its time in milliseconds. */
function timeLookup(
  address: string,
  urlPath: string,
  headers: http.OutgoingHttpHeaders,
): Promise<number> {
  return new Promise((resolve, reject) => {
    const begunAt = performance.now();
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
          resolve(performance.now() - begunAt);
        });
      },
    );
    req.on('error', reject);
  });
}

async function runRound(
  concurrency: number,
  one: () => Promise<number>,
): Promise<{times: number[]; perSecond: number}> {
  const times: number[] = [];
  const begunAt = performance.now();
  const line = async () => {
    while (performance.now() - begunAt < ROUND_MS) {
      times.push(await one());
    }
  };
  await Promise.all(Array.from({length: concurrency}, line));
  const seconds = (performance.now() - begunAt) / 1_000;
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

/** Starts processes; `close` ends them. */
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

/** Posts JSON; resolves with the status, 0 where nothing answered. */
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

export async function waitUntil(check: () => Promise<boolean>): Promise<void> {
  const TIMEOUT_MS = 30_000;
  const giveUpAt = Date.now() + TIMEOUT_MS;
  while (!(await check()) && Date.now() < giveUpAt) {
    await new Promise(resolve => setTimeout(resolve, 50));
  }
}

const PORTS = {platform: 21080, ledger: 21081, sidecar: 21082, entry: 21083};
const AUTH_HEADERS = {authorization: 'Bearer local-demo-key'};

function addressOf(name: keyof typeof PORTS): string {
  return `${HOST}:${PORTS[name]}`;
}

/** Puts the benches' site in force. */
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

/** The runtime alone: a process that does nothing. */
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
      const straight: number[] = [];
      const through: number[] = [];
      const rates = {straight: 0, through: 0};
      for (let turn = 0; turn < ROUNDS; turn += 1) {
        const a = await runRound(concurrency, () =>
          timeLookup(addressOf('ledger'), '/balances/1', {}),
        );
        const b = await runRound(concurrency, () =>
          timeLookup(addressOf('entry'), '/ledger/balances/1', AUTH_HEADERS),
        );
        straight.push(...a.times);
        through.push(...b.times);
        rates.straight += a.perSecond / ROUNDS;
        rates.through += b.perSecond / ROUNDS;
      }
      const added = (share: number) =>
        stats.quantile(through, share) - stats.quantile(straight, share);
      rows.push({
        concurrency,
        addedP50Ms: added(0.5),
        addedP99Ms: added(0.99),
        perSecondRatio: rates.through / rates.straight,
        throughPerSecond: rates.through,
      });
    }
    const loaded = Object.fromEntries(
      ['entry', 'sidecar'].map(name => [
        name,
        fleet.usage(name).rssKb / KILOBYTE,
      ]),
    );
    return {rows, bareRuntimeMb: bareMb, resting, loadedRssMb: loaded};
  } finally {
    await fleet.close();
    agent.destroy();
  }
}

export const benchmark: Benchmark = {
  name: 'hop',
  description: 'the cost of a hop, and of idle processes',
  run,
};
