/**
 * At most once without a store write per request.
 *
 * A caller's key is a UUIDv7. Its random bits choose a slot of the service,
 * its minting time chooses a cell of that slot, and each cell is owned by
 * one incarnation of one sidecar, for good. Cells of a slot never overlap,
 * since the slot changes only by conditional update of one store object.
 */
import * as v from 'valibot';
import {addressSchema} from '../http/address';

/** Key prefix of the slots in the platform's store. */
export const CLAIMS_PREFIX = 'claims/';

const timeSchema = v.pipe(v.number(), v.integer(), v.minValue(0));

/**
 * A process's wall clock tied to the boot's monotonic one, so that a later
 * process of the same boot can tell exactly what the former would read.
 */
export const clockAnchorSchema = v.object({
  wallMs: timeSchema,
  monotonicMs: v.pipe(v.number(), v.minValue(0)),
});
export type ClockAnchor = v.InferOutput<typeof clockAnchorSchema>;

/** One life of one sidecar process. */
export const ownerSchema = v.object({
  incarnation: v.string(),
  targetId: v.string(),
  address: addressSchema,
  bootId: v.string(),
  anchor: clockAnchorSchema,
  /** The greatest lead of minting time that this owner ever accepts. */
  leadMs: timeSchema,
});
export type Owner = v.InferOutput<typeof ownerSchema>;

/** Minting times [from, until) in Unix milliseconds, and who owns them. */
export const cellSchema = v.object({
  from: timeSchema,
  until: timeSchema,
  owner: ownerSchema,
});
export type Cell = v.InferOutput<typeof cellSchema>;

/** A slot: its cells in order of time. */
export const slotSchema = v.object({cells: v.array(cellSchema)});
export type Slot = v.InferOutput<typeof slotSchema>;

/** Where a slot lies in the store. */
export function slotStoreKey(service: string, slot: number): string {
  return `${slotStorePrefix(service)}${String(slot).padStart(4, '0')}`;
}

export function slotStorePrefix(service: string): string {
  return `${CLAIMS_PREFIX}${service}/`;
}

/** The slot's number in a store key. */
export function slotOfStoreKey(key: string): number {
  return Number(key.slice(key.lastIndexOf('/') + 1));
}
