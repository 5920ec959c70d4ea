/**
 * Types of groups of ranks that run in lock-step on one expert map, and of the
 * engine's interface to a rank.
 */
import * as v from 'valibot';

const whole = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Indexed by layer, then by expert: the ranks that hold the expert. */
export const expertMapSchema = v.object({
  version: whole,
  layers: v.array(v.array(v.array(whole))),
});
export type ExpertMap = v.InferOutput<typeof expertMapSchema>;

/**
 * Fencing token of a leader, compared part by part. `lease` is the version of the
 * stored lease object; `ballot` and `rank` let the ranks finish a change while the
 * store is unavailable.
 */
export const fenceSchema = v.object({
  lease: whole,
  ballot: whole,
  rank: whole,
});
export type Fence = v.InferOutput<typeof fenceSchema>;

export const NO_FENCE: Fence = {lease: 0, ballot: 0, rank: 0};

export function compareFences(a: Fence, b: Fence): number {
  return a.lease - b.lease || a.ballot - b.ballot || a.rank - b.rank;
}

/** A change of the current map, taking effect at one step. */
export const mapChangeSchema = v.object({
  id: v.string(),
  /** Generation of the group in which the change was started. */
  generation: whole,
  from: whole,
  step: whole,
  map: expertMapSchema,
});
export type MapChange = v.InferOutput<typeof mapChangeSchema>;

/** State of a rank and of a change on it, as its sidecar reports it. */
export const rankAnswerSchema = v.object({
  rank: whole,
  /** Identifies one run of the sidecar that answers. */
  incarnation: v.string(),
  generation: whole,
  step: whole,
  stepMs: v.number(),
  version: v.nullable(whole),
  fence: fenceSchema,
  state: v.picklist(['none', 'armed', 'committed', 'aborted']),
});
export type RankAnswer = v.InferOutput<typeof rankAnswerSchema>;

/** Why a rank refused an order. */
export type OrderRefusal =
  | 'old-fence'
  | 'other-incarnation'
  | 'other-generation'
  | 'already-aborted'
  | 'not-armed'
  | 'too-late'
  | 'engine-silent'
  | 'engine-refused';

/** The engine's report on one of its ranks. */
export const engineRankSchema = v.object({
  rank: whole,
  ranks: whole,
  generation: whole,
  /** Next step to be run by the rank. */
  step: whole,
  /** Current map; null if the group has re-formed and has none yet. */
  version: v.nullable(whole),
  staged: v.array(whole),
  hold: v.nullable(v.object({step: whole, change: mapChangeSchema})),
  /** A switch that was ordered and whose step is not reached yet. */
  next: v.nullable(v.object({step: whole, version: whole})),
  /** Highest fence seen by the engine; null if it checks no fences. */
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
