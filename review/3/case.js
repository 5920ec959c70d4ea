'use strict';
/**
 * Case 3, rule LOST: an entry that is being stopped goes on taking requests on
 * kept channels until its end, and cuts those that its servers work on.
 */
const http = require('node:http');
const {Case, findNetwork, settingsOf, sleep, BOUNDS} = require('../lib/fleet');
const {Store} = require('../lib/store');
const {Server, isReady, ATTEMPT} = require('../lib/site');

const ZONES = ['oslo-a', 'oslo-b', 'oslo-c'];
const ENTRIES = 2;
const CLIENTS = 12;
/** The most events and the pause between them that the site's sheet allows. */
const EVENTS = 60;
const EVENT_MS = 70;
const TIME_LIMIT_MS = 8_017;
const GRACE_MS = BOUNDS['grace-period-s'] * 1_000;
/** Requests sent later than this after the SIGTERM are not excused. */
const EXCUSED_MS = 3_000;
const KEY = 'n2ctnfzs989anu6wsjnb';

const test = new Case(__dirname);

async function main() {
  const network = await findNetwork(ENTRIES + ZONES.length + 1);
  const store = new Store();
  const storeAddress = await store.open(`${network}.6`);
  const servers = ZONES.map(
    (zone, at) =>
      new Server({
        id: `i-${at}`,
        service: 'hjelper-llm',
        host: `${network}.${ENTRIES + 1 + at}`,
        port: 8120,
        zone,
        store,
        stream: {events: EVENTS, eventMs: EVENT_MS},
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
  const clients = Array.from({length: CLIENTS}, (_, at) => play(ips[0], at));
  await sleep(300);
  const stoppedAt = performance.now();
  if (test.hasTrouble) {
    test.signal(entries[0], 'SIGTERM');
  }
  const results = (await Promise.all(clients)).flat();
  judge(results, servers, stoppedAt);
}

/** A client that keeps its channel for two streams, one after the other. */
async function play(ip, at) {
  const agent = new http.Agent({keepAlive: true, maxSockets: 1});
  const results = [];
  for (let number = 0; number < 2; number += 1) {
    const result = await stream(agent, ip, `attempt-${at}-${number}`, at);
    results.push(result);
    if (result.end !== 'whole' || result.mayNotReuse) {
      break;
    }
  }
  agent.destroy();
  return results;
}

function stream(agent, ip, id, at) {
  return new Promise(resolve => {
    const sentAt = performance.now();
    const result = {id, sentAt, status: 0, events: 0, end: '', isKept: false};
    const route = at % 2 === 0 ? 'explain' : 'once';
    const req = http.request({
      agent,
      host: ip,
      port: 8227,
      method: 'POST',
      path: `/${route}/${at}`,
      headers: {
        Host: 'llm.example',
        [ATTEMPT]: id,
        'X-Ferrycleat-Deadline-Milliseconds': TIME_LIMIT_MS,
        Authorization: `Bearer ${KEY}`,
        'Content-Length': 2,
      },
    });
    const settle = end => {
      if (result.end === '') {
        clearTimeout(timer);
        result.end = end;
        result.ms = performance.now() - sentAt;
        result.isKept = req.reusedSocket;
        resolve(result);
      }
    };
    const timer = setTimeout(() => {
      settle('time limit');
      req.destroy();
    }, TIME_LIMIT_MS);
    req.on('response', res => {
      result.status = res.statusCode;
      result.mayNotReuse = res.headers.connection === 'close';
      res.on('data', chunk => {
        result.events += chunk.toString().split('\n\n').length - 1;
      });
      res.on('end', () => setImmediate(settle, 'whole'));
      res.on('error', err => settle(`cut (${err.code})`));
    });
    req.on('error', err => settle(`closed (${err.code})`));
    req.end('{}');
  });
}

function judge(results, servers, stoppedAt) {
  const arrivals = new Map(
    servers.flatMap(one => one.arrivals.map(arrival => [arrival.id, arrival])),
  );
  const lost = [];
  for (const result of results) {
    const {id, sentAt, status, events, end, ms, isKept} = result;
    const sentMs = sentAt - stoppedAt;
    const arrival = arrivals.get(id);
    const wasPassedOn = arrival !== undefined;
    const run = arrival?.hasEnded ? 'and was run whole' : 'and was cut off';
    const endedMs = sentMs + ms;
    test.record(
      `${id}, on a ${isKept ? 'kept' : 'new'} channel, sent at ` +
        `${Math.round(sentMs)} ms: status ${status}, ${events} events, ${end} ` +
        `at ${Math.round(endedMs)} ms; ` +
        (wasPassedOn ? `reached a server ${run}` : 'reached no server'),
    );
    const isExcused = sentMs <= EXCUSED_MS || endedMs > GRACE_MS + 1_000;
    if (/cut|closed/.test(end) && wasPassedOn && !isExcused) {
      lost.push(id);
    }
  }
  if (results.filter(({end}) => end === 'whole').length < CLIENTS) {
    test.end(2, 'the first streams were not served');
  }
  if (lost.length > 0) {
    test.end(
      1,
      `LOST: ${lost.length} requests sent more than ${EXCUSED_MS} ms after ` +
        `the SIGTERM were passed on to a server and cut: ${lost.join(', ')}`,
    );
  }
  test.end(0, 'no request that counts was cut');
}

function configuration() {
  const route = {
    host: 'llm.example',
    kind: 'streaming',
    'timeout-ms': 8017,
    'target-latency-ms': 501,
    priority: 1,
    service: 'hjelper-llm',
    gap_aim_ms: 120,
  };
  return {
    version: 1,
    routes: [
      {
        ...route,
        name: 'dispute-explain',
        'path-prefix': '/explain/',
        attempts: 2,
        resumable: true,
      },
      {
        ...route,
        name: 'once-explain',
        'path-prefix': '/once/',
        attempts: 1,
        resumable: false,
      },
    ],
    services: [
      {name: 'hjelper-llm', 'connection-limit': 348, 'health-path': '/health'},
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
