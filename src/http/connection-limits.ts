/** Limits on what the connections of a server may hold. */
import * as v from 'valibot';

const count = v.pipe(v.number(), v.integer(), v.minValue(1));

export const connectionLimitsSchema = v.object({
  /** Open connections, also limited by the descriptors of the process. */
  maxConnections: v.optional(count, 20_000),
  /** Requests of one connection that are handled at once. */
  maxConcurrentRequests: v.optional(count, 16),
  /** Parsed requests of one connection that wait for earlier ones. */
  maxWaitingRequests: v.optional(count, 1_024),
  /** Header fields of a request. */
  maxHeaderFields: v.optional(count, 256),
});
export type ConnectionLimits = Readonly<
  v.InferOutput<typeof connectionLimitsSchema>
>;

export const DEFAULT_LIMITS: ConnectionLimits = v.parse(
  connectionLimitsSchema,
  {},
);

/** Why a connection was closed by this process. */
export type CloseReason =
  /** It held the most while the process held too much. */
  | 'memory'
  /** Too many of its requests waited. */
  | 'requests-ahead'
  /** A request had too many header fields. */
  | 'header-fields'
  /** It was idle for longest while a new connection arrived. */
  | 'idle'
  /** No connection was idle when it arrived. */
  | 'connections'
  /** The rest of a refused request went on for too long. */
  | 'refused-body';
