/** A target as others see it: what it serves and how loaded it is. */
import * as v from 'valibot';
import {addressSchema} from '../http/address';

const amount = v.pipe(v.number(), v.minValue(0));

/** Load of one target. Times are milliseconds. */
export const loadSchema = v.object({
  /** Requests that the target works on. */
  running: amount,
  /** Requests that it works on at most. */
  capacity: amount,
  /** Requests in the sidecar's queue. */
  queued: amount,
  /** What a request that came now would wait. */
  waitMs: amount,
  /** Prompt tokens that the engine has still to read. */
  prefillTokens: amount,
  /** Time of the group's latest steps: its slowest rank's. */
  stepMs: amount,
  /** Time of this rank's own share of a step. */
  rankMs: amount,
});
export type Load = v.InferOutput<typeof loadSchema>;

export const IDLE_LOAD: Load = {
  running: 0,
  capacity: 1,
  queued: 0,
  waitMs: 0,
  prefillTokens: 0,
  stepMs: 0,
  rankMs: 0,
};

/** What a target serves: a model's rank, or a plain service. */
export const servesSchema = v.variant('kind', [
  v.object({
    kind: v.literal('model'),
    name: v.string(),
    group: v.string(),
    rank: v.number(),
  }),
  v.object({kind: v.literal('service'), name: v.string()}),
]);
export type Serves = v.InferOutput<typeof servesSchema>;

export const targetStateSchema = v.picklist(['live', 'leaving', 'unreachable']);
export type TargetState = v.InferOutput<typeof targetStateSchema>;

/** A sidecar's own word on its target. */
export const targetReportSchema = v.object({
  id: v.string(),
  hall: v.string(),
  address: addressSchema,
  serves: servesSchema,
  state: targetStateSchema,
  load: loadSchema,
});
export type TargetReport = v.InferOutput<typeof targetReportSchema>;

/** Header in which every answer of a sidecar carries its load. */
export const LOAD_HEADER = 'ferrycleat-load';
const LOAD_DECIMALS = 1;

/** The load as a form-encoded text. */
export function encodeLoad(load: Load): string {
  const fields = Object.entries(load).map(([name, value]) => [
    name,
    String(Number(value.toFixed(LOAD_DECIMALS))),
  ]);
  return new URLSearchParams(fields as [string, string][]).toString();
}

/** Undefined where the text is no load. */
export function decodeLoad(text: string): Load | undefined {
  const fields = [...new URLSearchParams(text)].map(([name, value]) => [
    name,
    Number(value),
  ]);
  const parsed = v.safeParse(loadSchema, Object.fromEntries(fields));
  return parsed.success ? parsed.output : undefined;
}
