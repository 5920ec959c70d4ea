/**
 * Stored types of key ownership: at-most-once execution without a store write
 * per request.
 *
 * A request key is a UUIDv7. Its random bits select a slot of the service; its
 * minting time selects a cell, an interval of minting times within the slot.
 * One incarnation of one sidecar owns each cell until it hands the cell over.
 * Cells of a slot never overlap, because a slot is one store object that
 * changes only by conditional update.
 */
import * as v from 'valibot';
import {addressSchema} from '../http/address';

/** Prefix of the slots' store keys. */
export const CLAIMS_PREFIX = 'claims/';

const timeSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

/**
 * One reading of a process's wall clock and of the boot's monotonic clock. A
 * later process of the same boot computes from it what that wall clock reads.
 */
export const clockAnchorSchema = v.object({
  wallMs: timeSchema,
  monotonicMs: v.pipe(v.number(), v.minValue(0)),
});
export type ClockAnchor = v.InferOutput<typeof clockAnchorSchema>;

/** One incarnation (process lifetime) of a sidecar. */
export const ownerSchema = v.object({
  incarnation: v.string(),
  targetId: v.string(),
  address: addressSchema,
  bootId: v.string(),
  anchor: clockAnchorSchema,
  /** Furthest ahead of its clock that this owner accepts a minting time. */
  leadMs: timeSchema,
});
export type Owner = v.InferOutput<typeof ownerSchema>;

/** The minting times [from, until), Unix milliseconds, and their owner. */
export const cellSchema = v.object({
  from: timeSchema,
  until: timeSchema,
  owner: ownerSchema,
});
export type Cell = v.InferOutput<typeof cellSchema>;

/** A slot's cells, in order of time. */
export const slotSchema = v.object({cells: v.array(cellSchema)});
export type Slot = v.InferOutput<typeof slotSchema>;

export function slotStoreKey(service: string, slot: number): string {
  return `${slotStorePrefix(service)}${String(slot).padStart(4, '0')}`;
}

export function slotStorePrefix(service: string): string {
  return `${CLAIMS_PREFIX}${service}/`;
}

/** The slot number in a store key; not validated. */
export function slotOfStoreKey(key: string): number {
  return Number(key.slice(key.lastIndexOf('/') + 1));
}
