/**
 * Streams on ranks that have turned slow. All ranks of a group make each pass
 * together, so the work of a slow rank's own requests lengthens the passes of
 * everybody's, until all of the group's streams miss their time. So such streams
 * go on at other ranks, where that is allowed. Pure.
 */
import type {GroupView} from '../experts/types';

/**
 * Slowness from which on a stream is moved. It costs the prompt to be read
 * once more, about a pass, and a retry; at twice the usual time the passes of
 * all are longer by more than that within a few.
 */
const MIN_MOVE_SLOWNESS = 2;

/** True where a stream on a rank should go on at another one. */
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
  let places = 0;
  view.requests.forEach((count, at) => {
    requests += count;
    places += isSlow(at) ? 0 : slots;
  });
  // Where the others have no room, it would only wait there.
  return requests <= places;
}
