/**
 * Groups of ranks that run in lock-step on one expert map, and the engine's
 * interface to a rank. See `agreement` for how a map changes.
 */
import * as v from 'valibot';

const whole = v.pipe(v.number(), v.integer(), v.minValue(0));

/** By layer, by expert: the ranks that hold it. */
export const expertMapSchema = v.object({
  version: whole,
  layers: v.array(v.array(v.array(whole))),
});
export type ExpertMap = v.InferOutput<typeof expertMapSchema>;

/**
 * Orders who may order: compared part by part. `lease` is the version of the
 * store's lease object; `ballot` and `rank` let the ranks finish a change
 * among themselves while the store is down.
 */
export const fenceSchema = v.object({
  lease: whole,
  ballot: whole,
  rank: whole,
});
export type Fence = v.InferOutput<typeof fenceSchema>;

export const NO_FENCE: Fence = {lease: 0, ballot: 0, rank: 0};

/** Negative, zero or positive, as `a` is lower than, equal to or above `b`. */
export function compareFences(a: Fence, b: Fence): number {
  return a.lease - b.lease || a.ballot - b.ballot || a.rank - b.rank;
}

/** A change from the map in force to another, at one step. */
export const mapChangeSchema = v.object({
  id: v.string(),
  /** Life of the group in which the change was begun. */
  generation: whole,
  from: whole,
  step: whole,
  map: expertMapSchema,
});
export type MapChange = v.InferOutput<typeof mapChangeSchema>;

/** A rank's side of a change, as its sidecar answers for it. */
export const rankAnswerSchema = v.object({
  rank: whole,
  /** Life of the sidecar that answers. */
  incarnation: v.string(),
  generation: whole,
  step: whole,
  stepMs: v.number(),
  version: v.nullable(whole),
  fence: fenceSchema,
  state: v.picklist(['none', 'armed', 'committed', 'aborted']),
});
export type RankAnswer = v.InferOutput<typeof rankAnswerSchema>;

/** Why a rank did not do as it was told. */
export type OrderRefusal =
  | 'old-fence'
  | 'other-incarnation'
  | 'other-generation'
  | 'already-aborted'
  | 'not-armed'
  | 'too-late'
  | 'engine-silent'
  | 'engine-refused';

/** What an engine tells of one of its ranks. */
export const engineRankSchema = v.object({
  rank: whole,
  ranks: whole,
  generation: whole,
  /** The next step that the rank will run. */
  step: whole,
  /** Map in force; null: the group has re-formed and waits for one. */
  version: v.nullable(whole),
  staged: v.array(whole),
  hold: v.nullable(v.object({step: whole, change: mapChangeSchema})),
  /** A switch that has been ordered and not yet been reached. */
  next: v.nullable(v.object({step: whole, version: whole})),
  /** Highest fence that the engine has seen; null: it checks none. */
  fence: v.nullable(fenceSchema),
  stepMs: v.number(),
  rankMs: v.number(),
  /** Tokens routed to each expert, by layer, since the rank started. */
  counts: v.array(v.array(v.number())),
  running: whole,
  maxRunning: whole,
  prefillTokens: whole,
});
export type EngineRank = v.InferOutput<typeof engineRankSchema>;
