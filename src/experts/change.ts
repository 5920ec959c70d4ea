/**
 * Changing the expert map of a group in lock-step, so that no pass begins
 * with two maps:
 *
 * 1. every rank has copied the new map;
 * 2. one rank holds the group before a pass;
 * 3. every rank is armed to take the map at that pass, the planner's own last;
 * 4. the group is released.
 *
 * Nothing is armed before all have copied, and nothing is released before all
 * are armed. An order that is carried out late says what was meant anyway, or
 * names a pass that has begun, and is refused. Whoever takes over finishes
 * what it finds, in the same direction; only where the former planner's own
 * rank is all that can't be read, and another rank is not armed, it knows that
 * that rank isn't either, and may go back instead.
 *
 * The hold never lies at the planner's own rank: if the planner's instance
 * freezes, another can still release it.
 */
import {Log} from '../observability/log';
import type {ExpertMap, Order, OrderResult, RankState, Ranks} from './types';

/** How a change ended. */
export type ChangeEnd =
  /** Every rank takes the map as the held pass begins. */
  | 'armed'
  /** Nothing was armed; the map in force stays. */
  | 'not-prepared'
  | 'not-held'
  /** The group has formed anew; nothing is left of the change. */
  | 'regrouped'
  /** Another planner goes on. */
  | 'deposed'
  /** Ranks that were armed were disarmed again. */
  | 'backed-out'
  /** The group is held and some ranks do not answer: somebody else must go on. */
  | 'stuck';

/** The change to be made. */
export interface Change {
  readonly epoch: number;
  readonly version: number;
  readonly map: ExpertMap;
  /** Time that the copying should take, in milliseconds. */
  readonly expectedMs: number;
  /** Longest time for it. */
  readonly patienceMs: number;
  /** Passes that will begin while the ranks are being armed. */
  readonly passesAhead: number;
}

/** Tries to hold the group before a pass that has not begun. */
const HOLD_TRIES = 5;
/** Rounds of orders to ranks that have not answered yet. */
const ARM_ROUNDS = 4;

/** Who takes part in a change beside the ranks. */
export interface Parts {
  /** The planner's own rank. */
  readonly own: number;
  /** The rank that holds the group meanwhile; not the planner's. */
  readonly holder: number;
  /** Told how long arming took, in milliseconds. */
  readonly onArmed?: (ms: number) => void;
}

/** Makes a change. */
export async function changeMap(
  ranks: Ranks,
  change: Change,
  {own, holder, onArmed}: Parts,
  log: Log,
): Promise<ChangeEnd> {
  const {epoch, version, map, expectedMs, patienceMs} = change;
  const prepared = await ranks.order(ranks.all, {
    kind: 'prepare',
    epoch,
    version,
    map,
    expectedMs,
    patienceMs,
  });
  if (prepared.includes('deposed')) {
    return 'deposed';
  }
  if (prepared.some(result => result !== 'done')) {
    log.event('mapNotPrepared', {version, results: countOf(prepared)});
    return 'not-prepared';
  }
  const begunAt = performance.now();
  const step = await holdPass(ranks, holder, epoch, change.passesAhead);
  if (step === undefined) {
    return 'not-held';
  }
  const arming = {epoch, version, step, own};
  const end = await armAndRelease(ranks, arming, [holder], log);
  if (end === 'armed') {
    onArmed?.(performance.now() - begunAt);
  }
  return end;
}

/** What has to be armed, and where. */
interface Arming {
  readonly epoch: number;
  readonly version: number;
  readonly step: number;
  /** The planner's own rank, which is armed last. */
  readonly own: number;
}

/** Arms every rank while the group is held, then releases it. */
async function armAndRelease(
  ranks: Ranks,
  arming: Arming,
  holders: readonly number[],
  log: Log,
): Promise<ChangeEnd> {
  const {epoch, version, step, own} = arming;
  const order: Order = {kind: 'arm', epoch, version, step};
  const results: OrderResult[] = ranks.all.map(() => 'no-answer');
  const arm = async (places: readonly number[]) => {
    const ends = await ranks.order(places, order);
    places.forEach((place, at) => (results[place] = ends[at]!));
  };
  for (let round = 0; round < ARM_ROUNDS; round += 1) {
    const open = ranks.all.filter(place => results[place] !== 'done');
    await arm(open.filter(place => place !== own));
    if (results.every((result, place) => result === 'done' || place === own)) {
      await arm([own]);
    }
    if (results.every(result => result === 'done')) {
      await ranks.order(holders, {kind: 'release', epoch, step});
      return 'armed';
    }
    if (results.includes('deposed')) {
      return 'deposed';
    }
    if (results.includes('refused')) {
      return backOut(ranks, arming, holders, log);
    }
  }
  log.event('mapChangeStuck', {version, step, results: countOf(results)});
  return 'stuck';
}

/**
 * A rank has refused to be armed: the group has formed anew, or the rank has
 * lost what it prepared. Only when no rank is armed may the group go on.
 */
async function backOut(
  ranks: Ranks,
  {epoch, version, step}: Arming,
  holders: readonly number[],
  log: Log,
): Promise<ChangeEnd> {
  const states = await ranks.readStates(ranks.all);
  if (states.some(state => state !== undefined && state.epoch !== epoch)) {
    return 'regrouped';
  }
  if (states.every(state => state?.mapVersion === version)) {
    // The pass had begun: every rank took the map.
    return 'armed';
  }
  const order: Order = {kind: 'disarm', epoch, version};
  const results = await ranks.order(ranks.all, order);
  log.event('mapChangeAborted', {version, step, results: countOf(results)});
  if (results.includes('deposed')) {
    return 'deposed';
  }
  if (results.some(result => result !== 'done')) {
    return 'stuck';
  }
  await ranks.order(holders, {kind: 'release', epoch, step});
  return 'backed-out';
}

/**
 * Holds the group before a pass that lies so far ahead that the ranks should
 * be armed by then, and the group need not wait.
 */
async function holdPass(
  ranks: Ranks,
  holder: number,
  epoch: number,
  passesAhead: number,
): Promise<number | undefined> {
  for (let tries = 0; tries < HOLD_TRIES; tries += 1) {
    const [state] = await ranks.readStates([holder]);
    if (state === undefined) {
      return undefined;
    }
    const step = state.step + 1 + passesAhead;
    const [result] = await ranks.order([holder], {kind: 'hold', epoch, step});
    if (result === 'done') {
      return step;
    }
    if (result !== 'refused') {
      // It may be held all the same, or will be.
      await ranks.order([holder], {kind: 'release', epoch, step});
      return undefined;
    }
  }
  return undefined;
}

/**
 * Finishes what an earlier planner left: a held group whose ranks may be
 * armed in part. States are by rank and were read under the new term.
 */
export async function finishChange(
  ranks: Ranks,
  states: readonly RankState[],
  own: number,
  log: Log,
): Promise<ChangeEnd | 'nothing-left'> {
  const epoch = states[0]!.epoch;
  const held = states.flatMap(state => state.held ?? []);
  const armed = states.flatMap(state => state.armed ?? []);
  const isArmedByAll = armed.length === states.length;
  if (held.length === 0 && (armed.length === 0 || isArmedByAll)) {
    return 'nothing-left';
  }
  const step = armed[0]?.step ?? Math.min(...held);
  const version = armed[0]?.version ?? commonPrepared(states);
  log.event('mapChangeRecovered', {version, step, armed: armed.length});
  const holders = states.flatMap((state, at) =>
    state.held === step ? [at] : [],
  );
  if (held.length === 0) {
    // Armed in part and not held: hold it before anything else.
    const holder = own === 0 ? states.length - 1 : 0;
    const [result] = await ranks.order([holder], {kind: 'hold', epoch, step});
    if (result !== 'done') {
      return 'not-held';
    }
    holders.push(holder);
  }
  if (version === undefined) {
    await releaseAll(ranks, states);
    return 'not-prepared';
  }
  const arming = {epoch, version, step, own};
  const end = await armAndRelease(ranks, arming, holders, log);
  if (end === 'armed') {
    await releaseAll(ranks, states);
  }
  return end;
}

/**
 * Goes back from a change whose planner is silent together with its own rank,
 * the only one that is not among the states. That rank is armed last: where
 * another is not armed, it isn't either. False where that can't be told.
 */
export async function undoWithoutPlanner(
  ranks: Ranks,
  states: readonly RankState[],
  log: Log,
): Promise<boolean> {
  const held = states.flatMap(state => state.held ?? []);
  if (held.length === 0) {
    return true;
  }
  const armed = states.flatMap(state => state.armed ?? []);
  if (armed.length === states.length) {
    return false;
  }
  const places = states.map(state => state.rank);
  const {epoch} = states[0]!;
  const versions = new Set(armed.map(one => one.version));
  const results = await Promise.all(
    [...versions].map(version =>
      ranks.order(places, {kind: 'disarm', epoch, version}),
    ),
  );
  log.event('mapChangeAborted', {
    held: held[0],
    results: countOf(results.flat()),
  });
  if (results.flat().some(result => result !== 'done')) {
    return false;
  }
  await releaseAll(ranks, states);
  return true;
}

/** The version that every rank has prepared; nothing is armed before that. */
function commonPrepared(states: readonly RankState[]): number | undefined {
  const version = states[0]!.prepared;
  const isCommon = states.every(state => state.prepared === version);
  return version !== null && isCommon ? version : undefined;
}

/** Releases every hold that the states show. */
async function releaseAll(
  ranks: Ranks,
  states: readonly RankState[],
): Promise<void> {
  await Promise.all(
    states.map(async ({epoch, rank, held: step}) => {
      if (step !== null) {
        await ranks.order([rank], {kind: 'release', epoch, step});
      }
    }),
  );
}

function countOf(results: readonly OrderResult[]): Record<string, number> {
  const counts: Record<string, number> = {};
  results.forEach(result => {
    counts[result] = (counts[result] ?? 0) + 1;
  });
  return counts;
}
