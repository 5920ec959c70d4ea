/**
 * Outcomes of request keys, in the memory of the cells' owner. Records are lost
 * when the process ends without a hand-over.
 */
import * as v from 'valibot';

/** A response stored so that a repeated call gets the same one. */
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

/** `ran` with a null answer: the call ran, but its response is not stored. */
export const recordSchema = v.variant('state', [
  v.object({...commonSchema, state: v.literal('running')}),
  v.object({
    ...commonSchema,
    state: v.literal('ran'),
    answer: v.nullable(storedResponseSchema),
  }),
  v.object({...commonSchema, state: v.literal('burnt')}),
  /** Sent to the target, but no response arrived. */
  v.object({...commonSchema, state: v.literal('unknown')}),
]);
export type KeyRecord = v.InferOutput<typeof recordSchema>;

/** Estimated size of a record without its response, in bytes. */
const RECORD_OVERHEAD_BYTES = 300;

/** One owner's records by account and key, with a limit on response bytes. */
export class KeyRecords {
  private readonly byKey = new Map<string, KeyRecord>();
  private answerBytes = 0;

  constructor(private readonly maxAnswerBytes: number) {}

  get size(): number {
    return this.byKey.size;
  }

  get estimatedBytes(): number {
    return this.answerBytes + this.byKey.size * RECORD_OVERHEAD_BYTES;
  }

  find(account: string, key: string): KeyRecord | undefined {
    return this.byKey.get(mapKey(account, key));
  }

  /** Sets a record; evicts the oldest responses above the byte limit. */
  set(record: KeyRecord): void {
    const name = mapKey(record.account, record.key);
    this.answerBytes -= answerBytesOf(this.byKey.get(name));
    this.byKey.delete(name);
    this.byKey.set(name, record);
    this.answerBytes += answerBytesOf(record);
    this.evictAnswers();
  }

  /** Records of keys minted within [from, until). */
  mintedWithin(from: number, until: number): KeyRecord[] {
    return [...this.byKey.values()].filter(
      record => record.mintedAt >= from && record.mintedAt < until,
    );
  }

  /** Drops records of keys minted before `oldestKept`, except running ones. */
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
