/** Ports for the processes and servers of tests. */
import * as net from 'node:net';

const HOST = '127.0.0.1';
/**
 * Ports below the system's range for outgoing connections, each given out
 * once: a port that is let go of before its process listens could otherwise
 * go to a second process, or to a connection.
 */
const FIRST_PORT = 11_000;
const PORTS_PER_WORKER = 1_000;
const WORKER = Number(process.env['JEST_WORKER_ID'] ?? 0) % 10;
let nextPort = 0;

/** Ports that nobody else gets. */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = FIRST_PORT + WORKER * PORTS_PER_WORKER + nextPort;
    nextPort = (nextPort + 1) % PORTS_PER_WORKER;
    if (!(await isTaken(port))) {
      ports.push(port);
    }
  }
  return ports;
}

function isTaken(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(true));
    server.listen(port, HOST, () => server.close(() => resolve(false)));
  });
}
