/**
 * What became of each key, in the memory of the cell's owner. A record
 * lives as long as keys of its age are accepted.
 */
import * as v from 'valibot';

/** An answer kept so that a repeated call gets the same one. */
export const storedResponseSchema = v.object({
  status: v.number(),
  contentType: v.string(),
  /** Base64. */
  body: v.string(),
});
export type StoredResponse = v.InferOutput<typeof storedResponseSchema>;

const commonSchema = {
  key: v.string(),
  account: v.string(),
  mintedAt: v.number(),
  fingerprint: v.string(),
};

/** `ran` with a null answer: ran, but the answer is no longer kept. */
export const recordSchema = v.variant('state', [
  v.object({...commonSchema, state: v.literal('running')}),
  v.object({
    ...commonSchema,
    state: v.literal('ran'),
    answer: v.nullable(storedResponseSchema),
  }),
  v.object({...commonSchema, state: v.literal('burnt')}),
  /** Sent to the target, and no answer came. */
  v.object({...commonSchema, state: v.literal('unknown')}),
]);
export type KeyRecord = v.InferOutput<typeof recordSchema>;

/** Bytes a record costs besides its answer; for the byte cap. */
const RECORD_OVERHEAD_BYTES = 300;

/** The records of one owner, by account and key, under a byte cap. */
export class KeyRecords {
  private readonly byKey = new Map<string, KeyRecord>();
  private answerBytes = 0;

  constructor(private readonly maxAnswerBytes: number) {}

  get size(): number {
    return this.byKey.size;
  }

  /** Bytes held, estimated. */
  get estimatedBytes(): number {
    return this.answerBytes + this.byKey.size * RECORD_OVERHEAD_BYTES;
  }

  find(account: string, key: string): KeyRecord | undefined {
    return this.byKey.get(mapKey(account, key));
  }

  /** Sets a record; the oldest kept answers give way to the byte cap. */
  set(record: KeyRecord): void {
    const name = mapKey(record.account, record.key);
    this.answerBytes -= answerBytesOf(this.byKey.get(name));
    this.byKey.delete(name);
    this.byKey.set(name, record);
    this.answerBytes += answerBytesOf(record);
    this.evictAnswers();
  }

  /** Records minted within [from, until). */
  mintedWithin(from: number, until: number): KeyRecord[] {
    return [...this.byKey.values()].filter(
      record => record.mintedAt >= from && record.mintedAt < until,
    );
  }

  /** Forgets keys that are too old to be accepted again. */
  evictBefore(oldestKept: number): void {
    for (const [name, record] of this.byKey) {
      if (record.mintedAt < oldestKept && record.state !== 'running') {
        this.answerBytes -= answerBytesOf(record);
        this.byKey.delete(name);
      }
    }
  }

  private evictAnswers(): void {
    if (this.answerBytes <= this.maxAnswerBytes) {
      return;
    }
    for (const [name, record] of this.byKey) {
      if (this.answerBytes <= this.maxAnswerBytes) {
        return;
      }
      if (record.state === 'ran' && record.answer !== null) {
        this.answerBytes -= answerBytesOf(record);
        this.byKey.set(name, {...record, answer: null});
      }
    }
  }
}

function mapKey(account: string, key: string): string {
  return `${account} ${key}`;
}

function answerBytesOf(record: KeyRecord | undefined): number {
  return record?.state === 'ran' ? (record.answer?.body.length ?? 0) : 0;
}
