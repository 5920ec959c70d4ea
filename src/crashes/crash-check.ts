/**
 * Whether a target has crashed whose connection was lost: nothing listens at its
 * address then. A connection is opened and closed again, and nothing sent. Source:
 * RFC 9293, section 3.10.7.1: a reset answers what comes to a closed port.
 */
import * as net from 'node:net';

/** Time until the check: a process that dies closes its connections first. */
const CHECK_DELAY_MS = 20;
/** Longest wait for an answer, in milliseconds. */
const CONNECT_TIMEOUT_MS = 400;

export async function hasCrashed(address: string): Promise<boolean> {
  await new Promise(resolve => setTimeout(resolve, CHECK_DELAY_MS));
  const colon = address.lastIndexOf(':');
  return new Promise(resolve => {
    const socket = net.connect({
      host: address.slice(0, colon),
      port: Number(address.slice(colon + 1)),
    });
    const end = (isRefused: boolean) => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => end(false));
    socket.once('connect', () => end(false));
    socket.once('error', (err: NodeJS.ErrnoException) =>
      end(err.code === 'ECONNREFUSED'),
    );
  });
}
