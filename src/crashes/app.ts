/** RPC between entries about requests that crash targets. */
import * as v from 'valibot';
import * as rpc from '../rpc/types';

const MAX_REQUESTS_PER_CALL = 2_048;

export const quarantineSchema = v.object({
  digest: v.string(),
  /** Milliseconds until the quarantine ends; 0 ends it. */
  leftMs: v.pipe(v.number(), v.minValue(0)),
});

/** Reports crashes and successes of requests to the entry that arbitrates them. */
export const report = rpc.method(
  'crashes.report',
  v.object({
    /** RPC address of the caller. */
    from: v.string(),
    reports: v.pipe(
      v.array(
        v.object({
          digest: v.string(),
          /** Lifetime of the target that crashed; null if the request was served. */
          lifetime: v.nullable(v.string()),
        }),
      ),
      v.maxLength(MAX_REQUESTS_PER_CALL),
    ),
  }),
  v.object({}),
);
export type Report = v.InferOutput<typeof report.params>['reports'][number];

/**
 * Notifies an entry of quarantined requests, which it must refuse, and of requests
 * whose quarantine ends.
 */
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

/** Asks the arbiter whether the caller may send a quarantined request once. */
export const requestTrial = rpc.method(
  'crashes.trial',
  v.object({from: v.string(), digest: v.string()}),
  v.object({
    isGranted: v.boolean(),
    /** Milliseconds until the next trial may be granted. */
    nextMs: v.pipe(v.number(), v.minValue(0)),
  }),
);
