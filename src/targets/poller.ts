/**
 * Polls the sidecars of an entry's subset for reports. Responses to requests carry
 * the load, so only targets that are new, unreachable or idle are polled.
 */
import type {RpcClient} from '../rpc/client';
import * as random from '../random';
import * as app from './app';
import type {TargetLocation, TargetDirectory} from './directory';

const POLL_INTERVAL_MS = 500;
/** A report is requested once the load is older than this. */
const MAX_LOAD_AGE_MS = 10_000;
const MISSES_TO_UNREACHABLE = 2;
const REPORT_TIMEOUT_MS = 2_000;

export class ReportPoller {
  private timer: NodeJS.Timeout | undefined;
  private readonly misses = new Map<string, number>();
  private readonly pending = new Set<string>();
  private closed = false;

  constructor(
    private readonly targets: TargetDirectory,
    private readonly rpc: RpcClient,
  ) {}

  /** Requests all reports that are due and schedules the next poll. */
  pollNow(): void {
    clearTimeout(this.timer);
    if (this.closed) {
      return;
    }
    const now = Date.now();
    for (const location of this.targets.subset) {
      if (this.isDue(location, now)) {
        void this.requestReport(location);
      }
    }
    this.timer = setTimeout(
      () => this.pollNow(),
      random.jitter(POLL_INTERVAL_MS),
    );
  }

  close(): void {
    this.closed = true;
    clearTimeout(this.timer);
  }

  private isDue(location: TargetLocation, now: number): boolean {
    if (this.pending.has(location.id)) {
      return false;
    }
    const target = this.targets.reported(location.id);
    return (
      target === undefined ||
      target.address !== location.address ||
      target.state === 'unreachable' ||
      now - target.loadAt >= MAX_LOAD_AGE_MS
    );
  }

  private async requestReport(location: TargetLocation): Promise<void> {
    this.pending.add(location.id);
    const answer = await this.rpc.call(
      location.address,
      app.report,
      {},
      REPORT_TIMEOUT_MS,
    );
    this.pending.delete(location.id);
    if (answer.ok) {
      this.misses.delete(location.id);
      this.targets.applyReport(answer.value, Date.now());
      return;
    }
    const misses = (this.misses.get(location.id) ?? 0) + 1;
    this.misses.set(location.id, misses);
    const target = this.targets.reported(location.id);
    if (misses >= MISSES_TO_UNREACHABLE && target?.state === 'live') {
      target.state = 'unreachable';
    }
  }
}
