/** The state that a target reports: what it serves and its load. */
import * as v from 'valibot';
import {addressSchema} from '../http/address';

const amount = v.pipe(v.number(), v.minValue(0));

/** Load of one target. Times are in milliseconds. */
export const loadSchema = v.object({
  /** Requests being processed by the target. */
  running: amount,
  /** Maximum number of requests processed at a time. */
  capacity: amount,
  /** Requests in the sidecar's queue. */
  queued: amount,
  /** Expected queueing time of a new request. */
  waitMs: amount,
  /** Prompt tokens still to be prefilled by the engine. */
  prefillTokens: amount,
  /** Duration of the group's recent steps, set by its slowest rank. */
  stepMs: amount,
  /** Duration of this rank's own part of a step. */
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

/** What a target serves: a rank of a model, or a plain service. */
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

/** A sidecar's report on its target. */
export const targetReportSchema = v.object({
  id: v.string(),
  hall: v.string(),
  address: addressSchema,
  serves: servesSchema,
  state: targetStateSchema,
  load: loadSchema,
});
export type TargetReport = v.InferOutput<typeof targetReportSchema>;

/** Response header that carries the load of the sidecar's target. */
export const LOAD_HEADER = 'ferrycleat-load';
const LOAD_DECIMALS = 1;

/** Encodes a load as form-encoded text. */
export function encodeLoad(load: Load): string {
  const fields = Object.entries(load).map(([name, value]) => [
    name,
    String(Number(value.toFixed(LOAD_DECIMALS))),
  ]);
  return new URLSearchParams(fields as [string, string][]).toString();
}

/** Undefined if the text is not a valid load. */
export function decodeLoad(text: string): Load | undefined {
  const fields = [...new URLSearchParams(text)].map(([name, value]) => [
    name,
    Number(value),
  ]);
  const parsed = v.safeParse(loadSchema, Object.fromEntries(fields));
  return parsed.success ? parsed.output : undefined;
}
