'use strict';
/**
 * Stand-ins of plain servers and of clients, as PROTOCOL.md describes them.
 * Servers keep their entries in the store and record what they ran.
 */
const http = require('node:http');
const net = require('node:net');

const ATTEMPT = 'X-Ferrycleat-Attempt-Identifier';
const SIGNATURE = 'X-Ferrycleat-Response-Signature';
const NOT_EXECUTED = 'X-Ferrycleat-Not-Executed';
const BEAT_MS = 1_200;

/** A server of a service without an engine. */
class Server {
  /**
   * `answer(req)`: resolves with the body of the answer. `stream`: it sends
   * `events` events instead, one each `eventMs`.
   */
  constructor(options) {
    Object.assign(this, options);
    /** What reached it: attempt id, time, and whether it was run. */
    this.arrivals = [];
    this.state = 'ready';
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
      state: this.state,
      'cold-remaining-ms': 0,
      sequence: this.sequence,
    });
  }

  /** Says `draining`; the store's confirmation is at once. */
  drain() {
    this.state = 'draining';
    this.write();
    return performance.now();
  }

  /** Ends: its entry goes, and so do its connections. */
  end() {
    clearInterval(this.beat);
    this.store.remove('servers', this.id);
    this.http.close();
    this.http.closeAllConnections();
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
    if (this.stream !== undefined) {
      this.sendEvents(id, res, arrival);
      return;
    }
    const body = await this.answer(req);
    arrival.hasEnded = !res.destroyed;
    res.writeHead(200, {
      [ATTEMPT]: id,
      [SIGNATURE]: `sig-${id}`,
      'Content-Type': 'application/octet-stream',
      'Content-Length': body.length,
      'Keep-Alive': 'timeout=5',
      ...(this.state === 'ready' ? {} : {Connection: 'close'}),
    });
    res.end(body);
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

/**
 * Sends one request on a channel of its own, and reads the answer at most at
 * `bytesPerMs`. Resolves with how it ended.
 */
function request({
  address,
  method,
  path,
  host,
  id,
  deadlineMs,
  body = '',
  key,
  bytesPerMs = Infinity,
  onHead = () => undefined,
}) {
  const [ip, port] = address.split(':');
  return new Promise(resolve => {
    const startedAt = performance.now();
    const result = {id, status: 0, expected: undefined, received: 0, end: ''};
    const socket = net.connect(Number(port), ip);
    let head = Buffer.alloc(0);
    let timer;
    const settle = end => {
      if (result.end === '') {
        clearTimeout(limit);
        clearTimeout(timer);
        result.end = end;
        result.ms = performance.now() - startedAt;
        socket.destroy();
        resolve(result);
      }
    };
    const limit = setTimeout(() => settle('deadline'), deadlineMs);
    socket.once('connect', () => {
      const text = Buffer.from(body);
      const lines = [
        `${method} ${path} HTTP/1.1`,
        `Host: ${host}`,
        `${ATTEMPT}: ${id}`,
        `X-Ferrycleat-Deadline-Milliseconds: ${deadlineMs}`,
        ...(key === undefined ? [] : [`Authorization: Bearer ${key}`]),
        ...(method === 'GET' ? [] : [`Content-Length: ${text.length}`]),
      ];
      socket.write(`${lines.join('\r\n')}\r\n\r\n`);
      socket.write(text);
    });
    let readSince = startedAt;
    socket.on('data', chunk => {
      if (result.expected === undefined) {
        head = Buffer.concat([head, chunk]);
        const at = head.indexOf('\r\n\r\n');
        if (at < 0) {
          return;
        }
        const text = head.subarray(0, at).toString('latin1');
        result.status = Number(text.split(' ')[1]);
        result.expected = Number(/content-length: (\d+)/i.exec(text)?.[1]);
        result.signature = /response-signature: (\S+)/i.exec(text)?.[1];
        result.received = head.length - at - 4;
        readSince = performance.now();
        onHead(result);
      } else {
        result.received += chunk.length;
      }
      if (result.received >= result.expected) {
        settle('whole');
        return;
      }
      const aheadMs =
        result.received / bytesPerMs - (performance.now() - readSince);
      if (aheadMs > 1) {
        socket.pause();
        timer = setTimeout(() => socket.resume(), aheadMs);
      }
    });
    socket.on('error', err => settle(`${err.code}`));
    socket.on('end', () => settle('closed'));
    socket.on('close', () => settle('closed'));
  });
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

module.exports = {Server, request, isReady, ATTEMPT};
