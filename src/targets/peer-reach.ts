/**
 * The part of all processes that this one has been in contact with lately. Where
 * processes can't reach each other, each part of them has an issuer of permits;
 * together these keep to a rate if each issues its part of it. Takes the time as
 * an argument.
 */
import * as bounded from '../bounded';
import {MIN_ASSUMED_PROCESSES} from './warm-up-limit';

/**
 * Covers a lost heartbeat's successor; below the time after which those that no
 * longer reach an issuer have a new one, a call and its handover.
 */
const CONTACT_TTL_MS = 1_800;
const MAX_PEERS = 1_024;

export class PeerReach {
  /** Monotonic time of the last contact by address, oldest first. */
  private readonly contacts = new Map<string, number>();

  /** `processes`: the number of processes, this one included. */
  constructor(private readonly processes: (now: number) => number) {}

  /** The peer has called, or answered. */
  note(address: string, now: number): void {
    this.contacts.delete(address);
    this.contacts.set(address, now);
    bounded.dropOldest(this.contacts, MAX_PEERS);
  }

  /** From 0 to 1; 1 if all processes were in contact with this one. */
  share(now: number): number {
    const reached = [...this.contacts.values()].filter(
      at => now - at < CONTACT_TTL_MS,
    ).length;
    const processes = this.processes(now);
    // One without contact since its start may know few of the others.
    const isAlone = reached === 0 && processes > 1;
    const assumed = isAlone
      ? Math.max(processes, MIN_ASSUMED_PROCESSES)
      : processes;
    return Math.min((1 + reached) / Math.max(assumed, 1), 1);
  }
}
