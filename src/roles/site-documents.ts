/** What a site's store holds and means; decoded outside the core. */
import type {Engine} from '../experts/types';
import type {Target} from '../forwarding/types';
import type {Result} from '../result';
import type {Snapshot} from '../routes/types';

/** Why a document can't be used; the detail names the field. */
export interface DocumentError {
  readonly detail: string;
}

export interface SiteDocuments {
  readonly configurationKind: string;
  readonly configurationKey: string;
  readonly targetsKind: string;
  /** Kind of the objects that name halls which the operator has emptied. */
  readonly emptiedHallsKind: string;
  /** Kind of the objects that hold planners' seats. */
  readonly seatKind: string;
  /** Path at which an entry is asked whether it is ready. */
  readonly readyPath: string;
  makeEngine(address: string): Engine;
  readSnapshot(document: unknown): Result<Snapshot, DocumentError>;
  /** Fails where the entry names no target. */
  readTarget(
    id: string,
    revision: number,
    document: unknown,
  ): Result<Target, DocumentError>;
}
