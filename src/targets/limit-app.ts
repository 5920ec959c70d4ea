/** RPC between processes that share the rate limits of targets. */
import * as v from 'valibot';
import * as rpc from '../rpc/types';

const amount = v.pipe(v.number(), v.minValue(0));
const whole = v.pipe(v.number(), v.integer(), v.minValue(0));
const MAX_ASKS = 4_096;

const rateLimitSchema = v.object({
  /** Requests per second; null if the limit has ended. */
  perSecond: v.nullable(amount),
  /** Milliseconds since the process observed it. */
  ageMs: amount,
});
export type RateLimitMessage = v.InferOutput<typeof rateLimitSchema>;

const processesSchema = v.object({
  /** Largest number of processes known lately, including the sender. */
  count: whole,
  /** Milliseconds since a process last knew that many. */
  ageMs: amount,
});
export type ProcessesMessage = v.InferOutput<typeof processesSchema>;

const paramsSchema = v.object({
  /** RPC address of the caller. */
  from: v.string(),
  /** Left out by processes that don't count them. */
  processes: v.optional(processesSchema),
  asks: v.pipe(
    v.array(
      v.object({lifetime: v.string(), word: rateLimitSchema, wanted: whole}),
    ),
    v.maxLength(MAX_ASKS),
  ),
});

const resultSchema = v.object({
  processes: v.optional(processesSchema),
  /** In the order of the asks. */
  answers: v.array(
    v.object({
      permits: whole,
      /** Milliseconds until the next request. */
      waitMs: amount,
      /** RPC addresses of the issuer and its successors, as seen by the callee. */
      order: v.pipe(v.array(v.string()), v.minLength(1)),
      /** Addresses among the first in the order that do not respond. */
      silent: v.array(v.string()),
      word: rateLimitSchema,
    }),
  ),
});

/** Requests permits to send to targets, or reports their limits. */
export const borrow = rpc.method('limits.borrow', paramsSchema, resultSchema);

/** The same for retries beyond the share of requests, by service. */
export const borrowRetries = rpc.method(
  'retries.borrow',
  paramsSchema,
  resultSchema,
);

/** The same for cold targets, whose limits come from the configuration. */
export const borrowCold = rpc.method(
  'limits.borrowCold',
  paramsSchema,
  resultSchema,
);
