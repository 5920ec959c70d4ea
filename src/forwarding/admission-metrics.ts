/** Metrics of the admission queues of services with an objective. */
import type {Metrics} from '../observability/metrics';

/** Metric label of requests without a client account. */
const NO_ACCOUNT = 'none';

interface CountedRequest {
  readonly service: string;
  readonly priority: number;
  readonly account: string;
  readonly arrivedAt: number;
}

export class AdmissionMetrics {
  constructor(private readonly metrics: Metrics) {}

  /** Adds `change` waiting requests. */
  countWaiting(request: CountedRequest, change: number): void {
    this.metrics.count('admission_waiting', labelsOf(request), change);
  }

  countStart(request: CountedRequest): void {
    this.metrics.count('admission_starts_total', labelsOf(request));
  }

  /** A request that had to wait starts at the monotonic time `now`. */
  recordWait({account, arrivedAt}: CountedRequest, now: number): void {
    this.metrics.recordQueueTime(account || NO_ACCOUNT, now - arrivedAt);
  }
}

function labelsOf({service, priority}: CountedRequest): Record<string, string> {
  return {service, priority: String(priority)};
}
