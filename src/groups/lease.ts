/**
 * Fences of a group's leaders. To lead, a sidecar writes the group's lease object;
 * the version that the store assigns to the write is the fence. Leases do not
 * expire and are not renewed: the next leader writes the object again.
 */
import * as v from 'valibot';
import type {ObjectApi} from '../platform/client';
import * as types from './types';

export const LEASES_PREFIX = 'leases/';

const leaseSchema = v.object({holder: v.string(), nonce: v.string()});

/** Null if the store does not answer or another sidecar wrote first. */
export async function acquireFence(
  store: ObjectApi,
  group: string,
  rank: number,
  holder: string,
  nonce: string,
): Promise<types.Fence | null> {
  const key = LEASES_PREFIX + group;
  const current = await store.get(key);
  if (!current.ok) {
    return null;
  }
  const lease = {holder, nonce};
  const written = await store.put(key, lease, current.value?.version ?? 0);
  if (written.ok) {
    return {lease: written.value, ballot: 0, rank};
  }
  if (written.error.kind !== 'unavailable' || !written.error.maybeApplied) {
    return null;
  }
  // The answer was lost: the nonce shows whether the write was applied.
  const read = await store.get(key);
  const parsed = v.safeParse(
    leaseSchema,
    read.ok ? read.value?.value : undefined,
  );
  return read.ok && parsed.success && parsed.output.nonce === nonce
    ? {lease: read.value!.version, ballot: 0, rank}
    : null;
}

/**
 * The fence of a rank that finishes a change without the store: higher than
 * `highest` and unique to the rank.
 */
export function nextBallot(highest: types.Fence, rank: number): types.Fence {
  return {lease: highest.lease, ballot: highest.ballot + 1, rank};
}
