/**
 * Asks the sidecars of a group that has just become known for its state:
 * requests wait for it.
 */
import * as random from '../random';
import {UNKNOWN_MS} from './group-gate';
import type {Target} from './types';

/** Time after which another sidecar is asked as well. */
const OTHER_SIDECAR_MS = 150;
/** Minimum time between calls, where sidecars refuse connections. */
const MIN_INTERVAL_MS = 20;

/** Times of a call of a sidecar. */
export interface CallTimes {
  /** For which the sidecar waits for a change. */
  readonly waitMs: number;
  readonly timeoutMs: number;
}

/** The first call; a response after another sidecar was asked still counts. */
export const CALL: CallTimes = {waitMs: 0, timeoutMs: UNKNOWN_MS};

/** What a sidecar's response contained; the state is whether the group is open. */
export type PollResult = 'state' | 'view' | 'none';

/**
 * Asks each sidecar at most once until one has given the state or requests no
 * longer wait for it. `poll` applies the response, unless the signal was aborted.
 */
export async function request(
  ranks: () => readonly Target[],
  hall: string,
  poll: (rank: Target, signal: AbortSignal) => Promise<PollResult>,
): Promise<void> {
  const endsAt = performance.now() + UNKNOWN_MS;
  const asked: Target[] = [];
  const ending = new AbortController();
  const {signal} = ending;
  const ended = new Promise(resolve =>
    signal.addEventListener('abort', resolve, {once: true}),
  );
  const ask = async (rank: Target) => {
    if ((await poll(rank, signal)) === 'state') {
      ending.abort();
    }
  };
  while (!signal.aborted && performance.now() < endsAt) {
    const rank = nextOf(ranks(), asked, hall);
    if (rank === undefined) {
      return;
    }
    asked.push(rank);
    const response = Promise.race([ended, ask(rank), pause(OTHER_SIDECAR_MS)]);
    await Promise.all([response, pause(MIN_INTERVAL_MS)]);
  }
  ending.abort();
}

/**
 * The first one at random, in the own hall if possible; then those that follow
 * it, one in another hall first, since a hall may be cut off.
 */
function nextOf(
  ranks: readonly Target[],
  asked: readonly Target[],
  hall: string,
): Target | undefined {
  const [first] = asked;
  if (first === undefined) {
    const near = ranks.filter(rank => rank.hall === hall);
    const candidates = near.length > 0 ? near : ranks;
    return candidates.length > 0 ? random.pick(candidates) : undefined;
  }
  const at = ranks.findIndex(({id}) => id === first.id) + 1;
  const left = [...ranks.slice(at), ...ranks.slice(0, at)].filter(
    rank => !asked.some(({lifetime}) => lifetime === rank.lifetime),
  );
  const isNewHall = (rank: Target) =>
    !asked.some(one => one.hall === rank.hall);
  return left.find(isNewHall) ?? left[0];
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
