/**
 * Formats the metrics page. The Prometheus library is loaded on the first
 * request, not at the start.
 */
import type {Sample} from './metrics';

const PREFIX = 'ferrycleat_';

/** A metrics page; `type` is its content type. */
export interface MetricsPage {
  readonly type: string;
  readonly text: string;
}

/** Formats samples in the Prometheus text format. */
export async function formatMetrics(
  samples: readonly Sample[],
): Promise<MetricsPage> {
  const prom = await import('prom-client');
  const registry = new prom.Registry();
  const gauges = new Map<string, InstanceType<typeof prom.Gauge>>();
  for (const sample of samples) {
    const name = PREFIX + sample.name;
    const gauge =
      gauges.get(name) ??
      new prom.Gauge({
        name,
        help: sample.name.replaceAll('_', ' '),
        labelNames: Object.keys(sample.labels),
        registers: [registry],
      });
    gauges.set(name, gauge);
    gauge.set({...sample.labels}, sample.value);
  }
  return {type: registry.contentType, text: await registry.metrics()};
}
