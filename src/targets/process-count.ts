/**
 * The number of processes that may send to a target. A process that is cut off
 * stops to know the others, which go on sending, and peers may know more: the
 * largest number that was known lately, here or by a peer, counts. Takes the time
 * as an argument.
 */
import type {ProcessesMessage} from './limit-app';
import type {ProcessCount} from './warm-up-limit';

/** Longer than targets are cold and processes are usually cut off. */
const RETENTION_MS = 300_000;
/** Time after the start in which a process may not have discovered the others. */
const DISCOVERY_MS = 10_000;

export class ProcessCounter {
  private largest = 1;
  /** Monotonic time at which a process last knew that many. */
  private largestAt = -Infinity;

  /** `known`: processes known now, including this one. */
  constructor(
    private readonly known: () => number,
    private readonly startedAt: number,
  ) {}

  /** A process knew so many processes, itself included, at `at`. */
  private note(known: number, at: number, now: number): void {
    const isOutdated = now - this.largestAt > RETENTION_MS;
    if (known > this.largest || isOutdated) {
      this.largest = known;
      this.largestAt = at;
    } else if (known === this.largest) {
      this.largestAt = Math.max(this.largestAt, at);
    }
  }

  count(now: number): ProcessCount {
    this.note(this.known(), now, now);
    return {
      known: this.largest,
      isProvisional: now - this.startedAt < DISCOVERY_MS,
    };
  }

  noteMessage(message: ProcessesMessage | undefined, now: number): void {
    if (message !== undefined && message.ageMs < RETENTION_MS) {
      this.note(message.count, now - message.ageMs, now);
    }
  }

  toMessage(now: number): ProcessesMessage {
    const {known} = this.count(now);
    return {count: known, ageMs: Math.max(now - this.largestAt, 0)};
  }
}
