/** Reads the log events that tell the course of a request. Pure. */
import * as v from 'valibot';
import {EVENTS} from '../observability/catalogue';

const counts = v.record(v.string(), v.number());
/** JSON has null for numbers that are not finite. */
const optionalNumber = v.pipe(
  v.nullish(v.number()),
  v.transform(value => value ?? undefined),
);
const optionalString = v.optional(v.string());

/** Fields of all events. */
const baseFields = {
  /** Milliseconds since the epoch. */
  time: v.pipe(
    v.string(),
    v.transform(text => Date.parse(text)),
    v.finite(),
  ),
  text: v.string(),
  process: v.string(),
};

const requestRefusedSchema = v.object({
  ...baseFields,
  event: v.literal(EVENTS.requestRefused.id),
  request: optionalString,
  kind: v.string(),
  service: optionalString,
  account: optionalString,
  priority: optionalNumber,
  routePriority: optionalNumber,
  ahead: optionalNumber,
  waitMs: optionalNumber,
  predictedMs: optionalNumber,
  retryMs: optionalNumber,
  reason: optionalString,
  most: optionalNumber,
  requests: optionalNumber,
  limitedBy: optionalString,
  limit: optionalNumber,
  restMs: optionalNumber,
});
export type RequestRefused = v.InferOutput<typeof requestRefusedSchema>;

const requestSentSchema = v.object({
  ...baseFields,
  event: v.literal(EVENTS.requestSent.id),
  request: v.string(),
  target: v.string(),
  send: v.number(),
  outcome: v.string(),
  status: optionalNumber,
  why: optionalString,
  waitMs: optionalNumber,
  queued: optionalNumber,
  waitedFor: optionalString,
});
export type RequestSent = v.InferOutput<typeof requestSentSchema>;

const requestEndedSchema = v.object({
  ...baseFields,
  event: v.literal(EVENTS.requestEnded.id),
  request: optionalString,
  route: optionalString,
  outcome: v.string(),
  status: optionalNumber,
  target: optionalString,
  sends: v.number(),
  ms: v.number(),
  late: optionalString,
  firstMs: optionalNumber,
});
export type RequestEnded = v.InferOutput<typeof requestEndedSchema>;

const admissionQueuedSchema = v.object({
  ...baseFields,
  event: v.literal(EVENTS.admissionQueued.id),
  service: v.string(),
  waiting: v.number(),
  oldestMs: v.number(),
  byPriority: counts,
  account: v.string(),
  accountWaiting: v.number(),
  // Versions before these fields don't log them.
  starts: v.optional(counts, {}),
  accountStarts: v.optional(counts, {}),
});
export type AdmissionQueued = v.InferOutput<typeof admissionQueuedSchema>;

/** Any other event; its own fields are kept. */
const otherSchema = v.looseObject({
  ...baseFields,
  event: v.string(),
  request: v.optional(v.unknown()),
});
export type OtherEvent = v.InferOutput<typeof otherSchema>;

export type LogEvent =
  | {readonly kind: 'refused'; readonly event: RequestRefused}
  | {readonly kind: 'sent'; readonly event: RequestSent}
  | {readonly kind: 'ended'; readonly event: RequestEnded}
  | {readonly kind: 'queued'; readonly event: AdmissionQueued}
  | {readonly kind: 'other'; readonly event: OtherEvent};

/** Braces of a prefix that are tried as the start of the JSON object. */
const MAX_STARTS = 4;

/**
 * Reads a line, which may have a prefix before the JSON object. Undefined if it
 * contains no event, or one whose fields are invalid.
 */
export function readLine(line: string): LogEvent | undefined {
  const fields = parseObject(line);
  const read = v.safeParse(otherSchema, fields);
  return read.success ? typedEvent(fields, read.output) : undefined;
}

function parseObject(line: string): unknown {
  let start = line.indexOf('{');
  for (let tries = 0; start >= 0 && tries < MAX_STARTS; tries += 1) {
    try {
      return JSON.parse(line.slice(start));
    } catch {
      start = line.indexOf('{', start + 1);
    }
  }
  return undefined;
}

function typedEvent(fields: unknown, other: OtherEvent): LogEvent | undefined {
  switch (other.event) {
    case EVENTS.requestRefused.id: {
      const read = v.safeParse(requestRefusedSchema, fields);
      return read.success ? {kind: 'refused', event: read.output} : undefined;
    }
    case EVENTS.requestSent.id: {
      const read = v.safeParse(requestSentSchema, fields);
      return read.success ? {kind: 'sent', event: read.output} : undefined;
    }
    case EVENTS.requestEnded.id: {
      const read = v.safeParse(requestEndedSchema, fields);
      return read.success ? {kind: 'ended', event: read.output} : undefined;
    }
    case EVENTS.admissionQueued.id: {
      const read = v.safeParse(admissionQueuedSchema, fields);
      return read.success ? {kind: 'queued', event: read.output} : undefined;
    }
    default:
      return {kind: 'other', event: other};
  }
}
