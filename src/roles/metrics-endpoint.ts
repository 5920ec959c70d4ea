/** The address at which a process of a site serves its metrics and queues. */
import type * as http from 'node:http';
import * as readingTurns from '../http/reading-turns';
import type {PortWait} from '../http/port-wait';
import * as httpServer from '../http/server';
import type {Metrics} from '../observability/metrics';
import * as prometheus from '../observability/prometheus';
import {QUEUES_PATH} from '../observability/queues-page';

const METRICS_PATH = '/metrics';

/**
 * Serves the metrics in the Prometheus text format and, if `formatQueues` is
 * given, the JSON page that it makes, as soon as the port is free.
 */
export function serveMetrics(
  address: string,
  metrics: Metrics,
  guard: httpServer.ServerGuard,
  ports: PortWait,
  formatQueues?: () => string,
): http.Server {
  const {server} = httpServer.createServer((req, res) => {
    readingTurns.dropBody(req);
    if (req.url === METRICS_PATH) {
      sendMetrics(res, metrics);
    } else if (req.url === QUEUES_PATH && formatQueues !== undefined) {
      sendQueues(req, res, formatQueues);
    } else {
      res.writeHead(404).end();
    }
  }, guard);
  ports.bindInBackground(address, server);
  return server;
}

function sendMetrics(res: http.ServerResponse, metrics: Metrics): void {
  prometheus.formatMetrics(metrics.samples()).then(
    page => {
      res.writeHead(200, {'content-type': page.type});
      res.end(page.text);
    },
    () => res.writeHead(500).end(),
  );
}

function sendQueues(
  req: http.IncomingMessage,
  res: http.ServerResponse,
  formatQueues: () => string,
): void {
  if (req.method !== 'GET') {
    res.writeHead(405, {allow: 'GET'}).end();
    return;
  }
  try {
    const text = formatQueues();
    res.writeHead(200, {'content-type': 'application/json'}).end(text);
  } catch {
    // A fault in the report must not end the process that serves callers.
    res.writeHead(500).end();
  }
}
