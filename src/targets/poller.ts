/**
 * Asks sidecars for their own word, slowly: answers to requests carry the
 * load, so only targets that are new or quiet are asked.
 */
import type {RpcClient} from '../rpc/client';
import * as random from '../random';
import * as app from './app';
import type {TargetLocation, TargetDirectory} from './directory';

const POLL_INTERVAL_MS = 500;
/** A target without traffic is asked this often. */
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

  /** Looks at once for members that have to be asked. */
  pollNow(): void {
    clearTimeout(this.timer);
    if (this.closed) {
      return;
    }
    const now = Date.now();
    for (const member of this.targets.subset) {
      if (this.isDue(member, now)) {
        void this.requestReport(member);
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

  private isDue(member: TargetLocation, now: number): boolean {
    if (this.pending.has(member.id)) {
      return false;
    }
    const target = this.targets.reported(member.id);
    return (
      target === undefined ||
      target.address !== member.address ||
      target.state === 'unreachable' ||
      now - target.loadAt >= MAX_LOAD_AGE_MS
    );
  }

  private async requestReport(member: TargetLocation): Promise<void> {
    this.pending.add(member.id);
    const answer = await this.rpc.call(
      member.address,
      app.report,
      {},
      REPORT_TIMEOUT_MS,
    );
    this.pending.delete(member.id);
    if (answer.ok) {
      this.misses.delete(member.id);
      this.targets.applyReport(answer.value, Date.now());
      return;
    }
    const misses = (this.misses.get(member.id) ?? 0) + 1;
    this.misses.set(member.id, misses);
    const target = this.targets.reported(member.id);
    if (misses >= MISSES_TO_UNREACHABLE && target?.state === 'live') {
      target.state = 'unreachable';
    }
  }
}
