/** Dependencies of the sharing of capacity. */
import type {Log} from '../observability/log';
import type {Metrics} from '../observability/metrics';
import type {PeerRanking} from '../peers/peer-ranking';
import type {RpcClient} from '../rpc/client';
import type {AllocationRules} from './allocate';
import type {PoolSource} from './types';

export interface SharedCapacityContext extends AllocationRules {
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly peers: PeerRanking;
  readonly source: PoolSource;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Includes this entry. */
  knownEntryCount(): number;
}
