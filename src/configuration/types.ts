/** Templates, client accounts, and accounts rendered with their templates. */
import * as v from 'valibot';

/** Key prefix of all configuration objects in the platform's store. */
export const CONFIGURATION_PREFIX = 'config/';

const nameSchema = v.pipe(
  v.string(),
  v.regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'a name of a-z, 0-9 and -'),
);
const milliseconds = (min: number, max: number) =>
  v.pipe(
    v.number(),
    v.integer(),
    v.minValue(min, `at least ${min} ms`),
    v.maxValue(max, `at most ${max} ms`),
  );
const count = (min: number, max: number) =>
  v.pipe(
    v.number(),
    v.integer(),
    v.minValue(min, `at least ${min}`),
    v.maxValue(max, `at most ${max}`),
  );
const quantity = (min: number, max: number) =>
  v.pipe(
    v.number(),
    v.minValue(min, `at least ${min}`),
    v.maxValue(max, `at most ${max}`),
  );

/** A number that accounts may set, within the template's bounds. */
const parameterSchema = v.pipe(
  v.strictObject({
    default: v.number(),
    min: v.number(),
    max: v.number(),
  }),
  v.check(
    p => p.min <= p.default && p.default <= p.max,
    'the default lies between min and max',
  ),
);

/** Names of the parameters that a client account may set. */
export const PARAMETER_NAMES = [
  'weight',
  'requestsPerSecond',
  'burst',
  'concurrent',
  'timeoutMs',
] as const;
export type ParameterName = (typeof PARAMETER_NAMES)[number];

const parametersSchema = v.strictObject({
  weight: parameterSchema,
  requestsPerSecond: parameterSchema,
  burst: parameterSchema,
  concurrent: parameterSchema,
  timeoutMs: parameterSchema,
});

/** A class of requests; lower priority numbers are served first. */
const classSchema = v.strictObject({
  priority: count(0, 9),
  timeoutMs: milliseconds(10, 600_000),
});

const repeatableSchema = v.strictObject({
  method: v.picklist(['GET', 'HEAD', 'PUT', 'POST', 'DELETE', 'PATCH']),
  path: v.pipe(v.string(), v.startsWith('/')),
});

/** A service other than a model; calls not listed as repeatable need a key. */
export const serviceSchema = v.strictObject({
  repeatable: v.array(repeatableSchema),
  timeoutMs: milliseconds(10, 600_000),
  slots: count(1, 1024),
  termMs: milliseconds(1_000, 86_400_000),
  retentionMs: milliseconds(1_000, 7 * 86_400_000),
  maxLeadMs: milliseconds(0, 600_000),
});
export type Service = v.InferOutput<typeof serviceSchema>;

const modelSchema = v.strictObject({
  class: nameSchema,
  resumeGraceMs: milliseconds(0, 600_000),
});

const routingSchema = v.strictObject({
  subset: count(2, 256),
  hallMs: quantity(0, 1_000),
  retryShare: quantity(0, 1),
  maxEjectedShare: quantity(0, 1),
});
export type Routing = v.InferOutput<typeof routingSchema>;

const placementSchema = v.strictObject({
  skewWeight: quantity(0, 1_000),
  moveWeight: quantity(0, 1_000),
  horizonMs: milliseconds(1_000, 86_400_000),
  periodMs: milliseconds(1_000, 86_400_000),
});
export type PlacementSettings = v.InferOutput<typeof placementSchema>;

/** What an operator writes for a site. */
export const templateSchema = v.pipe(
  v.strictObject({
    kind: v.literal('template'),
    name: nameSchema,
    classes: v.record(nameSchema, classSchema),
    models: v.record(nameSchema, modelSchema),
    services: v.record(nameSchema, serviceSchema),
    parameters: parametersSchema,
    routing: routingSchema,
    placement: placementSchema,
  }),
  v.forward(
    v.check(
      template =>
        Object.values(template.models).every(
          model => template.classes[model.class] !== undefined,
        ),
      'every model names one of the classes',
    ),
    ['models'],
  ),
);
export type Template = v.InferOutput<typeof templateSchema>;

/** What an operator writes for a client account. */
export const accountSchema = v.strictObject({
  kind: v.literal('account'),
  id: nameSchema,
  template: nameSchema,
  keyDigests: v.array(
    v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/, 'a SHA-256 digest in hex')),
  ),
  parameters: v.partial(
    v.strictObject({
      weight: v.number(),
      requestsPerSecond: v.number(),
      burst: v.number(),
      concurrent: v.number(),
      timeoutMs: v.number(),
    }),
  ),
});
export type Account = v.InferOutput<typeof accountSchema>;

/** A configuration file or object. */
export const documentSchema = v.variant('kind', [
  templateSchema,
  accountSchema,
]);
export type Document = v.InferOutput<typeof documentSchema>;

export const MAX_HISTORY_CHANGES = 20;

/** An object in the store: a document and the change that wrote it. */
export const changeSchema = v.object({
  changeId: v.string(),
  author: v.string(),
  at: v.string(),
  document: documentSchema,
  /** The changes before this one, newest first. */
  former: v.optional(
    v.array(
      v.object({changeId: v.string(), author: v.string(), at: v.string()}),
    ),
    [],
  ),
});
export type Change = v.InferOutput<typeof changeSchema>;

/** A client account with its template applied. */
export interface RenderedAccount {
  readonly id: string;
  readonly template: Template;
  readonly keyDigests: readonly string[];
  readonly parameters: Readonly<Record<ParameterName, number>>;
}

/** A document's key in the store. */
export function keyOf(document: Document): string {
  return document.kind === 'template'
    ? templateKey(document.name)
    : accountKey(document.id);
}

export function templateKey(name: string): string {
  return `${CONFIGURATION_PREFIX}templates/${name}`;
}

export function accountKey(id: string): string {
  return `${CONFIGURATION_PREFIX}accounts/${id}`;
}
