/**
 * Requests that wait for permits to send to targets that have all named limits,
 * by service: the more urgent ones go first, and of those the earlier one. Pure.
 */

/** A request's place, once it waits. */
interface WaitingRequest {
  readonly priority: number;
  readonly sequence: number;
}

export class PermitQueues {
  private readonly queues = new Map<string, Set<WaitingRequest>>();
  private lastSequence = 0;

  /** A request of a service; it doesn't wait yet. 0 is the most urgent. */
  positionFor(service: string, priority: number): QueuePosition {
    return new QueuePosition(this, service, priority);
  }

  /** @internal */
  join(service: string, priority: number): WaitingRequest {
    this.lastSequence += 1;
    const waiting = {priority, sequence: this.lastSequence};
    const line = this.queues.get(service) ?? new Set();
    this.queues.set(service, line.add(waiting));
    return waiting;
  }

  /** @internal */
  leave(service: string, waiting: WaitingRequest): void {
    const line = this.queues.get(service);
    line?.delete(waiting);
    if (line?.size === 0) {
      this.queues.delete(service);
    }
  }

  /** Those of a service that go before one that would wait so. */
  countAhead(service: string, own: WaitingRequest): number {
    const line = this.queues.get(service);
    return line === undefined
      ? 0
      : [...line].filter(other => goesBefore(other, own)).length;
  }
}

/** Where one request stands. */
export class QueuePosition {
  private waiting: WaitingRequest | undefined;

  constructor(
    private readonly queues: PermitQueues,
    private readonly service: string,
    private readonly priority: number,
  ) {}

  /** Requests that go before this one. */
  get aheadCount(): number {
    const own = this.waiting ?? {priority: this.priority, sequence: Infinity};
    return this.queues.countAhead(this.service, own);
  }

  /** Waits from now on. */
  join(): void {
    this.waiting ??= this.queues.join(this.service, this.priority);
  }

  /** Waits no more. */
  leave(): void {
    if (this.waiting !== undefined) {
      this.queues.leave(this.service, this.waiting);
      this.waiting = undefined;
    }
  }
}

function goesBefore(other: WaitingRequest, own: WaitingRequest): boolean {
  return (
    other.priority < own.priority ||
    (other.priority === own.priority && other.sequence < own.sequence)
  );
}
