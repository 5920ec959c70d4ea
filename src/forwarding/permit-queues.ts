/**
 * Queues of requests that wait for permits to send to rate-limited targets, by
 * service. Ordered by priority, then by arrival. Pure.
 */

interface WaitingRequest {
  readonly priority: number;
  readonly sequence: number;
}

export class PermitQueues {
  private readonly queues = new Map<string, Set<WaitingRequest>>();
  private lastSequence = 0;

  /** Position of a request that is not queued yet. 0 is the highest priority. */
  positionFor(service: string, priority: number): QueuePosition {
    return new QueuePosition(this, service, priority);
  }

  /** @internal */
  join(service: string, priority: number): WaitingRequest {
    this.lastSequence += 1;
    const waiting = {priority, sequence: this.lastSequence};
    const queue = this.queues.get(service) ?? new Set();
    this.queues.set(service, queue.add(waiting));
    return waiting;
  }

  /** @internal */
  leave(service: string, waiting: WaitingRequest): void {
    const queue = this.queues.get(service);
    queue?.delete(waiting);
    if (queue?.size === 0) {
      this.queues.delete(service);
    }
  }

  /** Queued requests of a service that precede `own`. */
  countAhead(service: string, own: WaitingRequest): number {
    const queue = this.queues.get(service);
    return queue === undefined
      ? 0
      : [...queue].filter(other => precedes(other, own)).length;
  }
}

/** Position of one request in the queue of its service. */
export class QueuePosition {
  private waiting: WaitingRequest | undefined;

  constructor(
    private readonly queues: PermitQueues,
    private readonly service: string,
    private readonly priority: number,
  ) {}

  /** Queued requests that precede this one. */
  get aheadCount(): number {
    const own = this.waiting ?? {priority: this.priority, sequence: Infinity};
    return this.queues.countAhead(this.service, own);
  }

  join(): void {
    this.waiting ??= this.queues.join(this.service, this.priority);
  }

  leave(): void {
    if (this.waiting !== undefined) {
      this.queues.leave(this.service, this.waiting);
      this.waiting = undefined;
    }
  }
}

function precedes(other: WaitingRequest, own: WaitingRequest): boolean {
  return (
    other.priority < own.priority ||
    (other.priority === own.priority && other.sequence < own.sequence)
  );
}
