/** Log fields that sum up the waiting requests of a service. Pure. */
import type {WaitingRequest} from './types';

export interface QueueSummary {
  readonly waiting: number;
  /** Longest wait so far, in milliseconds. */
  readonly oldestMs: number;
  /** Waiting requests by priority. */
  readonly byPriority: Readonly<Record<string, number>>;
  /** The account with the most waiting requests, and how many it has. */
  readonly account: string;
  readonly accountWaiting: number;
}

export function summaryOf(
  items: readonly WaitingRequest[],
  now: number,
): QueueSummary {
  const byPriority: Record<string, number> = {};
  const byAccount = new Map<string, number>();
  let oldestAt = now;
  for (const {priority, account, arrivedAt} of items) {
    byPriority[priority] = (byPriority[priority] ?? 0) + 1;
    byAccount.set(account, (byAccount.get(account) ?? 0) + 1);
    oldestAt = Math.min(oldestAt, arrivedAt);
  }
  const [largest] = [...byAccount].sort((a, b) => b[1] - a[1]);
  return {
    waiting: items.length,
    oldestMs: Math.round(now - oldestAt),
    byPriority,
    account: largest?.[0] ?? '',
    accountWaiting: largest?.[1] ?? 0,
  };
}
