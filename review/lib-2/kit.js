'use strict';
/**
 * A small site on loopback for the scripts of this review: the programs of the
 * deploy file as processes of their own, and stand-ins of the store, of plain
 * servers and of clients in this process.
 */
const childProcess = require('node:child_process');
const fs = require('node:fs');
const http = require('node:http');
const net = require('node:net');
const os = require('node:os');
const path = require('node:path');

const ROOT = path.join(__dirname, '..', '..');
const {ObjectStoreStandin} = require(
  path.join(ROOT, 'dist', 'review-2', 'store-standin.js'),
);

const ID = 'x-ferrycleat-attempt-identifier';
const SIGNATURE = 'x-ferrycleat-response-signature';
const NOT_RUN = 'x-ferrycleat-not-executed';
const EXPECTED = 'x-ferrycleat-expected-instance';
const TIME_LEFT = 'x-ferrycleat-deadline-milliseconds';
const HOST = 'site.example';
const KEY = 'key-one';
const ZONES = ['oslo-a', 'oslo-b', 'oslo-c'];

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Runs a case; exits with 1 (broken), 0 (held) or 2 (could not run). */
async function runCase(dir, body) {
  const record = new Record(path.join(dir, 'record.txt'));
  const hasTrouble = process.env.TROUBLE !== '0';
  const site = new Site(record);
  let code = 2;
  // Whatever ends this process, no other one is left.
  process.on('exit', () => site.killAll());
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
    process.on(signal, () => process.exit(2));
  }
  const limit = setTimeout(() => {
    record.line('the case ran past its time');
    site.killAll();
    record.close();
    process.exit(2);
  }, 115_000);
  try {
    const isBroken = await body(site, record, hasTrouble);
    code = isBroken ? 1 : 0;
  } catch (err) {
    record.line(`could not run: ${err.stack}`);
    console.error(err);
  }
  clearTimeout(limit);
  await site.close();
  record.line(`exit ${code}`);
  record.close();
  process.exit(code);
}

class Record {
  constructor(file) {
    this.startedAt = performance.now();
    this.file = fs.openSync(file, 'w');
  }

  line(text) {
    const at = ((performance.now() - this.startedAt) / 1_000).toFixed(3);
    fs.writeSync(this.file, `${at.padStart(8)} ${text}\n`);
  }

  /** A line that is printed as well. */
  say(text) {
    this.line(text);
    console.log(text);
  }

  close() {
    fs.closeSync(this.file);
  }
}

/** Entries, the store and settings. */
class Site {
  constructor(record) {
    this.record = record;
    this.store = new ObjectStoreStandin();
    this.store.sendsEra = false;
    this.entries = [];
    this.sidecars = [];
    this.seeds = [];
    this.servers = [];
    this.tempDir = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    // Processes have the same ports, each at a loopback address of its own.
    this.net = `127.${60 + Math.floor(Math.random() * 60)}.${Math.floor(Math.random() * 250)}`;
    this.nextHost = 1;
  }

  host() {
    this.nextHost += 1;
    return `${this.net}.${this.nextHost}`;
  }

  async openStore() {
    this.storeAddress = await this.store.open();
  }

  addServer(server) {
    this.servers.push(server);
  }

  /** Settings as the template of the deploy file fills them in. */
  settings(name, host, zone, extra) {
    return {
      'node-name': name,
      role: 'entry',
      'machine-class': 'frontend',
      serves: ['frontend', 'control_plane'],
      'ip-address': host,
      zone,
      region: 'oslo',
      zones: {'oslo-a': 'oslo', 'oslo-b': 'oslo', 'oslo-c': 'oslo'},
      'listen-addresses': {
        frontend: `${host}:8227`,
        ready: `${host}:8220`,
        'control-plane': `${host}:8229`,
      },
      'internal-ports': [7340, 7355],
      'seed-nodes': [],
      bootstrap: true,
      'loss-counts': false,
      limits: {
        'processor-share': 0.513,
        cores: 1,
        'memory-mb': 350,
        'file-descriptors': 4200,
        'link-mbps': 1000,
        'disk-mb': 0,
      },
      'data-directory': null,
      discovery: 'platform',
      entry: 'virtual_address',
      'heartbeat-interval-ms': 1200,
      bounds: BOUNDS,
      platform: {
        address: this.storeAddress,
        form: 'objects',
        writes_per_s: 400,
        reads_per_s: 2000,
        'history-s': 20,
        value_bytes: 1048576,
        ttl_min_ms: 1000,
      },
      ...extra,
    };
  }

  /** `platformOf` may give changes of an entry's `platform` settings. */
  async openEntries(count, platformOf = async () => ({})) {
    const hosts = Array.from({length: count}, () => this.host());
    this.seeds = hosts.map(one => `${one}:8229`);
    for (const [at, host] of hosts.entries()) {
      const zone = ZONES[at % ZONES.length];
      const settings = this.settings(`entry-${at}`, host, zone, {
        'seed-nodes': this.seeds,
      });
      Object.assign(settings.platform, await platformOf(at));
      this.entries.push(
        this.addProcess('entry', `entry-${at}`, host, settings),
      );
      this.start(this.entries[at]);
    }
    await Promise.all(this.entries.map(entry => this.whenReady(entry.host)));
  }

  /** `targets`: the addresses of the ranks; each sidecar runs beside its rank. */
  openSidecars(targets, service) {
    for (const [at, target] of targets.entries()) {
      const [host] = target.split(':');
      const settings = this.settings(
        `side-${at}`,
        host,
        ZONES[at % ZONES.length],
        {
          role: 'sidecar',
          'machine-class': 'side',
          serves: ['side'],
          'listen-addresses': {},
          'seed-nodes': this.seeds,
          app: target,
          service,
          limits: {
            'processor-share': 0.405,
            cores: 1,
            'memory-mb': 218,
            'file-descriptors': 1494,
            'link-mbps': 14,
            'disk-mb': 0,
          },
        },
      );
      this.sidecars.push(
        this.addProcess('sidecar', `side-${at}`, host, settings),
      );
      this.start(this.sidecars[at]);
    }
  }

  addProcess(role, name, host, settings) {
    const file = path.join(this.tempDir, `${name}.json`);
    fs.writeFileSync(file, JSON.stringify(settings));
    return {role, host, file, name, child: undefined, end: undefined};
  }

  get processes() {
    return [...this.entries, ...this.sidecars];
  }

  /** Starts a process by the line of the deploy file. */
  start(one) {
    const log = fs.openSync(path.join(this.tempDir, `${one.name}.log`), 'a');
    const env = {
      PATH: process.env.PATH,
      HOME: process.env.HOME,
      FERRYCLEAT_SETTINGS: one.file,
    };
    const heap = one.role === 'entry' ? 120 : 64;
    const child = childProcess.spawn(
      'node',
      [
        `--max-old-space-size=${heap}`,
        'target/ferrycleat.js',
        'site',
        one.role,
      ],
      {cwd: ROOT, env, stdio: ['ignore', log, log]},
    );
    fs.closeSync(log);
    one.child = child;
    one.end = undefined;
    one.exited = new Promise(resolve => child.once('exit', resolve));
    child.once('exit', (code, signal) => {
      one.end = {code, signal};
      this.record.line(`${one.name} ended: ${code ?? signal}`);
    });
  }

  /** The final fault: all processes are killed, and start again after a while. */
  async killAndRestart(downMs) {
    const all = this.processes;
    all.forEach(({child}) => child.kill('SIGKILL'));
    await Promise.all(all.map(({exited}) => exited));
    await sleep(downMs);
    all.forEach(one => this.start(one));
  }

  logOf(name) {
    return fs.readFileSync(path.join(this.tempDir, `${name}.log`), 'utf8');
  }

  async whenReady(host) {
    const endsAt = performance.now() + 20_000;
    while (performance.now() < endsAt) {
      if ((await readiness(host)) === 200) {
        return;
      }
      await sleep(50);
    }
    throw new Error(`${host} does not get ready`);
  }

  killAll() {
    for (const {child, end} of this.processes) {
      if (child !== undefined && end === undefined) {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      }
    }
  }

  async close() {
    this.killAll();
    await Promise.all(this.processes.map(({exited}) => exited));
    this.servers.forEach(server => server.close());
    this.store.close();
    if (process.env.KEEP_LOGS === undefined) {
      fs.rmSync(this.tempDir, {recursive: true});
    } else {
      console.log(this.tempDir);
    }
  }
}

const BOUNDS = {
  'seed-lag-s': 3,
  'reuse-after-s': 2,
  'contact-ms': 3000,
  'acknowledge-ms': 4000,
  'catch-up-s': 4,
  'drain-ms': 2000,
  'grace-period-s': 8,
  'loss-slack-ms': 200,
  'configuration-apply-ms': 2000,
  'rollback-slack-ms': 250,
  'stretch-max-ms': 5000,
  'strict-revocation': true,
  'revocation-ms': 5000,
  'retry-budget-ratio': 0.2,
  'budget-window-s': 10,
  'budget-extra-retries': 90,
  'recovery-s': 12,
  pass_ms: 120,
  again_s: 0,
  stall_ms: 1500,
  'enforce-fencing': false,
};

function readiness(host) {
  return new Promise(resolve => {
    const req = http.get(
      {host, port: 8220, path: '/api/readiness', agent: false, timeout: 1_000},
      res => {
        res.resume();
        resolve(res.statusCode);
      },
    );
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve(0));
  });
}

/**
 * A plain server: works on `slots` requests at once, queues some, refuses the
 * rest. `spoil(id)` may return bytes that it sends in place of its answer.
 */
class PlainServer {
  constructor({name, service, slots, workMs, record}) {
    Object.assign(this, {name, service, slots, workMs, record});
    this.spoil = () => undefined;
    this.answered = 0;
    this.running = 0;
    this.queue = [];
    /** Number of times that each request was run. */
    this.runs = new Map();
    /** When requests arrived that were meant for this server. */
    this.arrivals = [];
    this.server = http.createServer((req, res) => this.receive(req, res));
    this.server.keepAliveTimeout = 5_000;
  }

  async open(store, host, zone) {
    await new Promise(resolve => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
    this.store = store;
    this.zone = zone;
    this.write({});
  }

  /** Writes the server's entry in the store. */
  write(changes) {
    this.store.write('servers', this.name, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      'cold-remaining-ms': 0,
      sequence: 1,
      ...changes,
    });
  }

  /** Ends, but for the requests that it works on. */
  stopListening() {
    this.server.close();
    this.server.closeIdleConnections();
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  receive(req, res) {
    const id = String(req.headers[ID]);
    req.on('error', () => undefined);
    req.resume();
    req.once('end', () => {
      if (req.headers[EXPECTED] !== this.name) {
        res.writeHead(421, {[ID]: id}).end();
        return;
      }
      this.arrivals.push(performance.now());
      if (this.running < this.slots) {
        this.run(id, req, res);
      } else if (this.queue.length < 24) {
        this.queue.push(() => this.run(id, req, res));
      } else {
        res.writeHead(503, {[ID]: id, [NOT_RUN]: '1'}).end();
      }
    });
  }

  run(id, req, res) {
    if (res.destroyed) {
      this.queue.shift()?.();
      return;
    }
    this.running += 1;
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    this.record.line(`${this.name} runs ${id}`);
    setTimeout(() => {
      this.running -= 1;
      this.answered += 1;
      const bytes = this.spoil(id);
      if (bytes === undefined) {
        res.writeHead(200, {[ID]: id, [SIGNATURE]: `${this.name}.${id}`});
        res.end(`whole ${id}`);
      } else {
        this.record.line(`${this.name} spoils the answer to ${id}`);
        res.socket?.end(bytes);
      }
      this.queue.shift()?.();
    }, this.workMs);
  }
}

let lastId = 0;

/**
 * Sends one request on a channel of its own. Resolves with how it ended: the
 * status and body, or none, when the channel closed or `patienceMs` was over.
 */
function request(
  host,
  {path: target, method = 'GET', headers = {}, body},
  limitMs,
  patienceMs,
  {silenceMs} = {},
) {
  lastId += 1;
  const id = `a${process.pid.toString(16)}x${lastId.toString(16)}`;
  const sentAt = performance.now();
  return new Promise(resolve => {
    const end = outcome => {
      clearTimeout(timer);
      clearTimeout(silence);
      resolve({id, sentAt, ms: performance.now() - sentAt, ...outcome});
    };
    const giveUp = () => {
      end({kind: 'no answer', text});
      req.destroy();
    };
    let text = '';
    let silence = silenceMs && setTimeout(giveUp, silenceMs);
    const timer = setTimeout(giveUp, patienceMs);
    const req = http.request(
      {
        host,
        port: 8227,
        path: target,
        method,
        agent: false,
        headers: {
          Host: HOST,
          [ID]: id,
          [TIME_LEFT]: String(limitMs),
          Authorization: `Bearer ${KEY}`,
          ...headers,
        },
      },
      res => {
        res.on('data', chunk => {
          text += chunk;
          clearTimeout(silence);
          silence = silenceMs && setTimeout(giveUp, silenceMs);
        });
        res.on('error', () => undefined);
        res.on('close', () =>
          end({
            kind: res.complete ? 'answer' : 'cut',
            status: res.statusCode,
            text,
            headers: res.headers,
          }),
        );
      },
    );
    req.on('error', err => end({kind: 'closed', error: err.code}));
    req.end(body);
  });
}

function route(name, kind, service, extra = {}) {
  return {
    name,
    host: HOST,
    'path-prefix': `/${name}/`,
    kind,
    'timeout-ms': 1500,
    'target-latency-ms': 387,
    priority: 2,
    service,
    attempts: 1,
    public: false,
    ...extra,
  };
}

function configuration(version, routes, services, keys = [KEY]) {
  return {
    version,
    routes,
    services,
    limits: {
      'header-bytes': 16384,
      'body-bytes': 4194304,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15000,
    },
    tenants: [{name: 'tenant-one', 'access-keys': keys, priority: 1}],
  };
}

module.exports = {
  HOST,
  ID,
  KEY,
  EXPECTED,
  NOT_RUN,
  SIGNATURE,
  TIME_LEFT,
  PlainServer,
  configuration,
  readiness,
  request,
  route,
  runCase,
  sleep,
};
