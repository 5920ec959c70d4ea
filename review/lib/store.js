'use strict';
/**
 * Stand-in of the platform's metadata store: objects by kind and name,
 * conditional writes, lists and watches, as PROTOCOL.md describes them.
 */
const http = require('node:http');

const PREFIX = '/api/objects/';
const ANSWER_MS = 4;

class Store {
  constructor() {
    this.revision = 0;
    this.kinds = new Map();
    this.changes = [];
    this.waiting = new Set();
    this.servers = [];
  }

  async open(host) {
    const server = http.createServer((req, res) => this.handle(req, res));
    server.keepAliveTimeout = 60_000;
    this.servers.push(server);
    await new Promise(resolve => server.listen(0, host, resolve));
    return `${host}:${server.address().port}`;
  }

  objects(kind) {
    if (!this.kinds.has(kind)) {
      this.kinds.set(kind, new Map());
    }
    return this.kinds.get(kind);
  }

  /** Writes an object; one that doesn't change makes no revision. */
  write(kind, name, specification) {
    const before = this.objects(kind).get(name);
    const isSame =
      before !== undefined &&
      JSON.stringify(before.specification) === JSON.stringify(specification);
    if (isSame) {
      return before;
    }
    this.revision += 1;
    const object = {
      metadata: {
        name,
        revision: this.revision,
        made: before?.metadata.made ?? this.revision,
        finalizers: [],
        deleting: false,
      },
      specification,
      status: null,
    };
    this.objects(kind).set(name, object);
    this.note(kind, object, false);
    return object;
  }

  remove(kind, name) {
    const object = this.objects(kind).get(name);
    if (object !== undefined) {
      this.revision += 1;
      this.objects(kind).delete(name);
      this.note(kind, object, true);
    }
  }

  note(kind, object, gone) {
    this.changes.push({kind, revision: this.revision, object, gone});
    [...this.waiting].forEach(one => one());
  }

  async handle(req, res) {
    const chunks = [];
    for await (const chunk of req) {
      chunks.push(chunk);
    }
    await new Promise(resolve => setTimeout(resolve, ANSWER_MS));
    const url = new URL(req.url, 'http://store');
    const [kind, name] = url.pathname
      .slice(PREFIX.length)
      .split('/')
      .map(decodeURIComponent);
    if (req.method === 'GET' && url.searchParams.has('watch')) {
      this.watch(kind, url.searchParams, res);
    } else if (req.method === 'GET' && name === undefined) {
      const items = [...this.objects(kind).values()];
      send(res, 200, {items, more: false, at: this.revision});
    } else if (req.method === 'GET') {
      const object = this.objects(kind).get(name);
      send(res, object === undefined ? 404 : 200, object ?? {});
    } else {
      const text = Buffer.concat(chunks).toString();
      this.put(kind, name, JSON.parse(text), res);
    }
  }

  put(kind, name, body, res) {
    const key = name ?? body.metadata.name;
    const current = this.objects(kind).get(key);
    const expected = body.metadata.revision;
    if (name !== undefined && current === undefined) {
      send(res, 404, {});
      return;
    }
    const isStale =
      name === undefined
        ? current !== undefined
        : expected !== undefined && expected !== current.metadata.revision;
    if (isStale) {
      send(res, 409, current);
      return;
    }
    send(res, 200, this.write(kind, key, body.specification));
  }

  watch(kind, query, res) {
    const after = Number(query.get('watch'));
    const pending = () =>
      this.changes.filter(one => one.kind === kind && one.revision > after);
    const answer = () => {
      clearTimeout(timer);
      this.waiting.delete(check);
      const events = pending().map(({object, gone}) => ({object, gone}));
      send(res, 200, {events, at: this.revision});
    };
    const check = () => {
      if (pending().length > 0) {
        answer();
      }
    };
    const timer = setTimeout(answer, Number(query.get('wait-ms')));
    res.once('close', () => {
      clearTimeout(timer);
      this.waiting.delete(check);
    });
    this.waiting.add(check);
    check();
  }

  close() {
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }
}

function send(res, status, document) {
  const body = JSON.stringify(document);
  res.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(body),
  });
  res.end(body);
}

module.exports = {Store, send};
