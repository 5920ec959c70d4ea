/**
 * Requests that wait for permits to send to targets that have all named limits,
 * by service: the more urgent ones go first, and of those the earlier one. Pure.
 */

/** A request's place, once it waits. */
interface Waiting {
  readonly priority: number;
  readonly since: number;
}

export class PermitLines {
  private readonly lines = new Map<string, Set<Waiting>>();
  private joined = 0;

  /** A request of a service; it doesn't wait yet. 0 is the most urgent. */
  placeFor(service: string, priority: number): Place {
    return new Place(this, service, priority);
  }

  /** @internal */
  join(service: string, priority: number): Waiting {
    this.joined += 1;
    const waiting = {priority, since: this.joined};
    const line = this.lines.get(service) ?? new Set();
    this.lines.set(service, line.add(waiting));
    return waiting;
  }

  /** @internal */
  leave(service: string, waiting: Waiting): void {
    const line = this.lines.get(service);
    line?.delete(waiting);
    if (line?.size === 0) {
      this.lines.delete(service);
    }
  }

  /** Those of a service that go before one that would wait so. */
  countAhead(service: string, own: Waiting): number {
    const line = this.lines.get(service);
    return line === undefined
      ? 0
      : [...line].filter(other => goesBefore(other, own)).length;
  }
}

/** Where one request stands. */
export class Place {
  private waiting: Waiting | undefined;

  constructor(
    private readonly lines: PermitLines,
    private readonly service: string,
    private readonly priority: number,
  ) {}

  /** Requests that go before this one. */
  get ahead(): number {
    const own = this.waiting ?? {priority: this.priority, since: Infinity};
    return this.lines.countAhead(this.service, own);
  }

  /** Waits from now on. */
  join(): void {
    this.waiting ??= this.lines.join(this.service, this.priority);
  }

  /** Waits no more. */
  leave(): void {
    if (this.waiting !== undefined) {
      this.lines.leave(this.service, this.waiting);
      this.waiting = undefined;
    }
  }
}

function goesBefore(other: Waiting, own: Waiting): boolean {
  return (
    other.priority < own.priority ||
    (other.priority === own.priority && other.since < own.since)
  );
}
