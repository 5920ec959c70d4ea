/**
 * What bounds the connections of all servers of a process: the memory that callers
 * may occupy together.
 */
import type {Log} from '../observability/log';
import type {Metrics} from '../observability/metrics';
import {ClosureLog} from './closure-log';
import type {ConnectionLimits} from './connection-limits';
import * as heldBytes from './held-bytes';
import type {ServerGuard} from './server';

/** Servers of a process. */
export type ListenerName = 'callers' | 'ready' | 'rpc' | 'metrics';

export interface GuardOptions {
  readonly log: Log;
  readonly metrics: Metrics;
  /** Memory limit of the process in bytes; undefined: not stated. */
  readonly memoryBytes: number | undefined;
  readonly limits: ConnectionLimits;
}

export class ProcessGuard {
  readonly held: heldBytes.HeldBytes;
  private readonly closures: ClosureLog;

  constructor(private readonly options: GuardOptions) {
    const {log, metrics, memoryBytes} = options;
    this.held = new heldBytes.HeldBytes(heldBytes.boundOf(memoryBytes));
    this.closures = new ClosureLog(log, metrics);
    metrics.observe('held_bytes', () => this.held.bytes());
    metrics.observe('held_bytes_peak', () => this.held.peakBytes);
  }

  /** The guard of one server. */
  forServer(listener: ListenerName): ServerGuard {
    const {limits} = this.options;
    return {listener, limits, held: this.held, closures: this.closures};
  }

  close(): void {
    this.held.close();
  }
}
