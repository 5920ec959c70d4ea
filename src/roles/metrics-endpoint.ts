/** The address at which a process of a site serves its metrics. */
import * as http from 'node:http';
import * as httpServer from '../http/server';
import type {Metrics} from '../observability/metrics';
import * as prometheus from '../observability/prometheus';

const METRICS_PATH = '/metrics';

/** Serves the metrics in the Prometheus text format. */
export async function serveMetrics(
  address: string,
  metrics: Metrics,
): Promise<http.Server> {
  const server = http.createServer((req, res) => {
    if (req.url !== METRICS_PATH) {
      res.writeHead(404).end();
      return;
    }
    prometheus.formatMetrics(metrics.samples()).then(
      page => {
        res.writeHead(200, {'content-type': page.type});
        res.end(page.text);
      },
      () => res.writeHead(500).end(),
    );
  });
  return httpServer.bind(address, server);
}
