'use strict';
/**
 * A group of model servers on loopback, as the users' pages describe it: passes of
 * all ranks together while there is work, orders that change the expert map, and
 * streams with an event a pass. An order may be left unanswered and carried out
 * late.
 */
const http = require('node:http');
const kit = require('./kit');

const OK = 200;
const BEGUN = 202;
const CONFLICT = 409;
/** Bytes that form no answer: nobody asked for another protocol. */
const WRONG_HEAD =
  'HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n';

class Group {
  /** `shape`: ranks, sets, experts, places, spare, copyMs, passMs. */
  constructor(shape, record) {
    this.shape = shape;
    this.record = record;
    this.step = 0;
    this.epoch = 1;
    this.ranks = [];
    /** The first try of each hold gets no answer and is carried out late. */
    this.losesHolds = false;
    this.orders = 0;
    this.lateOrders = 0;
    /** Orders are carried out 2 s late, and up to so much later. */
    this.lateSpanMs = 10_000;
    /** Holds that got no answer once, by rank and pass. */
    this.lostHolds = new Set();
    /** Share of the answers of some ranks that are wrong bytes. */
    this.wrongShare = 0;
    this.isWrongRank = () => false;
    /** The orders whose answers are wrong. */
    this.wrongOp = undefined;
    this.wrongAnswers = 0;
    /** Passes that began with ranks on different maps. */
    this.mixedPasses = 0;
    this.changes = 0;
    this.timers = new Set();
    this.shiftDemand();
    this.timer = setInterval(() => this.tryPass(), shape.passMs);
  }

  async openRank(store, host, zone, service) {
    const at = this.ranks.length;
    const {sets, experts} = this.shape;
    const rank = {
      at,
      name: `i-r${at}`,
      counts: new Array(sets * experts).fill(0),
      streams: new Set(),
      map: {version: 0, lists: this.firstMap(at)},
      highest: 0,
      copying: undefined,
      prepared: undefined,
      armed: undefined,
      held: undefined,
      /** Answers since the wrong bytes began, and those of them that were wrong. */
      answers: 0,
      wrong: 0,
    };
    rank.server = http.createServer((req, res) => this.receive(rank, req, res));
    this.ranks.push(rank);
    await new Promise(resolve => rank.server.listen(0, host, resolve));
    rank.address = `${host}:${rank.server.address().port}`;
    store.write('servers', rank.name, {
      service,
      address: rank.address,
      zone,
      version: 'v1',
      slots: this.shape.slots,
      state: 'ready',
      'cold-remaining-ms': 0,
      sequence: 1,
      group: {name: 'g0', epoch: this.epoch, rank: at, state: 'open'},
      size: this.shape.ranks,
      stage: 'both',
      models: [{name: 'm', version: 1, adapters: []}],
    });
    return rank.address;
  }

  /** Under map 0, experts are dealt out in turn. */
  firstMap(at) {
    const {sets, experts, ranks} = this.shape;
    return Array.from({length: sets}, () =>
      Array.from({length: experts}, (_, expert) => expert).filter(
        expert => expert % ranks === at,
      ),
    );
  }

  /** Other experts are in demand. */
  shiftDemand() {
    const {sets, experts} = this.shape;
    this.demand = Array.from({length: sets}, () => {
      const order = Array.from({length: experts}, (_, expert) => expert);
      for (let at = experts - 1; at > 0; at -= 1) {
        const other = Math.floor(Math.random() * (at + 1));
        [order[at], order[other]] = [order[other], order[at]];
      }
      const demand = new Array(experts);
      order.forEach((expert, at) => (demand[expert] = (at + 1) ** -0.92));
      const sum = demand.reduce((a, b) => a + b, 0);
      return demand.map(one => one / sum);
    });
  }

  close() {
    clearInterval(this.timer);
    this.timers.forEach(timer => clearTimeout(timer));
    for (const {server} of this.ranks) {
      server.close();
      server.closeAllConnections();
    }
  }

  get isIdle() {
    return this.ranks.every(rank => rank.streams.size === 0);
  }

  tryPass() {
    const next = this.step + 1;
    if (this.isIdle || this.ranks.some(rank => rank.held === next)) {
      return;
    }
    this.step = next;
    for (const rank of this.ranks) {
      if (rank.armed?.step === next) {
        rank.map = rank.prepared;
        rank.prepared = undefined;
        rank.armed = undefined;
      }
    }
    const versions = new Set(this.ranks.map(rank => rank.map.version));
    if (versions.size > 1) {
      this.mixedPasses += 1;
      this.record.line(`pass ${next}: maps ${[...versions].join(', ')}`);
    }
    const version = this.ranks[0].map.version;
    if (version !== this.lastVersion) {
      this.lastVersion = version;
      this.changes += 1;
      this.record.line(`pass ${next} begins on map ${version}`);
    }
    for (const rank of this.ranks) {
      for (const stream of rank.streams) {
        this.workOn(rank, stream);
      }
    }
  }

  /** The first pass reads the prompt, each one makes an event of four tokens. */
  workOn(rank, stream) {
    const tokens = stream.event === 0 ? stream.prompt : 4;
    const {experts} = this.shape;
    this.demand.forEach((demand, set) =>
      demand.forEach((share, expert) => {
        rank.counts[set * experts + expert] += Math.floor(
          share * tokens * 8 * 2 * Math.random() + Math.random(),
        );
      }),
    );
    stream.event += 1;
    if (stream.event === 1) {
      stream.begin();
    }
    stream.res.write(
      `id: ${stream.event}\ndata: ${stream.id} ${stream.event}\n\n`,
    );
    if (stream.event >= stream.events) {
      rank.streams.delete(stream);
      stream.res.end();
    }
  }

  receive(rank, req, res) {
    const chunks = [];
    rank.answers += this.wrongShare > 0 ? 1 : 0;
    req.on('error', () => undefined);
    req.on('data', chunk => chunks.push(chunk));
    req.once('end', () => {
      const [path, query] = req.url.split('?', 2);
      if (path === '/api/report') {
        sendJson(res, OK, this.report(rank));
      } else if (path === '/api/picked') {
        sendJson(res, OK, this.picked(rank, query !== undefined));
      } else if (path === '/api/order') {
        this.takeOrder(rank, JSON.parse(String(Buffer.concat(chunks))), res);
      } else {
        this.takeRequest(rank, req, res);
      }
    });
  }

  report(rank) {
    return {
      stage: 'both',
      models: [{name: 'm', version: 1, adapters: []}],
      busy: rank.copying !== undefined,
      sequence: this.orders,
      waiting: 0,
      running: rank.streams.size,
      'cache-used': 0,
      'cache-total': 186666,
      handles: 0,
      pace: 1,
      group: {name: 'g0', epoch: this.epoch, rank: rank.at, state: 'open'},
      size: this.shape.ranks,
      step: this.step,
      map: rank.map.version,
      prepared: rank.prepared?.version ?? null,
      armed: rank.armed ?? null,
      held: rank.held ?? null,
    };
  }

  picked(rank, wantsLists) {
    const base = {step: this.step, epoch: this.epoch};
    return wantsLists
      ? {
          ...base,
          map: {version: rank.map.version, experts: rank.map.lists},
          prepared:
            rank.prepared === undefined
              ? null
              : {
                  version: rank.prepared.version,
                  experts: rank.prepared.lists,
                },
        }
      : {...base, counts: rank.counts};
  }

  takeOrder(rank, order, res) {
    this.orders += 1;
    const {op, version, step} = order;
    const what = `${op} ${version ?? ''}${step === undefined ? '' : ` pass ${step}`}`;
    if (this.isLate(rank, order)) {
      this.lateOrders += 1;
      const ms = 2_000 + Math.random() * this.lateSpanMs;
      this.record.line(`rank ${rank.at} leaves unanswered: ${what}`);
      const timer = setTimeout(() => {
        this.timers.delete(timer);
        const status = this.carryOut(rank, order);
        this.record.line(
          `rank ${rank.at} carries out late: ${what}: ${status}`,
        );
      }, ms);
      this.timers.add(timer);
      return;
    }
    const status = this.carryOut(rank, order);
    this.record.line(`rank ${rank.at} takes: ${what}: ${status}`);
    if (this.takeWrong(rank, order.op)) {
      this.record.line(`rank ${rank.at} spoils the answer to: ${what}`);
      res.socket?.end(WRONG_HEAD);
    } else {
      sendJson(res, status, {});
    }
  }

  isLate(rank, {op, step}) {
    const key = `${rank.at} ${step}`;
    if (!this.losesHolds || op !== 'hold' || this.lostHolds.has(key)) {
      return false;
    }
    this.lostHolds.add(key);
    return true;
  }

  /** From now on, some ranks spoil this share of their answers; 0: none. */
  beginWrong(share) {
    this.wrongShare = share;
    this.ranks.forEach(rank => Object.assign(rank, {answers: 0, wrong: 0}));
  }

  /** True if the rank spoils this answer: a share of all that it gives. */
  takeWrong(rank, op) {
    const isDue =
      this.isWrongRank(rank) &&
      rank.wrong + 1 <= rank.answers * this.wrongShare &&
      op === this.wrongOp;
    rank.wrong += isDue ? 1 : 0;
    this.wrongAnswers += isDue ? 1 : 0;
    return isDue;
  }

  carryOut(rank, {op, version, step, epoch, map}) {
    if (epoch !== undefined && epoch !== this.epoch) {
      return CONFLICT;
    }
    switch (op) {
      case 'prepare':
        return this.prepare(rank, version, map);
      case 'arm':
        if (rank.armed?.version === version && rank.armed.step === step) {
          return OK;
        }
        if (rank.prepared?.version !== version || step <= this.step) {
          return CONFLICT;
        }
        rank.armed = {version, step};
        return OK;
      case 'disarm':
        if (rank.map.version === version) {
          return CONFLICT;
        }
        if (rank.armed?.version === version) {
          rank.armed = undefined;
        }
        return OK;
      case 'hold':
        if (step <= this.step) {
          return CONFLICT;
        }
        if (rank.held !== undefined && rank.held !== step) {
          return CONFLICT;
        }
        rank.held = step;
        return OK;
      case 'go':
        if (rank.held === step) {
          rank.held = undefined;
        }
        return OK;
      default:
        return 400;
    }
  }

  prepare(rank, version, map) {
    const {copying, prepared} = rank;
    if (copying?.version === version || prepared?.version === version) {
      return OK;
    }
    if (version <= rank.highest || rank.armed !== undefined) {
      return CONFLICT;
    }
    const lists = map.map(set => set[rank.at]);
    const added = lists.map(
      (list, set) =>
        list.filter(expert => !rank.map.lists[set].includes(expert)).length,
    );
    if (Math.max(...added) > this.shape.spare) {
      return CONFLICT;
    }
    rank.highest = version;
    rank.prepared = undefined;
    const copy = {version, lists};
    rank.copying = copy;
    const ms = added.reduce((a, b) => a + b, 0) * this.shape.copyMs;
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      if (rank.copying === copy) {
        rank.copying = undefined;
        rank.prepared = copy;
      }
    }, ms);
    this.timers.add(timer);
    return BEGUN;
  }

  takeRequest(rank, req, res) {
    const id = String(req.headers[kit.ID]);
    if (req.headers[kit.EXPECTED] !== rank.name) {
      res.writeHead(421, {[kit.ID]: id}).end();
      return;
    }
    const [prompt, most] = String(
      req.headers['x-ferrycleat-token-counts'] ?? '800,80',
    )
      .split(',')
      .map(Number);
    const stream = {
      id,
      res,
      prompt,
      event: Number(req.headers['last-event-id'] ?? 0),
      events: Math.ceil(most / 4),
      begin: () =>
        res.writeHead(OK, {
          'content-type': 'text/event-stream',
          [kit.ID]: id,
          [kit.SIGNATURE]: `${rank.name}.${id}`,
          versions: '1',
        }),
    };
    if (stream.event > 0) {
      stream.begin();
    }
    rank.streams.add(stream);
    res.once('close', () => rank.streams.delete(stream));
  }
}

function sendJson(res, status, body) {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}

/** The group's service, as a desired state names it. */
function service(name, shape) {
  return {
    name,
    'health-path': '/health',
    'connection-limit': 348,
    protocol: 'h1',
    'transport-security': false,
    engine: {
      slots: shape.slots,
      'cache-tokens': 186666,
      'token-cache-bytes': 52704,
      'link-mbps': 180000,
      stride: 4,
      models: [{name: 'm'}],
      step_ms: 4.55,
      per_seq_ms: 1.3575,
      context_per_k: 0.02745,
      read_per_s: 61400,
      pairs_per_m: 0.525,
      chunk: 512,
      report_lag_ms: 200,
      loads_per_s: 0,
      loads_at_once: 8,
      delays: [],
      usual: {prompt: 835, answer: 97},
      sets: shape.sets,
      experts: shape.experts,
      places: shape.places,
      spare: shape.spare,
      expert_mb: (shape.copyMs * 180000) / 8000,
      expert_share: 0.85,
      form_ms: 600,
    },
  };
}

module.exports = {Group, service};
