/**
 * Checks whether a target whose connection was lost has crashed: a closed port
 * refuses a new connection (RFC 9293, section 3.10.7.1). Sends no data.
 */
import * as net from 'node:net';

/** A dying process may close its connections before its listening socket. */
const CHECK_DELAY_MS = 20;
const CONNECT_TIMEOUT_MS = 400;

export async function hasCrashed(address: string): Promise<boolean> {
  await new Promise(resolve => setTimeout(resolve, CHECK_DELAY_MS));
  const colon = address.lastIndexOf(':');
  return new Promise(resolve => {
    const socket = net.connect({
      host: address.slice(0, colon),
      port: Number(address.slice(colon + 1)),
    });
    const finish = (isRefused: boolean) => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => finish(false));
    socket.once('connect', () => finish(false));
    socket.once('error', (err: NodeJS.ErrnoException) =>
      finish(err.code === 'ECONNREFUSED'),
    );
  });
}
