/** The address at which a process of a site takes RPC calls. */
import * as http from 'node:http';
import * as httpServer from '../http/server';
import type {Log} from '../observability/log';
import type {RpcServer} from '../rpc/server';

/** Serves the methods of an RPC server. */
export async function serveRpc(
  address: string,
  rpc: RpcServer,
  log: Log,
): Promise<http.Server> {
  const server = http.createServer((req, res) => {
    rpc.handleRequest(req, res).catch(err => {
      log.event('requestFault', {error: String((err as Error).stack)});
      res.destroy();
    });
  });
  return httpServer.bind(address, server);
}
