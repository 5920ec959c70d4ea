/** The entries that share pools with this one, as far as it knows. */
import type {PeerRanking} from '../peers/peer-ranking';
import type {KnownEntries} from './allocator';

/**
 * An entry that has had no contact since its start for less than this time
 * assumes that others are allocating.
 */
const FIRST_CONTACT_TIMEOUT_MS = 10_000;
/** Number of entries assumed before the first contact. */
const ASSUMED_ENTRIES = 16;
/**
 * Before the first contact the equal part is smaller: if as many entries join as
 * there are already, whole ones would double what all may use.
 */
const PARTS_PER_ENTRY = 1.25;

export class EntryContacts {
  private readonly startedAt = performance.now();
  private hasContact = false;

  constructor(
    private readonly peers: PeerRanking,
    private readonly knownEntryCount: () => number,
  ) {}

  /** Another entry has answered or called. */
  noteContact(): void {
    this.hasContact = true;
  }

  known(now: number): KnownEntries {
    const {ownAddress, directory} = this.peers;
    const addresses = [ownAddress, ...directory.known];
    const isIsolated =
      !this.hasContact &&
      !directory.isEmpty &&
      now - this.startedAt < FIRST_CONTACT_TIMEOUT_MS;
    const count = Math.max(
      addresses.length,
      this.knownEntryCount(),
      isIsolated ? ASSUMED_ENTRIES : 1,
    );
    const parts = isIsolated ? count * PARTS_PER_ENTRY : count;
    return {addresses, count, parts, isIsolated};
  }
}
