/**
 * The page `/queues` of an entry: what waits there and what limits it. Entries
 * write it, and `ferrycleat site queues` reads it.
 */
import * as v from 'valibot';

export const QUEUES_PATH = '/queues';
export const MAX_PAGE_BYTES = 64 * 1024;
/** Accounts listed by name; the other ones are combined. */
export const MAX_ACCOUNTS = 64;

const count = v.pipe(v.number(), v.integer(), v.minValue(0));
const counts = v.record(v.string(), count);

const lineSchema = v.object({
  /** 0 is the highest. */
  priority: v.number(),
  /** Empty: requests without an account. */
  account: v.string(),
  waiting: count,
  oldestMs: v.number(),
});

const poolSchema = v.object({
  pool: v.string(),
  /** Requests that this entry may have in flight; null: no limit. */
  share: v.nullable(v.number()),
  /** Requests that this entry has in flight. */
  inFlight: count,
  /** Requests of all entries; null: unlimited or not known. */
  capacity: v.nullable(v.number()),
});

const serviceSchema = v.object({
  service: v.string(),
  waiting: count,
  lines: v.array(lineSchema),
  /** Starts of the last second by priority. */
  starts: counts,
  /** Refusals of the last 10 s by reason. */
  refusals: counts,
  pools: v.array(poolSchema),
});
export type ServiceReport = v.InferOutput<typeof serviceSchema>;

export const queuesPageSchema = v.object({
  entry: v.string(),
  services: v.array(serviceSchema),
  /** Services that the page has no room for. */
  omittedServices: count,
  /** Weights of accounts in force; all others have 1. */
  weights: v.record(v.string(), v.number()),
  /** Accounts with a weight that are not listed. */
  omittedWeights: count,
  floorShare: v.number(),
});
export type QueuesPage = v.InferOutput<typeof queuesPageSchema>;

/** How much a page lists. */
export interface PageBounds {
  readonly accounts: number;
  readonly services: number;
}

/**
 * The page as JSON of at most `MAX_PAGE_BYTES`: halves the accounts, then the
 * services, until it fits.
 */
export function formatWithinBound(
  makePage: (bounds: PageBounds) => QueuesPage,
  serviceCount: number,
): string {
  let bounds = {accounts: MAX_ACCOUNTS, services: serviceCount};
  let text = JSON.stringify(makePage(bounds));
  while (
    Buffer.byteLength(text) > MAX_PAGE_BYTES &&
    bounds.accounts + bounds.services > 0
  ) {
    const {accounts, services} = bounds;
    bounds =
      accounts > 0
        ? {accounts: Math.floor(accounts / 2), services}
        : {accounts, services: Math.floor(services / 2)};
    text = JSON.stringify(makePage(bounds));
  }
  return text;
}
