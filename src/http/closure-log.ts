/** Logs and counts the connections that a process closes because of a limit. */
import type {Log} from '../observability/log';
import type {Metrics} from '../observability/metrics';
import type {CloseReason} from './connection-limits';

/** Minimum time between two log lines about the same reason. */
const LOG_INTERVAL_MS = 1_000;

interface Unlogged {
  loggedAt: number;
  count: number;
}

export class ClosureLog {
  private readonly byReason = new Map<CloseReason, Unlogged>();

  constructor(
    private readonly log: Log,
    private readonly metrics: Metrics,
  ) {}

  /** `listener`: which of the process's ports; `peer`: the caller's address. */
  note(listener: string, reason: CloseReason, peer: string): void {
    this.metrics.count('connections_closed_total', {listener, reason});
    const now = performance.now();
    const state = this.byReason.get(reason) ?? {loggedAt: -Infinity, count: 0};
    this.byReason.set(reason, state);
    state.count += 1;
    if (now - state.loggedAt >= LOG_INTERVAL_MS) {
      const {count} = state;
      this.log.event('connectionClosed', {listener, reason, peer, count});
      state.loggedAt = now;
      state.count = 0;
    }
  }
}
