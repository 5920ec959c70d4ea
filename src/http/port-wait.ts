/**
 * Binds servers to ports that another process may still hold: the one before it that
 * is stopping, or a connection that was given the port by the system.
 */
import type * as http from 'node:http';
import * as timers from 'node:timers/promises';
import type {Log} from '../observability/log';
import {splitAddress} from './address';

const RETRY_INTERVAL_MS = 100;
/** Longer than any grace period after which a predecessor is killed. */
const MAX_WAIT_MS = 60_000;
/** Errors that pass by themselves: the port, or the address, is not free yet. */
const TEMPORARY_CODES = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

export class PortWait {
  private readonly stop = new AbortController();

  constructor(
    private readonly log: Log,
    private readonly maxWaitMs = MAX_WAIT_MS,
  ) {}

  /**
   * Binds a server as soon as its port is free. Rejects with the system's error,
   * such as `EADDRINUSE`, after a minute, or once this wait is closed.
   */
  async bind(
    address: string,
    server: http.Server,
    maxWaitMs = this.maxWaitMs,
  ): Promise<http.Server> {
    const endsAt = performance.now() + maxWaitMs;
    let hasWaited = false;
    for (;;) {
      try {
        return await bindOnce(address, server);
      } catch (err) {
        const {code = ''} = err as NodeJS.ErrnoException;
        if (!TEMPORARY_CODES.has(code) || performance.now() >= endsAt) {
          throw err;
        }
        if (!hasWaited) {
          this.log.event('portHeld', {address, error: code});
          hasWaited = true;
        }
        await timers.setTimeout(RETRY_INTERVAL_MS);
        if (this.stop.signal.aborted) {
          throw err;
        }
      }
    }
  }

  /** Binds a server that the process can do without for as long as it takes. */
  bindInBackground(address: string, server: http.Server): void {
    this.bind(address, server, Infinity).catch((err: Error) => {
      if (!this.stop.signal.aborted) {
        this.log.event('settingRejected', {error: String(err)});
      }
    });
  }

  /** Ends the waits. */
  close(): void {
    this.stop.abort();
  }
}

/** Binds a server to an address. Rejects with the system's error. */
export async function bindOnce(
  address: string,
  server: http.Server,
): Promise<http.Server> {
  const {host, port} = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.removeListener('error', reject);
      resolve();
    });
  });
  return server;
}
