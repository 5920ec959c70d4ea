/** In-memory log of a process's latest routing decisions, for `explain`. */
import * as v from 'valibot';
import * as rpc from '../rpc/types';

const scoredSchema = v.object({
  id: v.string(),
  score: v.number(),
  waitMs: v.number(),
  prefillMs: v.number(),
  stepMs: v.number(),
  hallMs: v.number(),
});

const attemptSchema = v.object({
  target: v.string(),
  weighed: v.array(scoredSchema),
  result: v.string(),
});
export type Attempt = v.InferOutput<typeof attemptSchema>;

export const journalEntrySchema = v.object({
  request: v.string(),
  account: v.string(),
  what: v.string(),
  at: v.string(),
  attempts: v.array(attemptSchema),
  outcome: v.string(),
  detail: v.string(),
});
export type JournalEntry = v.InferOutput<typeof journalEntrySchema>;

/** The decisions for one request; null if they are unknown or evicted. */
export const explain = rpc.method(
  'requests.explain',
  v.object({request: v.string()}),
  v.object({entry: v.nullable(journalEntrySchema)}),
);

const MAX_ENTRIES = 2_000;

export class Journal {
  private readonly entries = new Map<string, JournalEntry>();

  /** Starts an entry; evicts the oldest above MAX_ENTRIES. */
  start(request: string, account: string, what: string): JournalEntry {
    const entry: JournalEntry = {
      request,
      account,
      what,
      at: new Date().toISOString(),
      attempts: [],
      outcome: 'open',
      detail: '',
    };
    this.entries.set(request, entry);
    if (this.entries.size > MAX_ENTRIES) {
      const [oldest] = this.entries.keys();
      this.entries.delete(oldest!);
    }
    return entry;
  }

  find(request: string): JournalEntry | null {
    return this.entries.get(request) ?? null;
  }
}
