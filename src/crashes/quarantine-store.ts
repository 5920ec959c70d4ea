/**
 * Keeps quarantines in the platform's store, one object for each service, so that
 * they outlast the end of all entries at once.
 */
import * as v from 'valibot';
import type {ObjectApi} from '../platform/client';
import * as app from './app';

/** Attempts to write while others write the same object. */
const MAX_ATTEMPTS = 3;
/** Older objects are ignored: their services may have been mended. */
const MAX_AGE_MS = 3_600_000;

const recordSchema = v.object({
  /** Unix milliseconds. */
  writtenAt: v.number(),
  quarantined: v.array(app.quarantineSchema),
});

export class QuarantineStore {
  constructor(
    private readonly store: ObjectApi,
    private readonly kind: string,
  ) {}

  /** Those of all services; empty if the store doesn't answer. */
  async load(): Promise<app.QuarantineNotice[]> {
    const listing = await this.store.list(`${this.kind}/`);
    if (!listing.ok) {
      return [];
    }
    return listing.value.items.flatMap(({value}) => {
      const parsed = v.safeParse(recordSchema, value);
      const isRecent =
        parsed.success && Date.now() - parsed.output.writtenAt < MAX_AGE_MS;
      return isRecent ? parsed.output.quarantined : [];
    });
  }

  /** Replaces the quarantines of a service. */
  async save(
    service: string,
    quarantined: readonly app.QuarantineNotice[],
  ): Promise<void> {
    const key = `${this.kind}/${service}`;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const current = await this.store.get(key);
      const record = {writtenAt: Date.now(), quarantined: [...quarantined]};
      if (!current.ok) {
        return;
      }
      const expected = current.value?.version ?? 0;
      const put = await this.store.put(key, record, expected);
      if (put.ok || put.error.kind !== 'conflict') {
        return;
      }
    }
  }
}
