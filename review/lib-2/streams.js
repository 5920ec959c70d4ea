'use strict';
/** A server that answers with events, one every `eventMs`. */
const http = require('node:http');
const kit = require('./kit');

class StreamServer {
  constructor({name, service, slots, eventMs, record}) {
    Object.assign(this, {name, service, slots, eventMs, record});
    /** Streams that it works on, by request id. */
    this.open = new Set();
    this.server = http.createServer((req, res) => this.receive(req, res));
    this.server.keepAliveTimeout = 5_000;
  }

  async listen(store, host, zone) {
    await new Promise(resolve => this.server.listen(0, host, resolve));
    store.write('servers', this.name, {
      service: this.service,
      address: `${host}:${this.server.address().port}`,
      zone,
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      'cold-remaining-ms': 0,
      sequence: 1,
    });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  receive(req, res) {
    const id = String(req.headers[kit.ID]);
    req.on('error', () => undefined);
    req.resume();
    req.once('end', () => {
      if (req.headers[kit.EXPECTED] !== this.name) {
        res.writeHead(421, {[kit.ID]: id}).end();
      } else if (this.open.size >= this.slots) {
        res.writeHead(503, {[kit.ID]: id, [kit.NOT_RUN]: '1'}).end();
      } else {
        this.run(id, req, res);
      }
    });
  }

  /** The path names the number of events. */
  run(id, req, res) {
    const count = Number(req.url.split('/')[2]);
    let event = Number(req.headers['last-event-id'] ?? 0);
    this.open.add(id);
    this.record.line(`${this.name} runs ${id} from event ${event + 1}`);
    res.writeHead(200, {
      'content-type': 'text/event-stream',
      [kit.ID]: id,
      [kit.SIGNATURE]: `${this.name}.${id}`,
    });
    const timer = setInterval(() => {
      event += 1;
      res.write(`id: ${event}\ndata: ${id} ${event}\n\n`);
      if (event >= count) {
        clearInterval(timer);
        res.end();
      }
    }, this.eventMs);
    res.once('close', () => {
      clearInterval(timer);
      this.open.delete(id);
      this.record.line(
        `${this.name} ends ${id} at event ${event}: ` +
          (event >= count ? 'whole' : 'its channel was closed'),
      );
    });
  }
}

module.exports = {StreamServer};
