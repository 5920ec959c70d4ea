/** Paths that every process answers: health, metrics, RPC. */
import type * as http from 'node:http';
import * as body from '../http/body';
import type {Metrics} from '../observability/metrics';
import * as prometheus from '../observability/prometheus';
import type {RpcServer} from '../rpc/server';
import {RPC_PATH} from '../rpc/types';

/** What the endpoints of a process expose. */
export interface ProcessEndpoints {
  readonly rpc: RpcServer;
  readonly metrics: Metrics;
  isReady(): boolean;
}

/** Answers a request for one of these paths; returns false for other paths. */
export async function answerProcessPath(
  endpoints: ProcessEndpoints,
  req: http.IncomingMessage,
  res: http.ServerResponse,
): Promise<boolean> {
  const path = (req.url ?? '/').split('?')[0];
  switch (path) {
    case RPC_PATH:
      await endpoints.rpc.handleRequest(req, res);
      return true;
    case '/healthz':
      body.sendJson(res, 200, {alive: true});
      return true;
    case '/readyz':
      body.sendJson(res, endpoints.isReady() ? 200 : 503, {
        ready: endpoints.isReady(),
      });
      return true;
    case '/metrics': {
      const page = await prometheus.formatMetrics(endpoints.metrics.samples());
      res.writeHead(200, {'content-type': page.type});
      res.end(page.text);
      return true;
    }
    default:
      return false;
  }
}
