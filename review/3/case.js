'use strict';
/**
 * Case 3, rule DRAIN: the channel on which an entry watches the servers goes
 * silent. The entry goes on sending to a server that has said `draining` and
 * then ends, and loses the work that the server had.
 */
const net = require('node:net');
const {Case, findNetwork, settingsOf, sleep, BOUNDS} = require('../lib/fleet');
const {Store} = require('../lib/store');
const {Server, request, isReady} = require('../lib/site');

const ZONES = ['oslo-a', 'oslo-b', 'oslo-c'];
/** The zone of each server; the last one joins later. */
const HOMES = [0, 1, 2, 1];
const CONTACT_MS = BOUNDS['contact-ms'];
const DRAIN_MS = BOUNDS['drain-ms'];
/** A server serves on for drain-ms and "sometimes many seconds" more. */
const LINGER_MS = 5_000;
/** Time between a server's receipt of a request and the record of it. */
const SLACK_MS = 100;
const REQUESTS_PER_S = 90;
const WORK_MS = 86;
const TIME_LIMIT_MS = 1_504;
const KEY = 'n2ctnfzs989anu6wsjnb';

const test = new Case(__dirname);

/** A path from one entry to the store; single channels of it go silent. */
class Path {
  constructor(storeAddress) {
    [this.ip, this.port] = storeAddress.split(':');
    this.channels = new Set();
  }

  async open(host) {
    const server = net.createServer(client => this.connect(client));
    await new Promise(resolve => server.listen(0, host, resolve));
    return `${host}:${server.address().port}`;
  }

  connect(client) {
    const store = net.connect(Number(this.port), this.ip);
    const channel = {client, store, asked: '', isSilent: false};
    this.channels.add(channel);
    client.on('data', chunk => {
      const line = /^GET (\S+)/.exec(chunk.toString('latin1'));
      channel.asked = line === null ? channel.asked : line[1];
      if (!channel.isSilent) {
        store.write(chunk);
      }
    });
    store.on('data', chunk => {
      if (!channel.isSilent) {
        client.write(chunk);
      }
    });
    const close = () => {
      this.channels.delete(channel);
      client.destroy();
      store.destroy();
    };
    client.on('error', close).on('close', close);
    store.on('error', close).on('close', close);
  }

  /** The channels on which the servers are watched. */
  get serverWatches() {
    return [...this.channels].filter(({asked}) =>
      asked.startsWith('/api/objects/servers?watch='),
    );
  }
}

async function main() {
  const network = await findNetwork(8);
  const store = new Store();
  const storeAddress = await store.open(`${network}.7`);
  const servers = [0, 1, 2, 3].map(
    at =>
      new Server({
        id: `i-${at}`,
        service: 'hovedbok',
        host: `${network}.${4 + HOMES[at]}`,
        port: at < 3 ? 8120 : 8121,
        zone: ZONES[HOMES[at]],
        store,
        answer: async () => {
          await sleep(WORK_MS);
          return Buffer.alloc(800, 'a');
        },
      }),
  );
  store.write('config', 'main', configuration());
  await Promise.all(servers.slice(0, 3).map(server => server.open()));
  const ips = ZONES.map((_, at) => `${network}.${at + 1}`);
  const paths = [];
  for (const [at, ip] of ips.entries()) {
    const path = new Path(storeAddress);
    paths.push(path);
    test.start(
      'entry',
      settingsOf({
        name: `frontend-${at}`,
        machineClass: 'frontend',
        ip,
        zone: ZONES[at],
        store: await path.open(`${network}.8`),
        seeds: ips.map(one => `${one}:8229`),
      }),
    );
  }
  const areReady = async () =>
    (await Promise.all(ips.map(ip => isReady(`${ip}:8220`)))).every(Boolean);
  if (!(await test.until(areReady, 15_000))) {
    test.end(2, 'the entries are not ready');
  }
  const results = [];
  const traffic = sendTraffic(ips, results);
  await sleep(CONTACT_MS + 500);
  // A server joins, so that every entry begins a new watch.
  test.record('server i-3 joins');
  await servers[3].open();
  await sleep(1_000);
  if (test.hasTrouble) {
    for (const [at, path] of paths.entries()) {
      const watches = path.serverWatches;
      if (watches.length === 0) {
        test.record(`frontend-${at} watches no servers`);
      }
      watches.forEach(one => (one.isSilent = true));
      test.record(`${watches.length} channel of frontend-${at} goes silent`);
    }
  }
  // From here on, all machines are in touch again.
  await sleep(CONTACT_MS + 500);
  const [leaving] = servers;
  const drainedAt = leaving.drain();
  test.record('the store confirms that server i-0 is draining');
  await sleep(DRAIN_MS + LINGER_MS);
  const endedAt = performance.now();
  leaving.end();
  test.record('server i-0 ends; its entry is gone');
  await sleep(TIME_LIMIT_MS);
  clearInterval(traffic);
  await sleep(TIME_LIMIT_MS);
  judge(results, leaving, drainedAt, endedAt, servers);
}

/** Clients of all zones send unsafe requests, each on a channel of its own. */
function sendTraffic(ips, results) {
  let number = 0;
  return setInterval(() => {
    const id = `attempt-${number}`;
    const ip = ips[number % ips.length];
    number += 1;
    void request({
      address: `${ip}:8227`,
      method: 'POST',
      path: `/balance/${number}`,
      host: 'ledger.example',
      id,
      deadlineMs: TIME_LIMIT_MS,
      body: 'account=1',
      key: KEY,
    }).then(result => results.push(result));
  }, 1_000 / REQUESTS_PER_S);
}

function judge(results, leaving, drainedAt, endedAt, servers) {
  const byId = new Map(results.map(result => [result.id, result]));
  const late = leaving.arrivals.filter(
    ({at}) => at > drainedAt + DRAIN_MS + SLACK_MS,
  );
  for (const {id, at, hasEnded} of late) {
    const {status, end} = byId.get(id) ?? {};
    const afterMs = Math.round(at - drainedAt);
    test.record(
      `${id} reaches i-0 ${afterMs} ms after the confirmation; ` +
        `${hasEnded ? 'answered' : 'cut as the server ends'}; ` +
        `the client gets ${status}, ${end}`,
    );
  }
  const ran = new Map();
  for (const server of servers) {
    server.arrivals.forEach(({id, at}) => ran.set(id, {server, at}));
  }
  for (const {id, status, end, ms} of results) {
    const {server, at} = ran.get(id) ?? {};
    const run =
      server === undefined
        ? 'reached no server'
        : `reached ${server.id} ${Math.round(at - drainedAt)} ms from the confirmation`;
    test.record(`${id}: ${status}, ${end} after ${Math.round(ms)} ms; ${run}`);
  }
  const lost = late.filter(({id}) => byId.get(id)?.status !== 200);
  const unanswered = results.filter(({status}) => status !== 200);
  test.record(
    `${results.length} requests; not answered with 200: ${unanswered.length} ` +
      `(${countBy(unanswered.map(({status, end}) => `${status} ${end}`))})`,
  );
  test.record(
    `arrivals: ${servers.map(one => `${one.id} ${one.arrivals.length}`)}; ` +
      `i-0 ended ${Math.round(endedAt - drainedAt)} ms after the confirmation`,
  );
  if (leaving.arrivals.length < 20 || results.length < 100) {
    test.end(2, 'too few requests');
  }
  if (late.length > 0) {
    test.end(
      1,
      `DRAIN: ${late.length} requests reach a draining server more than ` +
        `${DRAIN_MS} ms after the confirmation; ${lost.length} of them are lost`,
    );
  }
  test.end(0, `no request reaches the server after ${DRAIN_MS} ms`);
}

function countBy(texts) {
  const counts = {};
  texts.forEach(text => (counts[text] = (counts[text] ?? 0) + 1));
  return JSON.stringify(counts);
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
        'timeout-ms': 1504,
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
