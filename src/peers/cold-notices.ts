/**
 * Tells the peers that do not watch the store of targets that have turned cold:
 * until their next poll they would send such a target too much.
 */
import * as v from 'valibot';
import * as objects from '../platform/types';
import type {RpcClient} from '../rpc/client';
import type {RpcServer} from '../rpc/server';
import * as rpc from '../rpc/types';
import type {PeerDirectory} from './peer-directory';
import * as election from './watcher-election';

/** A call that takes longer is of no more use than the peer's next poll. */
const ANSWER_TIMEOUT_MS = 250;
const MAX_ITEMS = 4_096;

/** Passes the store's objects of targets that have turned cold. */
const notifyCold = rpc.method(
  'peers.cold',
  v.object({
    /** Address at which the caller takes calls. */
    from: v.string(),
    items: v.pipe(v.array(objects.objectSchema), v.maxLength(MAX_ITEMS)),
  }),
  v.object({}),
);

export class ColdNotices {
  constructor(
    private readonly rpcClient: Pick<RpcClient, 'call'>,
    private readonly ownAddress: string,
    private readonly directory: PeerDirectory,
  ) {}

  /** Answers peers on `server`; `apply` gets the objects that they pass. */
  open(
    server: Pick<RpcServer, 'handle'>,
    apply: (items: readonly objects.StoredObject[]) => void,
  ): void {
    server.handle(notifyCold, ({from, items}) => {
      this.directory.add([from]);
      apply(items);
      return {};
    });
  }

  /** Call with objects from the own watch. Lost calls are not repeated. */
  send(items: readonly objects.StoredObject[]): void {
    const {ownAddress: from, directory, rpcClient} = this;
    const peers = directory.known;
    const watchers = election.electWatchers([from, ...peers]);
    if (items.length > 0 && watchers.includes(from)) {
      const params = {from, items: [...items]};
      peers
        .filter(peer => !watchers.includes(peer))
        .forEach(
          peer =>
            void rpcClient.call(peer, notifyCold, params, ANSWER_TIMEOUT_MS),
        );
    }
  }
}
