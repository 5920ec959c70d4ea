/** Ports for the processes and servers of tests. */
import * as net from 'node:net';

const HOST = '127.0.0.1';
/**
 * Ports below the system's range for outgoing connections, each given out
 * once: a port that is let go of before its process listens could otherwise
 * go to a second process, or to a connection.
 */
const FIRST_PORT = 11_000;
const PORTS_PER_RANGE = 1_000;
const RANGE_COUNT = 21;
/** The range of this file of tests, once it has one. */
let range: Promise<PortRange> | undefined;
// Files of tests share a process, and each loads its modules anew. Benches have
// no hooks, and hold their range to their end.
if (typeof afterAll === 'function') {
  afterAll(async () => (await range)?.close());
}

/** Ports that nobody else gets. */
export async function freePorts(count: number): Promise<number[]> {
  range ??= PortRange.claim();
  return (await range).take(count);
}

/**
 * Ports that belong to one file of tests, which holds the first one of them to
 * its end. Two runs beside each other took the same ones: 3 of 86
 * failed for an address in use.
 */
class PortRange {
  private nextOffset = 1;

  private constructor(
    private readonly first: number,
    private readonly lock: net.Server,
  ) {}

  static async claim(): Promise<PortRange> {
    for (let at = 0; at < RANGE_COUNT; at += 1) {
      const first = FIRST_PORT + at * PORTS_PER_RANGE;
      const guard = await tryListen(first);
      if (guard !== undefined) {
        guard.unref();
        return new PortRange(first, guard);
      }
    }
    throw new RangeError(`all ${RANGE_COUNT} ranges of ports are taken`);
  }

  close(): void {
    this.lock.close();
  }

  async take(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
      const port = this.first + this.nextOffset;
      this.nextOffset = (this.nextOffset % (PORTS_PER_RANGE - 1)) + 1;
      const probe = await tryListen(port);
      if (probe !== undefined) {
        await new Promise(resolve => probe.close(resolve));
        ports.push(port);
      }
    }
    return ports;
  }
}

/** Undefined where the port is taken. */
function tryListen(port: number): Promise<net.Server | undefined> {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, HOST, () => resolve(server));
  });
}
