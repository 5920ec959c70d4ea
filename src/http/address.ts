/**
 * Addresses of processes: an IP address and a port. Host names are not
 * accepted.
 */
import * as net from 'node:net';
import * as v from 'valibot';

const MAX_PORT = 65535;

/** True for `127.0.0.1:8080` and `[::1]:8080`, false for a host name. */
export function isAddress(text: string): boolean {
  const split = splitAddress(text);
  return (
    net.isIP(split.host) !== 0 &&
    Number.isInteger(split.port) &&
    split.port >= 0 &&
    split.port <= MAX_PORT
  );
}

/** Host and port of an address; the port is NaN if missing or malformed. */
export function splitAddress(text: string): {host: string; port: number} {
  const colon = text.lastIndexOf(':');
  const host = text.slice(0, Math.max(colon, 0)).replace(/^\[|\]$/g, '');
  const digits = text.slice(colon + 1);
  const port = colon > 0 && /^\d{1,5}$/.test(digits) ? Number(digits) : NaN;
  return {host, port};
}

/** Joins host and port; IPv6 hosts are bracketed. */
export function joinAddress(host: string, port: number): string {
  return net.isIPv6(host) ? `[${host}]:${port}` : `${host}:${port}`;
}

export const addressSchema = v.pipe(
  v.string(),
  v.check(isAddress, 'an IP address with a port, such as 127.0.0.1:8080'),
);
