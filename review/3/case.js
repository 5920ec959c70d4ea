'use strict';
/**
 * Case 3, rule LOST: a planned stop of an entry closes channels on which whole
 * answers of servers are still being delivered.
 */
const {Case, findNetwork, settingsOf, sleep} = require('../lib/fleet');
const {Store} = require('../lib/store');
const {Server, request, isReady} = require('../lib/site');

const ZONES = ['oslo-a', 'oslo-b', 'oslo-c'];
const ENTRIES = 2;
/**
 * Read in 6 s: below the time limit, the route's timeout and the grace period.
 * One answer is well below what an entry holds for its callers (21 MB).
 */
const LARGE_BYTES = 12_000_000;
const LARGE_BYTES_PER_MS = 2_000;
const SMALL_BYTES = 800;
const SMALL_CLIENTS = 8;
const TIME_LIMIT_MS = 20_000;
const WORK_MS = 60;
const KEY = 'n2ctnfzs989anu6wsjnb';

const test = new Case(__dirname);

async function main() {
  const network = await findNetwork(ENTRIES + ZONES.length + 1);
  const store = new Store();
  const storeAddress = await store.open(`${network}.6`);
  const large = Buffer.alloc(LARGE_BYTES, 'a');
  const small = Buffer.alloc(SMALL_BYTES, 'a');
  const servers = ZONES.map(
    (zone, at) =>
      new Server({
        id: `i-${at}`,
        service: 'hovedbok',
        host: `${network}.${ENTRIES + 1 + at}`,
        port: 8120,
        zone,
        store,
        answer: async req => {
          await sleep(WORK_MS);
          return req.url === '/balance/0' ? large : small;
        },
      }),
  );
  store.write('config', 'main', configuration());
  await Promise.all(servers.map(server => server.open()));
  const ips = Array.from({length: ENTRIES}, (_, at) => `${network}.${at + 1}`);
  const entries = ips.map((ip, at) =>
    test.start(
      'entry',
      settingsOf({
        name: `frontend-${at}`,
        machineClass: 'frontend',
        ip,
        zone: ZONES[at],
        store: storeAddress,
        seeds: ips.map(one => `${one}:8229`),
      }),
    ),
  );
  const areReady = async () =>
    (await Promise.all(ips.map(ip => isReady(`${ip}:8220`)))).every(Boolean);
  if (!(await test.until(areReady, 15_000))) {
    test.end(2, 'the entries are not ready');
  }
  await sleep(3_500);
  const results = await Promise.all(
    Array.from({length: 1 + SMALL_CLIENTS}, (_, at) =>
      play(ips[at % ENTRIES], entries[0], at),
    ),
  );
  judge(results, servers);
}

/** One client; the first one is on a narrow link, and its answer starts the stop. */
async function play(ip, entry, at) {
  const id = `attempt-${at}`;
  test.record(`client ${at} sends ${id}, POST /balance/${at}`);
  const result = await request({
    address: `${ip}:8227`,
    method: 'POST',
    path: `/balance/${at}`,
    host: 'ledger.example',
    id,
    deadlineMs: TIME_LIMIT_MS,
    body: 'account=1',
    key: KEY,
    bytesPerMs: at === 0 ? LARGE_BYTES_PER_MS : Infinity,
    onHead: () => {
      if (at === 0 && test.hasTrouble) {
        setTimeout(() => test.signal(entry, 'SIGTERM'), 500);
      }
    },
  });
  test.record(
    `client ${at}: ${id} has status ${result.status}, ${result.received} of ` +
      `${result.expected} bytes, ${result.end} after ${Math.round(result.ms)} ms`,
  );
  return result;
}

function judge(results, servers) {
  for (const {id, arrivals} of servers) {
    for (const arrival of arrivals) {
      test.record(
        `server ${id} ran ${arrival.id}, answered: ${arrival.hasEnded}`,
      );
    }
  }
  const lost = results.filter(({end}) => end !== 'whole');
  if (lost.some(({status, end}) => status !== 200 || end === 'deadline')) {
    test.end(2, 'a request was not served, or its time limit was reached');
  }
  if (lost.length > 0) {
    const ids = lost.map(({id}) => id).join(', ');
    test.end(1, `LOST: the channel closed with no complete answer: ${ids}`);
  }
  test.end(0, 'all answers were complete');
}

function configuration() {
  return {
    version: 1,
    routes: [
      {
        name: 'balance-lookup',
        host: 'ledger.example',
        'path-prefix': '/balance/',
        kind: 'unsafe',
        'timeout-ms': 20000,
        'target-latency-ms': 387,
        priority: 2,
        service: 'hovedbok',
        attempts: 1,
      },
    ],
    services: [
      {name: 'hovedbok', 'connection-limit': 100, 'health-path': '/health'},
    ],
    tenants: [{name: 'hule930', 'access-keys': [KEY]}],
    limits: {
      'header-bytes': 16384,
      'body-bytes': 4194304,
      'header-timeout-ms': 10000,
      'idle-timeout-ms': 30000,
    },
  };
}

void main();
