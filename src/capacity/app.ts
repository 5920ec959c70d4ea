/** RPC between entries that share the capacity of pools. */
import * as v from 'valibot';
import * as rpc from '../rpc/types';
import {MAX_POOLS} from './timing';
import {demandLineSchema} from './types';

/** Demand lines of one entry and pool in a report. */
export const MAX_LINES = 64;
/** Processes named to a caller: the allocator and those next in order. */
export const VIEW_SIZE = 3;
const MAX_NAME_CHARS = 512;

const amount = v.pipe(v.number(), v.minValue(0));
const count = v.pipe(v.number(), v.integer(), v.minValue(0));
const name = v.pipe(v.string(), v.maxLength(MAX_NAME_CHARS));

const viewEntries = {
  /** RPC addresses of the allocator and its successors, as seen by the callee. */
  order: v.pipe(v.array(name), v.minLength(1), v.maxLength(VIEW_SIZE)),
  /** Addresses among the first in the order that do not respond. */
  silent: v.pipe(v.array(name), v.maxLength(VIEW_SIZE)),
};

/** An entry's report about a pool. */
export const poolReportSchema = v.object({
  pool: name,
  /** Increases with each report of the process. */
  sequence: count,
  /** Concurrent requests of all entries, as known to the entry. */
  capacity: amount,
  /** Requests that the entry may have in flight at the moment. */
  held: count,
  lines: v.pipe(v.array(demandLineSchema), v.maxLength(MAX_LINES)),
  /** The entry doesn't consider the pool short any more. */
  isLast: v.boolean(),
});
export type PoolReport = v.InferOutput<typeof poolReportSchema>;

/** A share of a pool. */
export const shareGrantSchema = v.object({
  /** Concurrent requests. */
  share: count,
  /** All entries together have demand for much of the pool. */
  isShort: v.boolean(),
  /** Milliseconds until the next report. */
  waitMs: amount,
});
export type ShareGrant = v.InferOutput<typeof shareGrantSchema>;

const reportParams = v.object({
  /** RPC address of the reporting entry. */
  from: name,
  /** Changes with each start of the entry's process. */
  incarnation: name,
  /** Sent on by an entry that the reporting one has called. */
  isRelayed: v.boolean(),
  reports: v.pipe(v.array(poolReportSchema), v.maxLength(MAX_POOLS)),
});
export type ReportParams = v.InferOutput<typeof reportParams>;

/** Reports demand for pools and requests shares of them. */
export const report = rpc.method(
  'capacity.report',
  reportParams,
  v.object({
    /** In the order of the reports. */
    answers: v.array(
      v.object({
        ...viewEntries,
        /** Null if the callee found no allocator. */
        grant: v.nullable(shareGrantSchema),
        /** The grant comes from an allocator that the callee has called. */
        isRelayed: v.boolean(),
      }),
    ),
  }),
);

/** Announces the allocator of pools that are short. */
export const announce = rpc.method(
  'capacity.announce',
  v.object({
    /** RPC address of the allocator. */
    from: name,
    pools: v.pipe(v.array(name), v.maxLength(MAX_POOLS)),
  }),
  v.object({
    /** In the order of the pools. */
    answers: v.array(
      v.object({
        ...viewEntries,
        /** Requests that the callee may have in flight; 0 without demand. */
        held: count,
      }),
    ),
  }),
);
