'use strict';
/** A proxy of a server whose open channels may go silent while new ones work. */
const net = require('node:net');

class SilentProxy {
  constructor(target) {
    this.target = target;
    this.channels = new Set();
    this.server = net.createServer(socket => this.accept(socket));
  }

  async open() {
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    for (const {near, far} of this.channels) {
      near.destroy();
      far.destroy();
    }
  }

  /** Channels whose last request was one to a path that matches go silent for good. */
  silence(pattern) {
    let count = 0;
    for (const channel of this.channels) {
      if (!channel.isSilent && pattern.test(channel.path)) {
        channel.isSilent = true;
        count += 1;
      }
    }
    return count;
  }

  accept(near) {
    const [host, port] = this.target.split(':');
    const far = net.connect(Number(port), host);
    const channel = {near, far, path: '', isSilent: false};
    this.channels.add(channel);
    near.on('data', data => {
      channel.path = /^[A-Z]+ (\S+) /.exec(String(data))?.[1] ?? channel.path;
      if (!channel.isSilent) {
        far.write(data);
      }
    });
    far.on('data', data => {
      if (!channel.isSilent) {
        near.write(data);
      }
    });
    const end = other => () => {
      if (!channel.isSilent) {
        other.destroy();
        this.channels.delete(channel);
      }
    };
    near.on('error', () => undefined);
    far.on('error', () => undefined);
    near.on('close', end(far));
    far.on('close', end(near));
  }
}

module.exports = {SilentProxy};
