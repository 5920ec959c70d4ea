/** Time constants on which entries and the allocator of a pool must agree. */

/** Between two reports of an entry about a pool that is short. */
export const REPORT_INTERVAL_MS = 200;
/** Minimum time between two reports about a pool. */
export const MIN_REPORT_INTERVAL_MS = 50;
/** Validity of a share, from when the entry sent its report. */
export const LEASE_MS = 1_000;
/**
 * A new allocator hands out no more than entries hold or an equal part for this
 * long: it covers leases of the former one and the call to it.
 */
export const HANDOVER_MS = 1_500;
/** How long an entry goes on using its last share after the lease has expired. */
export const FALLBACK_MS = 2_000;
/** A pool counts as short for this long after a share was granted there. */
export const SHORT_MS = 2_000;
/** Between two announcements of the allocator to an entry that doesn't report. */
export const ANNOUNCE_INTERVAL_MS = 1_000;
/** A pool is short if more than this part of its capacity is in demand. */
export const SHORT_SHARE = 0.6;
/** Pools of which a process keeps state. */
export const MAX_POOLS = 64;
