/**
 * What bounds the connections of all servers of a process: the memory that callers
 * may occupy together, and the descriptors that each server may take.
 */
import type {Log} from '../observability/log';
import type {Metrics} from '../observability/metrics';
import {ClosureLog} from './closure-log';
import type {ConnectionLimits} from './connection-limits';
import * as heldBytes from './held-bytes';
import type {ServerGuard} from './server';

/** Servers of a process; each has a share of its descriptors. */
export type ListenerName = 'callers' | 'ready' | 'rpc' | 'metrics';

/** The rest is for targets, the store and files. */
const DESCRIPTOR_SHARE: Readonly<Record<ListenerName, number>> = {
  callers: 0.5,
  rpc: 0.15,
  ready: 0.02,
  metrics: 0.02,
};
/** Share of the descriptors for connections to targets. */
const SENDS_SHARE = 0.2;
const MIN_CONNECTIONS = 8;

export interface GuardOptions {
  readonly log: Log;
  readonly metrics: Metrics;
  /** Memory limit of the process in bytes; undefined: not stated. */
  readonly memoryBytes: number | undefined;
  /** Limit on its descriptors; undefined: not stated. */
  readonly descriptors: number | undefined;
  readonly limits: ConnectionLimits;
}

export class ProcessGuard {
  readonly held: heldBytes.HeldBytes;
  /** Requests that targets may work on at once, a descriptor each. */
  readonly maxSends: number;
  private readonly closures: ClosureLog;

  constructor(private readonly options: GuardOptions) {
    const {log, metrics, memoryBytes, descriptors} = options;
    this.held = new heldBytes.HeldBytes(heldBytes.boundOf(memoryBytes));
    this.closures = new ClosureLog(log, metrics);
    this.maxSends = shareOf(descriptors, SENDS_SHARE);
    metrics.observe('held_bytes', () => this.held.bytes());
    metrics.observe('held_bytes_peak', () => this.held.peakBytes);
  }

  /** The guard of one server; `shares`: those that it has the descriptors of. */
  forServer(
    listener: ListenerName,
    shares: readonly ListenerName[] = [listener],
  ): ServerGuard {
    const {limits, descriptors} = this.options;
    const share = shares.reduce((sum, name) => sum + DESCRIPTOR_SHARE[name], 0);
    return {
      listener,
      limits: {
        ...limits,
        maxConnections: Math.min(
          limits.maxConnections,
          shareOf(descriptors, share),
        ),
      },
      held: this.held,
      closures: this.closures,
    };
  }

  close(): void {
    this.held.close();
  }
}

function shareOf(descriptors: number | undefined, share: number): number {
  return descriptors === undefined
    ? Infinity
    : Math.max(Math.floor(descriptors * share), MIN_CONNECTIONS);
}
