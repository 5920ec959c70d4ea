/**
 * An entry's use of a pool. What takes time to compute is computed when it is
 * first read: each start asks for the use, and most decisions follow from the
 * lease alone. To be read in the tick in which it was made.
 */
import type {KnownEntries} from './allocator';
import type {EntryContacts} from './entry-contacts';
import type {PoolUse} from './lease';
import type {PoolDemand, PoolSource} from './types';

export class CurrentUse implements PoolUse {
  private knownLines: PoolDemand | undefined;
  private knownEntries: KnownEntries | undefined;

  constructor(
    private readonly pool: string,
    readonly capacity: number,
    private readonly source: Pick<PoolSource, 'demandOf'>,
    private readonly contacts: Pick<EntryContacts, 'known'>,
    private readonly now: number,
  ) {}

  get entries(): number {
    return this.known.count;
  }

  get parts(): number {
    return this.known.parts;
  }

  get lines(): PoolDemand {
    this.knownLines ??= this.source.demandOf(this.pool);
    return this.knownLines;
  }

  private get known(): KnownEntries {
    this.knownEntries ??= this.contacts.known(this.now);
    return this.knownEntries;
  }
}
