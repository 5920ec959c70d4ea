/** The waiting requests of a queue by priority and account. Pure. */
import type {WaitingRequest} from './types';

/** Name under which the accounts that are not listed are combined. */
export const OTHER_ACCOUNTS = 'other';

export interface QueueLine {
  readonly priority: number;
  readonly account: string;
  readonly waiting: number;
  /** Longest wait so far, in milliseconds. */
  readonly oldestMs: number;
}

/** Lines in the order of priority, then of the longest wait. */
export function linesOf(
  items: readonly WaitingRequest[],
  listed: ReadonlySet<string>,
  now: number,
): QueueLine[] {
  const lines = new Map<string, QueueLine>();
  for (const {priority, account, arrivedAt} of items) {
    const name = listed.has(account) ? account : OTHER_ACCOUNTS;
    const key = `${priority} ${name}`;
    const before = lines.get(key);
    lines.set(key, {
      priority,
      account: name,
      waiting: (before?.waiting ?? 0) + 1,
      oldestMs: Math.max(before?.oldestMs ?? 0, Math.round(now - arrivedAt)),
    });
  }
  return [...lines.values()].sort(
    (a, b) => a.priority - b.priority || b.oldestMs - a.oldestMs,
  );
}

/** Accounts with waiting requests, those with the most first. */
export function accountsOf(items: readonly WaitingRequest[]): string[] {
  const waiting = new Map<string, number>();
  for (const {account} of items) {
    waiting.set(account, (waiting.get(account) ?? 0) + 1);
  }
  return [...waiting].sort((a, b) => b[1] - a[1]).map(([account]) => account);
}
