'use strict';
/**
 * Stand-in of servers without an engine, as PROTOCOL.md describes them. They keep
 * their entries in the store and record what they ran.
 */
const http = require('node:http');

const ATTEMPT = 'X-Ferrycleat-Attempt-Identifier';
const SIGNATURE = 'X-Ferrycleat-Response-Signature';
const NOT_EXECUTED = 'X-Ferrycleat-Not-Executed';
const BEAT_MS = 1_200;

/** A server of a service without an engine. */
class Server {
  /** `stream`: it answers with `events` events, one each `eventMs`. */
  constructor(options) {
    Object.assign(this, options);
    /** What reached it: attempt id, time, and whether it was run. */
    this.arrivals = [];
    this.sequence = 1;
    this.http = http.createServer((req, res) => this.handle(req, res));
    this.http.keepAliveTimeout = 5_000;
  }

  async open() {
    await new Promise(resolve =>
      this.http.listen(this.port, this.host, resolve),
    );
    this.write();
    this.beat = setInterval(() => {
      this.sequence += 1;
    }, BEAT_MS);
  }

  write() {
    this.store.write('servers', this.id, {
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: 6,
      state: 'ready',
      'cold-remaining-ms': 0,
      sequence: this.sequence,
    });
  }

  async handle(req, res) {
    const id = req.headers[ATTEMPT.toLowerCase()] ?? '';
    const isMeant = req.headers['x-ferrycleat-expected-instance'] === this.id;
    const at = performance.now();
    const chunks = [];
    for await (const chunk of req) {
      chunks.push(chunk);
    }
    if (!isMeant) {
      res.writeHead(421, {[ATTEMPT]: id, [NOT_EXECUTED]: '1'});
      res.end();
      return;
    }
    const arrival = {id, at, hasEnded: false};
    this.arrivals.push(arrival);
    this.sendEvents(id, res, arrival);
  }

  sendEvents(id, res, arrival) {
    const {events, eventMs} = this.stream;
    let sent = 0;
    res.writeHead(200, {
      [ATTEMPT]: id,
      [SIGNATURE]: `sig-${id}`,
      'Content-Type': 'text/event-stream',
      'Keep-Alive': 'timeout=5',
    });
    const timer = setInterval(() => {
      sent += 1;
      res.write(`id: ${sent}\ndata: ${'x'.repeat(50)}\n\n`);
      if (sent === events) {
        arrival.hasEnded = true;
        clearInterval(timer);
        res.end();
      }
    }, eventMs);
    res.once('close', () => clearInterval(timer));
  }
}

/** Asks whether an entry is ready, as the platform does each second. */
function isReady(address) {
  return new Promise(resolve => {
    const req = http.get(
      `http://${address}/api/readiness`,
      {agent: false, timeout: 900},
      res => {
        res.resume();
        resolve(res.statusCode === 200);
      },
    );
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve(false));
  });
}

module.exports = {Server, isReady, ATTEMPT};
