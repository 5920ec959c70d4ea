/** Calls between processes that send to targets which name limits. */
import * as v from 'valibot';
import * as rpc from '../rpc/types';

const amount = v.pipe(v.number(), v.minValue(0));
const whole = v.pipe(v.number(), v.integer(), v.minValue(0));
/** Targets that one call is about. Source: as `MOST_LIMITS`. */
const MAX_ASKS = 4_096;

/** What a process knows of a target's limit. */
const rateLimitSchema = v.object({
  /** Requests a second; null: the target names no limit any more. */
  perSecond: v.nullable(amount),
  /** Milliseconds for which the process has known it. */
  ageMs: amount,
});
export type RateLimitMessage = v.InferOutput<typeof rateLimitSchema>;

/**
 * Borrows permits to send to targets from the process that lends for them, or
 * tells it what is known of their limits.
 */
export const borrow = rpc.method(
  'limits.borrow',
  v.object({
    /** Where the caller takes calls. */
    from: v.string(),
    asks: v.pipe(
      v.array(
        v.object({lifetime: v.string(), word: rateLimitSchema, wanted: whole}),
      ),
      v.maxLength(MAX_ASKS),
    ),
  }),
  v.object({
    /** In the order of the asks. */
    answers: v.array(
      v.object({
        permits: whole,
        /** Milliseconds after which to ask again. */
        waitMs: amount,
        /**
         * Who lends for the target, and who would next, as the process that was
         * asked sees it.
         */
        order: v.pipe(v.array(v.string()), v.minLength(1)),
        /** Those of which it has not heard lately, among the first. */
        silent: v.array(v.string()),
        word: rateLimitSchema,
      }),
    ),
  }),
);
