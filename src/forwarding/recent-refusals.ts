/** Counts the refusals of the last 10 s by service and reason. Pure. */
import {RecentCounts} from '../admission/recent-counts';

const WINDOW_MS = 10_000;

export class RecentRefusals {
  private readonly byService = new Map<string, RecentCounts>();

  note(service: string, reason: string, now: number): void {
    let counts = this.byService.get(service);
    if (counts === undefined) {
      counts = new RecentCounts(WINDOW_MS);
      this.byService.set(service, counts);
    }
    counts.note(reason, now);
  }

  /** Refusals by reason. */
  of(service: string, now: number): Record<string, number> {
    return Object.fromEntries(this.byService.get(service)?.counts(now) ?? []);
  }
}
