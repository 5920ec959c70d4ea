/**
 * Allocates loopback ports to the processes and servers of tests. Test files that
 * run in parallel get disjoint ranges.
 */
import * as net from 'node:net';

const HOST = '127.0.0.1';
// The ranges lie below the ephemeral ports: an outgoing connection can't take a port
// between its allocation and the start of its process.
const FIRST_PORT = 11_000;
const PORTS_PER_RANGE = 1_000;
const RANGE_COUNT = 21;
let range: Promise<PortRange> | undefined;
// Jest loads this module once per test file in a shared process, so each file has to
// release its range. Benches run without Jest and hold theirs until they end.
if (typeof afterAll === 'function') {
  afterAll(async () => (await range)?.close());
}

/**
 * Returns free ports; each is reused only once the whole range was allocated.
 * Throws RangeError if all ranges are taken.
 */
export async function freePorts(count: number): Promise<number[]> {
  range ??= PortRange.claim();
  return (await range).take(count);
}

/**
 * A range of ports that one test file owns. Listening on its first port reserves it
 * against other processes.
 */
class PortRange {
  private nextOffset = 1;

  private constructor(
    private readonly first: number,
    private readonly lock: net.Server,
  ) {}

  static async claim(): Promise<PortRange> {
    for (let index = 0; index < RANGE_COUNT; index += 1) {
      const first = FIRST_PORT + index * PORTS_PER_RANGE;
      const lock = await tryListen(first);
      if (lock !== undefined) {
        lock.unref();
        return new PortRange(first, lock);
      }
    }
    throw new RangeError(`all ${RANGE_COUNT} port ranges are taken`);
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

/** Resolves with undefined if the port can't be listened on. */
function tryListen(port: number): Promise<net.Server | undefined> {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, HOST, () => resolve(server));
  });
}
