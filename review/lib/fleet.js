'use strict';
/**
 * Starts the project's programs as the deploy file does, on loopback addresses
 * of their own, and stops all of them. Shared by the cases of this review.
 */
const fs = require('node:fs');
const net = require('node:net');
const os = require('node:os');
const path = require('node:path');
const {spawn, execFileSync} = require('node:child_process');

const ROOT = path.join(__dirname, '..', '..');
const PROGRAM = path.join(ROOT, 'target', 'ferrycleat.js');
const HEAP_MB = {entry: 120, sidecar: 64};
const METRICS_PORT = 9464;
const INTERNAL_PORTS = [7340, 7355];

/** Ends the case: 1 broken, 0 held, 2 could not run. */
class Case {
  constructor(folder) {
    this.hasTrouble = process.env.TROUBLE !== '0';
    this.startedAt = performance.now();
    this.recordFile = path.join(folder, 'record.txt');
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'ferrycleat-review-'));
    this.processes = [];
    this.isEnding = false;
    fs.writeFileSync(this.recordFile, '');
    this.record(`trouble: ${this.hasTrouble ? 'yes' : 'no'}`);
    for (const signal of ['SIGTERM', 'SIGINT']) {
      process.on(signal, () => this.end(2, `ended by ${signal}`));
    }
    process.on('uncaughtException', err => this.end(2, String(err.stack)));
    process.on('unhandledRejection', err => this.end(2, String(err?.stack)));
    setTimeout(() => this.end(2, 'no result within 115 s'), 115_000).unref();
    if (!fs.existsSync(PROGRAM)) {
      execFileSync(process.execPath, ['scripts/build.js', '--target'], {
        cwd: ROOT,
        stdio: 'ignore',
      });
    }
  }

  /** Milliseconds since the start. */
  get now() {
    return performance.now() - this.startedAt;
  }

  record(text) {
    const seconds = (this.now / 1000).toFixed(3).padStart(8);
    fs.appendFileSync(this.recordFile, `${seconds} s  ${text}\n`);
  }

  /** Starts `site entry` or `site sidecar`; the output goes to a log. */
  start(role, settings) {
    const name = settings['node-name'];
    const file = path.join(this.folder, `${name}.json`);
    fs.writeFileSync(file, JSON.stringify(settings));
    const log = fs.openSync(path.join(this.folder, `${name}.log`), 'a');
    const args = [`--max-old-space-size=${HEAP_MB[role]}`];
    const child = spawn(
      'node',
      [...args, 'target/ferrycleat.js', 'site', role],
      {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          LANG: process.env.LANG,
          FERRYCLEAT_SETTINGS: file,
        },
        stdio: ['ignore', log, log],
      },
    );
    fs.closeSync(log);
    const started = {name, role, settings, child, pid: child.pid};
    this.processes.push(started);
    child.once('exit', (code, signal) => {
      started.hasEnded = true;
      if (!this.isEnding) {
        this.record(`${name} has ended: code ${code}, signal ${signal}`);
      }
    });
    return started;
  }

  signal(process_, name) {
    this.record(`${name} to ${process_.name}`);
    process_.child.kill(name);
  }

  logOf(process_) {
    return fs.readFileSync(
      path.join(this.folder, `${process_.name}.log`),
      'utf8',
    );
  }

  /** Waits until `isTrue` holds; false after `ms`. */
  async until(isTrue, ms) {
    const endsAt = performance.now() + ms;
    while (performance.now() < endsAt) {
      if (await isTrue()) {
        return true;
      }
      await sleep(20);
    }
    return false;
  }

  end(code, text) {
    if (this.isEnding) {
      return;
    }
    this.isEnding = true;
    this.record(`${['held', 'broken', 'not run'][code]}: ${text}`);
    for (const {child, hasEnded} of this.processes) {
      if (!hasEnded) {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      }
    }
    if (process.env.KEEP_LOGS !== undefined) {
      process.stderr.write(`logs: ${this.folder}\n`);
    } else {
      fs.rmSync(this.folder, {recursive: true, force: true});
    }
    process.stdout.write(`${text}\n`);
    process.exit(code);
  }
}

/** A loopback network whose first `count` addresses have the fixed ports free. */
async function findNetwork(count) {
  for (let tries = 0; tries < 50; tries += 1) {
    const octet = () => 2 + Math.floor(Math.random() * 250);
    const prefix = `127.${octet()}.${octet()}`;
    const checks = [];
    for (let at = 1; at <= count; at += 1) {
      for (const port of [METRICS_PORT, INTERNAL_PORTS[0], 8120, 8220, 8227]) {
        checks.push(isFree(`${prefix}.${at}`, port));
      }
    }
    if ((await Promise.all(checks)).every(Boolean)) {
      return prefix;
    }
  }
  throw new Error('no free loopback network');
}

function isFree(host, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Settings as the platform fills them in; the bounds of lommebok-ruter. */
function settingsOf({name, machineClass, ip, zone, store, seeds, extra = {}}) {
  return {
    'node-name': name,
    role: machineClass === 'frontend' ? 'entry' : 'sidecar',
    'machine-class': machineClass,
    serves:
      machineClass === 'frontend' ? ['frontend', 'control_plane'] : ['side'],
    'ip-address': ip,
    zone,
    region: 'oslo',
    'internal-ports': INTERNAL_PORTS,
    'seed-nodes': seeds,
    bootstrap: true,
    'loss-counts': false,
    discovery: 'platform',
    entry: 'virtual_address',
    'heartbeat-interval-ms': 1200,
    zones: {'oslo-a': 'oslo', 'oslo-b': 'oslo', 'oslo-c': 'oslo'},
    'listen-addresses':
      machineClass === 'frontend'
        ? {
            frontend: `${ip}:8227`,
            ready: `${ip}:8220`,
            'control-plane': `${ip}:8229`,
          }
        : {},
    limits: {
      'processor-share': machineClass === 'frontend' ? 0.513 : 0.405,
      cores: 1,
      'memory-mb': machineClass === 'frontend' ? 350 : 218,
      'file-descriptors': machineClass === 'frontend' ? 4200 : 2048,
      'link-mbps': machineClass === 'frontend' ? 1000 : 20,
      'disk-mb': 0,
    },
    'fault-tolerance': {machines: 2, zones: 0, regions: 0},
    bounds: BOUNDS,
    platform: {
      address: store,
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

function sleep(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}

module.exports = {Case, findNetwork, settingsOf, BOUNDS, sleep};
