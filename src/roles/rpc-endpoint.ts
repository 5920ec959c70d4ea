/** The address at which a process of a site takes RPC calls. */
import * as closing from '../http/closing';
import {PortWait} from '../http/port-wait';
import * as httpServer from '../http/server';
import type {Log} from '../observability/log';
import type {RpcServer} from '../rpc/server';

/** Serves the methods of an RPC server. */
export async function serveRpc(
  address: string,
  rpc: RpcServer,
  log: Log,
  guard: httpServer.ServerGuard = httpServer.unguarded(),
  ports = new PortWait(log),
): Promise<httpServer.GuardedServer> {
  const guarded = httpServer.createServer((req, res) => {
    rpc.handleRequest(req, res).catch(err => {
      log.event('requestFault', {error: String((err as Error).stack)});
      closing.closeConnectionOf(res);
    });
  }, guard);
  await ports.bind(address, guarded.server);
  return guarded;
}
