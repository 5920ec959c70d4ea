/** RPC between entries about requests that crash targets. */
import * as v from 'valibot';
import * as rpc from '../rpc/types';

const MAX_ITEMS_PER_CALL = 2_048;
const MAX_FINGERPRINT_LENGTH = 512;

/** Fails the call of a peer that sends more, so that state stays bounded. */
function listOf<T extends v.GenericSchema>(item: T) {
  return v.pipe(v.array(item), v.maxLength(MAX_ITEMS_PER_CALL));
}

/** What requests that may crash targets have in common: see fingerprints.ts. */
const fingerprintSchema = v.pipe(
  v.string(),
  v.maxLength(MAX_FINGERPRINT_LENGTH),
);
const durationSchema = v.pipe(v.number(), v.minValue(0));

export const quarantineSchema = v.object({
  /** The fingerprint; earlier versions had digests only. */
  digest: fingerprintSchema,
  /** Milliseconds until the quarantine ends; 0 ends it. */
  leftMs: durationSchema,
  /** When it may be tried next; left out by earlier versions. */
  trial: v.optional(
    v.object({
      /** Milliseconds between the latest trial and the next. */
      delayMs: durationSchema,
      /** Milliseconds until the next trial. */
      leftMs: durationSchema,
    }),
  ),
});

export type QuarantineNotice = v.InferOutput<typeof quarantineSchema>;

const lostRequestSchema = v.object({
  /** Of the whole request, last, and of its parts. */
  fingerprints: listOf(fingerprintSchema),
  /** Milliseconds for which the target had been answering it. */
  answeredMs: durationSchema,
});
export type LostRequest = v.InferOutput<typeof lostRequestSchema>;

const crashSchema = v.object({
  /** Lifetime of the target that crashed. */
  lifetime: v.string(),
  requests: listOf(lostRequestSchema),
});
export type Crash = v.InferOutput<typeof crashSchema>;

/** Evidence against a fingerprint. */
export const suspectSchema = v.object({
  fingerprint: fingerprintSchema,
  /** Lifetimes that crashed with it, and how many milliseconds ago; oldest first. */
  lifetimes: listOf(v.tuple([v.string(), durationSchema])),
  /** Fingerprints of the whole requests that were lost in them. */
  requests: listOf(v.string()),
  /** Crashes at the same time count once. */
  isSpaced: v.boolean(),
  /** Longest time for which a target had answered it before it crashed. */
  answeredMs: durationSchema,
  specificity: v.number(),
});
export type SuspectState = v.InferOutput<typeof suspectSchema>;

/** Reports crashes and successes of a service to the entry that arbitrates it. */
export const report = rpc.method(
  'crashes.reportService',
  v.object({
    /** RPC address of the caller. */
    from: v.string(),
    service: v.string(),
    crashes: listOf(crashSchema),
    /** Fingerprints of requests that were served. */
    served: listOf(fingerprintSchema),
  }),
  v.object({}),
);
export type Report = Omit<v.InferOutput<typeof report.params>, 'from'>;

/**
 * Tells an entry the evidence of a service, and asks which of the suspects it has
 * seen served since, and how many of its open requests have each.
 */
export const survey = rpc.method(
  'crashes.survey',
  v.object({
    from: v.string(),
    service: v.string(),
    suspects: listOf(suspectSchema),
  }),
  v.object({
    served: listOf(fingerprintSchema),
    /** Those that were served before they became suspects. */
    proven: listOf(fingerprintSchema),
    open: listOf(v.tuple([fingerprintSchema, v.number()])),
  }),
);
export type SurveyAnswer = v.InferOutput<typeof survey.result>;

/**
 * Notifies an entry of quarantined fingerprints, whose requests it must refuse,
 * and of those whose quarantine ends.
 */
export const convict = rpc.method(
  'crashes.convict',
  v.object({
    from: v.string(),
    convicted: listOf(quarantineSchema),
  }),
  v.object({}),
);

/** Asks the arbiter whether the caller may send a quarantined request once. */
export const requestTrial = rpc.method(
  'crashes.trial',
  v.object({from: v.string(), digest: fingerprintSchema}),
  v.object({
    isGranted: v.boolean(),
    /** Milliseconds until the next trial may be granted. */
    nextMs: durationSchema,
  }),
);

/** What a process that starts must know before it sends its first request. */
export const state = rpc.method(
  'crashes.state',
  v.object({from: v.string()}),
  v.object({
    /** False: the answering process has just started itself. */
    isComplete: v.boolean(),
    convicted: listOf(quarantineSchema),
    suspects: listOf(suspectSchema),
  }),
);
