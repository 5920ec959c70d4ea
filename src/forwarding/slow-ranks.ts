/**
 * Decides whether a stream should move off a slow rank. All ranks of a group
 * make each pass together, so requests on a slow rank delay all streams of the
 * group. Pure.
 */
import type {GroupView} from '../experts/types';

/**
 * Minimum actual over expected duration of a rank's work to move its streams. A
 * move costs a second prefill, about a pass, and a retry; a rank at twice its
 * usual time lengthens the passes of all by more than that within a few passes.
 */
const MIN_MOVE_SLOWNESS = 2;

/** True if a stream on a rank should resume at another one. */
export function shouldMove(
  view: GroupView,
  rank: number | undefined,
  slots: number,
): boolean {
  const isSlow = (at: number) =>
    view.slow.some(one => one.rank === at && one.slowness >= MIN_MOVE_SLOWNESS);
  if (rank === undefined || !isSlow(rank)) {
    return false;
  }
  let requests = 0;
  let availableSlots = 0;
  view.requests.forEach((count, at) => {
    requests += count;
    availableSlots += isSlow(at) ? 0 : slots;
  });
  // Without free slots elsewhere the stream would only queue there.
  return requests <= availableSlots;
}
