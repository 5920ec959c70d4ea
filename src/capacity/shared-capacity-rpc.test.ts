/** Three entries of one process that share a pool over real RPC. */
import * as http from 'node:http';
import type * as net from 'node:net';
import {SILENT_LOG} from '../observability/log';
import {Metrics} from '../observability/metrics';
import {PeerDirectory} from '../peers/peer-directory';
import {PeerRanking} from '../peers/peer-ranking';
import {RpcClient} from '../rpc/client';
import {RpcServer} from '../rpc/server';
import {SharedCapacity} from './shared-capacity';

const POOL = 'plain';
/** A handover of 1.5 s and some reports, beside load. */
const MAX_WAIT_MS = 10_000;

it('entries agree on shares over real RPC', async () => {
  const rpc = new RpcClient();
  const opened = await Promise.all(
    [10, 20, 300].map(async waiting => {
      const rpcServer = new RpcServer(SILENT_LOG);
      const server = http.createServer((req, res) => {
        void rpcServer.handleRequest(req, res);
      });
      await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
      const {port} = server.address() as net.AddressInfo;
      return {waiting, rpcServer, server, address: `127.0.0.1:${port}`};
    }),
  );
  const addresses = opened.map(({address}) => address);
  const entries = opened.map(({waiting, rpcServer, address}) => {
    const shares = new SharedCapacity({
      rpc,
      peers: new PeerRanking(address, new PeerDirectory(address, addresses)),
      source: {
        demandOf: () => [{priority: 1, account: 'a', inFlight: 0, waiting}],
        capacityOf: () => 60,
      },
      log: SILENT_LOG,
      metrics: new Metrics(),
      knownEntryCount: () => addresses.length,
      weightOf: () => 1,
      floorShare: 0.1,
    });
    shares.open(rpcServer);
    return shares;
  });
  const onRisen = jest.fn();
  entries[2]!.changes.subscribe(onRisen);
  entries.forEach(one => one.noteUse(POOL, performance.now()));
  const shares = () => entries.map(one => one.shareOf(POOL, performance.now()));
  // One account: in proportion to the demand.
  const expected = [2, 4, 54];
  const endsAt = performance.now() + MAX_WAIT_MS;
  while (performance.now() < endsAt && `${shares()}` !== `${expected}`) {
    await new Promise(resolve => setTimeout(resolve, 50));
  }
  expect(shares()).toEqual(expected);
  expect(onRisen).toHaveBeenCalledWith(POOL);
  // Guards against shares of a capacity that a group had before it closed.
  const now = performance.now();
  expect(entries[2]!.shareOf(POOL, now, now - MAX_WAIT_MS)).toBe(54);
  expect(entries[2]!.shareOf(POOL, now, now)).toBeUndefined();
  entries.forEach(one => one.close());
  opened.forEach(({server}) => server.close());
  rpc.close();
});
