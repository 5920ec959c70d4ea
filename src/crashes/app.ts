/** Calls between entries about requests that crash targets. */
import * as v from 'valibot';
import * as rpc from '../rpc/types';

/** Requests that one call is about. */
const MAX_REQUESTS_PER_CALL = 2_048;

export const quarantineSchema = v.object({
  digest: v.string(),
  /** Milliseconds for which the request is refused yet. */
  leftMs: v.pipe(v.number(), v.minValue(0)),
});

/** Tells the entry that judges a request how sends of it ended. */
export const report = rpc.method(
  'crashes.report',
  v.object({
    /** Where the caller takes calls. */
    from: v.string(),
    reports: v.pipe(
      v.array(
        v.object({
          digest: v.string(),
          /** Lifetime of a target that crashed; null: it was served. */
          lifetime: v.nullable(v.string()),
        }),
      ),
      v.maxLength(MAX_REQUESTS_PER_CALL),
    ),
  }),
  v.object({}),
);
export type Report = v.InferOutput<typeof report.params>['reports'][number];

/** Tells an entry which requests to refuse. */
export const convict = rpc.method(
  'crashes.convict',
  v.object({
    from: v.string(),
    convicted: v.pipe(
      v.array(quarantineSchema),
      v.maxLength(MAX_REQUESTS_PER_CALL),
    ),
  }),
  v.object({}),
);
