/**
 * Ranks: positions in the order of requests by effective priority (the account's,
 * else the route's) and, where that is equal, by the route's. Pure.
 */

/** Route priorities that ranks tell apart; lower ones are equal. */
const ROUTE_PRIORITIES = 1_000;
/** Precedes all others: a stream that has begun. */
export const STARTED_RANK = -1;

/** Whole numbers, as the sharing of capacity requires; 0 is the highest. */
export function rankFrom(effective: number, ofRoute: number): number {
  const own = Math.min(ofRoute, ROUTE_PRIORITIES - 1);
  return Math.floor(effective) * ROUTE_PRIORITIES + Math.floor(own);
}

/** For logs: the effective priority, with the route's where that differs. */
export function nameOf(rank: number): string {
  if (rank === STARTED_RANK) {
    return 'resumed';
  }
  const effective = Math.floor(rank / ROUTE_PRIORITIES);
  const ofRoute = rank % ROUTE_PRIORITIES;
  return effective === ofRoute ? `${effective}` : `${effective}/${ofRoute}`;
}
