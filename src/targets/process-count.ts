/**
 * The number of processes that may send to a target. A process that is cut off
 * stops to know the others, which go on sending, and peers may know more: the
 * largest number of the last minute counts. Takes the time as an argument.
 */
import type {ProcessCount} from './warm-up-limit';

const RETENTION_MS = 60_000;
/** Time after the start in which a process may not have discovered the others. */
const DISCOVERY_MS = 10_000;

export class ProcessCounter {
  private largest = 1;
  private largestAt = -Infinity;

  constructor(private readonly startedAt: number) {}

  /** Records a number of processes that this one or a peer knows now. */
  note(known: number, now: number): void {
    if (known >= this.largest || now - this.largestAt > RETENTION_MS) {
      this.largest = known;
      this.largestAt = now;
    }
  }

  count(now: number): ProcessCount {
    return {
      known: this.largest,
      isProvisional: now - this.startedAt < DISCOVERY_MS,
    };
  }
}
