/** Dependencies of the views of groups. */
import type {LastContact} from '../peers/last-contact';
import type {RpcClient} from '../rpc/client';
import type {PassMeasurement} from './pass-observer';
import type {Target} from './types';

export interface GroupViewsContext {
  readonly rpc: RpcClient;
  readonly reach: LastContact;
  readonly hall: string;
  /** Port on which sidecars listen. */
  readonly rpcPort: number;
  /** Targets that are ranks of groups; the same array until one changes. */
  ranks(): readonly Target[];
  /** Those of them that may receive requests; the same array until one changes. */
  usableRanks(): readonly Target[];
  /** Known entries, including this one. */
  knownEntryCount(): number;
  /** A sidecar reported whether a rank's group was open at a monotonic time. */
  onGroupState(target: Target, isOpen: boolean, at: number): void;
  /** This entry's requests in flight to a lifetime of a target. */
  inFlight(lifetime: string): number;
  /** The passes of a target's group were measured. */
  onPasses(target: Target, measurement: PassMeasurement): void;
}
