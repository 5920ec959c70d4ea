'use strict';
/**
 * Stand-in of a group of model servers in lock-step, as PROTOCOL.md describes
 * it: passes, expert counters and the orders that change the expert map. Every
 * pass is checked: all ranks must begin it on the same map (rule MAP). Where it
 * serves streams, each of them gets an event with each pass.
 *
 * The counters are the stand-in's own and don't depend on the streams.
 */
const http = require('node:http');
const {send} = require('./store');

const ATTEMPT = 'X-Ferrycleat-Attempt-Identifier';
const SIGNATURE = 'X-Ferrycleat-Response-Signature';
const NOT_EXECUTED = 'X-Ferrycleat-Not-Executed';
const SLOTS = 8;
/** Requests that wait at a rank. */
const MAX_WAITING = 16;
const PASS_MS = 45;
const CHOICES_PER_PASS = 480;
const ZIPF_EXPONENT = 0.92;

class Group {
  /** `shape`: ranks, sets, experts, places, copyMs. */
  constructor(shape, record, events = 0) {
    this.shape = shape;
    /** Of each stream; 0: the group serves none. */
    this.events = events;
    this.record = record;
    this.step = 0;
    this.ranks = [];
    this.changes = 0;
    this.heldSince = undefined;
    this.longestHoldMs = 0;
    /** Called with each order before it is carried out; true: taken over. */
    this.onOrder = () => false;
    /** Called with each order; true: its answer closes the channel. */
    this.closesAfter = () => false;
    /** Called with each new channel to a rank; true: it is reset. */
    this.onConnection = () => false;
    /** Called with the text of a broken rule. */
    this.onBroken = () => undefined;
    this.shiftDemand();
    this.passAt = performance.now();
    setInterval(() => this.runPass(), PASS_MS);
  }

  /** Opens the next rank at an address. */
  async openRank(host, port) {
    const at = this.ranks.length;
    const {ranks, sets, experts} = this.shape;
    const held = Array.from({length: sets}, () =>
      Array.from({length: experts}, (_, expert) => expert).filter(
        expert => expert % ranks === at,
      ),
    );
    this.ranks.push({
      at,
      counts: new Array(sets * experts).fill(0),
      active: {version: 0, held},
      prepared: undefined,
      copying: undefined,
      highest: 0,
      armed: undefined,
      hold: undefined,
      sequence: 0,
      running: new Set(),
      waiting: [],
    });
    const server = http.createServer((req, res) => this.handle(at, req, res));
    server.keepAliveTimeout = 60_000;
    server.on('connection', socket => {
      if (this.onConnection(at) === true) {
        socket.resetAndDestroy();
      }
    });
    await new Promise(resolve => server.listen(port, host, resolve));
  }

  /** The entry of a rank in the store. */
  entryOf(rank, host, zones) {
    return {
      service: 'hjelper-llm',
      address: `${host}:8120`,
      zone: zones[rank % zones.length],
      version: 'v1',
      slots: SLOTS,
      state: 'ready',
      'cold-remaining-ms': 0,
      sequence: 1,
      stage: 'both',
      models: [{name: 'm', version: 1, adapters: []}],
      group: {name: 'g0', rank},
    };
  }

  /** Other experts are in demand. */
  shiftDemand() {
    const {sets, experts} = this.shape;
    this.demand = Array.from({length: sets}, () => {
      const order = Array.from({length: experts}, (_, at) => at);
      for (let at = experts - 1; at > 0; at -= 1) {
        const other = Math.floor(Math.random() * (at + 1));
        [order[at], order[other]] = [order[other], order[at]];
      }
      const weights = new Array(experts);
      order.forEach((expert, at) => {
        weights[expert] = (at + 1) ** -ZIPF_EXPONENT;
      });
      const sum = weights.reduce((a, b) => a + b, 0);
      return weights.map(one => (one / sum) * CHOICES_PER_PASS);
    });
  }

  runPass() {
    const next = this.step + 1;
    if (this.ranks.length < this.shape.ranks) {
      return;
    }
    if (this.ranks.some(rank => rank.hold === next)) {
      this.heldSince ??= performance.now();
      return;
    }
    if (this.heldSince !== undefined) {
      const ms = performance.now() - this.heldSince;
      this.longestHoldMs = Math.max(this.longestHoldMs, ms);
      this.heldSince = undefined;
    }
    this.step = next;
    this.passAt = performance.now();
    let switched = 0;
    for (const rank of this.ranks) {
      if (rank.armed?.step === next) {
        rank.active = rank.prepared;
        rank.prepared = undefined;
        rank.armed = undefined;
        switched += 1;
      }
      rank.hold = rank.hold === next ? undefined : rank.hold;
      this.count(rank);
      this.work(rank);
    }
    const versions = this.ranks.map(rank => rank.active.version);
    if (switched > 0) {
      this.changes += switched === this.ranks.length ? 1 : 0;
      this.record(
        `pass ${next}: ${switched} of ${this.ranks.length} ranks take map ` +
          `${[...new Set(versions)].join(' and ')}`,
      );
    }
    if (new Set(versions).size > 1) {
      this.onBroken(
        `pass ${next} begins on different maps; by rank: ${versions.join(', ')}`,
      );
    }
  }

  /** A group that waits for nothing else begins its pass at once. */
  resume() {
    const next = this.step + 1;
    const isDue = performance.now() - this.passAt >= PASS_MS;
    if (isDue && this.ranks.every(rank => rank.hold !== next)) {
      this.runPass();
    }
  }

  count(rank) {
    const {experts} = this.shape;
    this.demand.forEach((weights, set) => {
      weights.forEach((mean, expert) => {
        rank.counts[set * experts + expert] += Math.floor(
          mean * 2 * Math.random() + Math.random(),
        );
      });
    });
  }

  async handle(at, req, res) {
    const chunks = [];
    for await (const chunk of req) {
      chunks.push(chunk);
    }
    const [path, query] = req.url.split('?', 2);
    if (path === '/api/report') {
      send(res, 200, this.report(this.ranks[at]));
    } else if (path === '/api/picked') {
      send(res, 200, this.picked(this.ranks[at], query !== undefined));
    } else if (path === '/api/order') {
      const order = JSON.parse(Buffer.concat(chunks).toString());
      if (this.closesAfter(at, order)) {
        res.setHeader('Connection', 'close');
      }
      const isUnanswered = this.onOrder(at, order, req, res) === true;
      const status = isUnanswered ? 'no answer' : this.carryOut(at, order);
      this.recordOrder(at, order, status);
      if (!isUnanswered) {
        send(res, status, {});
      }
    } else if (this.events > 0) {
      this.take(this.ranks[at], req, res);
    } else {
      send(res, 404, {});
    }
  }

  /** A request for a stream waits for a slot. */
  take(rank, req, res) {
    const id = req.headers[ATTEMPT.toLowerCase()] ?? '';
    const refuse = status => {
      res.writeHead(status, {[ATTEMPT]: id, [NOT_EXECUTED]: '1'});
      res.end();
    };
    const meant = req.headers['x-ferrycleat-expected-instance'];
    if (meant !== undefined && meant !== `i-${rank.at}`) {
      refuse(421);
      return;
    }
    if (rank.waiting.length >= MAX_WAITING) {
      refuse(503);
      return;
    }
    const one = {id, res, sent: 0};
    const limitMs = Number(req.headers['x-ferrycleat-deadline-milliseconds']);
    const timer = setTimeout(() => {
      if (rank.running.has(one)) {
        res.destroy();
      } else {
        refuse(503);
      }
    }, limitMs);
    res.once('close', () => {
      clearTimeout(timer);
      rank.running.delete(one);
      rank.waiting = rank.waiting.filter(other => other !== one);
    });
    rank.waiting.push(one);
  }

  /** Each running request gets an event with each pass. */
  work(rank) {
    while (rank.running.size < SLOTS && rank.waiting.length > 0) {
      const one = rank.waiting.shift();
      rank.running.add(one);
      one.res.writeHead(200, {
        [ATTEMPT]: one.id,
        [SIGNATURE]: `sig-${one.id}`,
        'Content-Type': 'text/event-stream',
        Versions: '1',
      });
    }
    for (const one of rank.running) {
      one.sent += 1;
      one.res.write(`id: ${one.sent}\ndata: ${'x'.repeat(50)}\n\n`);
      if (one.sent === this.events) {
        rank.running.delete(one);
        one.res.end();
      }
    }
  }

  recordOrder(at, {op, version, step}, status) {
    const map = version === undefined ? '' : ` map ${version}`;
    const pass = step === undefined ? '' : ` pass ${step}`;
    this.record(`order to rank ${at}: ${op}${map}${pass}: ${status}`);
  }

  report(rank) {
    return {
      stage: 'both',
      models: [{name: 'm', version: 1, adapters: []}],
      busy: rank.copying !== undefined,
      sequence: rank.sequence,
      waiting: rank.waiting.length,
      running: this.events > 0 ? rank.running.size : 4,
      'cache-used': 41000,
      'cache-total': 186666,
      handles: 0,
      group: {name: 'g0', epoch: 1, rank: rank.at, state: 'open'},
      size: this.shape.ranks,
      pace: 1,
      step: this.step,
      map: rank.active.version,
      prepared: rank.prepared?.version ?? null,
      armed: rank.armed ?? null,
      held: rank.hold ?? null,
    };
  }

  picked(rank, wantsLists) {
    const {step} = this;
    const {version, held} = rank.active;
    return wantsLists
      ? {step, epoch: 1, map: {version, experts: held}, prepared: null}
      : {step, epoch: 1, counts: rank.counts};
  }

  /** Carries out an order; returns the status of its answer. */
  carryOut(at, order) {
    const rank = this.ranks[at];
    if (order.epoch !== undefined && order.epoch !== 1) {
      return 409;
    }
    const status = this.apply(rank, order);
    rank.sequence += status === 202 ? 1 : 0;
    return status;
  }

  apply(rank, {op, version, step, map}) {
    switch (op) {
      case 'prepare':
        return this.prepare(rank, version, map);
      case 'arm':
        if (rank.armed?.version === version && rank.armed.step === step) {
          return 200;
        }
        if (rank.prepared?.version !== version || step <= this.step) {
          return 409;
        }
        rank.armed = {version, step};
        return 202;
      case 'disarm':
        if (rank.active.version === version) {
          return 409;
        }
        if (rank.armed?.version !== version) {
          return 200;
        }
        rank.armed = undefined;
        return 202;
      case 'hold':
        if (step <= this.step) {
          return 409;
        }
        if (rank.hold === step) {
          return 200;
        }
        rank.hold = step;
        return 202;
      case 'go':
        if (rank.hold !== step) {
          return 200;
        }
        rank.hold = undefined;
        this.resume();
        return 202;
      default:
        return 400;
    }
  }

  prepare(rank, version, map) {
    if (rank.prepared?.version === version || rank.copying === version) {
      return 200;
    }
    if (version <= rank.highest || rank.armed !== undefined) {
      return 409;
    }
    const held = map.map(set => set[rank.at]);
    const added = held.map(
      (one, set) =>
        one.filter(expert => !rank.active.held[set].includes(expert)).length,
    );
    rank.highest = version;
    rank.copying = version;
    rank.prepared = undefined;
    const copies = added.reduce((a, b) => a + b, 0);
    setTimeout(() => {
      if (rank.copying === version) {
        rank.copying = undefined;
        rank.prepared = {version, held};
      }
    }, copies * this.shape.copyMs);
    return 202;
  }
}

/** The desired state: one route to the group, and its engine. */
function configurationOf(shape) {
  return {
    version: 1,
    routes: [
      {
        name: 'dispute-explain',
        host: 'llm.example',
        'path-prefix': '/explain/',
        kind: 'streaming',
        'timeout-ms': 8000,
        'target-latency-ms': 501,
        priority: 1,
        service: 'hjelper-llm',
        attempts: 2,
        resumable: true,
        public: true,
        gap_aim_ms: 120,
      },
    ],
    services: [
      {
        name: 'hjelper-llm',
        'connection-limit': 348,
        'health-path': '/health',
        engine: {
          slots: 8,
          step_ms: 4.55,
          per_seq_ms: 0.905,
          context_per_k: 0.0183,
          read_per_s: 61400,
          chunk: 512,
          stride: 4,
          usual: {prompt: 800, answer: 96},
          'link-mbps': 14,
          sets: shape.sets,
          experts: shape.experts,
          places: shape.places,
          spare: 2,
          expert_mb: (shape.copyMs * 14) / 8000,
          expert_share: 0.6,
          form_ms: 400,
        },
      },
    ],
    limits: {
      'header-bytes': 16384,
      'body-bytes': 4194304,
      'header-timeout-ms': 10000,
      'idle-timeout-ms': 30000,
    },
  };
}

module.exports = {Group, configurationOf};
