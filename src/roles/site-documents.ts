/** The kinds of objects in a site's store, and how their documents are parsed. */
import type {Engine} from '../experts/types';
import type {Target} from '../forwarding/types';
import type {Result} from '../result';
import type {Snapshot} from '../routes/types';

/** Why a document is invalid; the detail names the field. */
export interface DocumentError {
  readonly detail: string;
}

export interface SiteDocuments {
  readonly configurationKind: string;
  readonly configurationKey: string;
  readonly targetsKind: string;
  /** Kind of the objects that name drained halls. */
  readonly emptiedHallsKind: string;
  /** Kind of the objects that record the elected planners. */
  readonly seatKind: string;
  /** Kind of the objects that keep what crashes targets. */
  readonly quarantineKind: string;
  /** Path of an entry's readiness check. */
  readonly readyPath: string;
  makeEngine(address: string): Engine;
  readSnapshot(document: unknown): Result<Snapshot, DocumentError>;
  /** Fails if the document names no target. */
  readTarget(
    id: string,
    revision: number,
    document: unknown,
  ): Result<Target, DocumentError>;
}
