/**
 * Changing the expert map of a group in lock-step, so that no pass begins
 * with two maps:
 *
 * 1. every rank has copied the new map, ordered by its own sidecar;
 * 2. one rank holds the group before a pass, ordered by another's sidecar;
 * 3. the planner's own rank is armed to take the map at that pass, by the same
 *    sidecar, which remembers it;
 * 4. all other ranks are armed from instances that are not their own, those
 *    of a few ranks first, whose sidecars then help with the rest;
 * 5. the group is released.
 *
 * Nothing is armed before all have copied, and nothing is released before all
 * are armed. An order that is carried out late says what was meant anyway, or
 * names a pass that has begun, and is refused. A change that is given up is
 * made void first: ranks prepare the map in force once more under a newer
 * version, after which nothing can arm them for the one that was given up. A
 * pass whose hold or release got no answer is not held again: a release that
 * comes late would let the group go.
 *
 * An instance may freeze with its rank out of reach while that rank goes on
 * making passes. So nobody gives an order that only the rank beside it could
 * tell of: who takes over from a planner that is silent can read all ranks but
 * the planner's own, and a helper tells of that one. Then the change is
 * finished where the planner's rank is armed for certain, and given up where
 * it is certain that it isn't.
 */
import {Log} from '../observability/log';
import type {
  ExpertMap,
  Order,
  OrderResult,
  RankReading,
  RankState,
  Ranks,
  VersionedMap,
} from './types';

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
  /** The map in force; its ranks have nothing to copy for it. */
  readonly former: VersionedMap;
  /** Time that the copying should take, in milliseconds. */
  readonly expectedMs: number;
  /** Longest time for it. */
  readonly patienceMs: number;
  /** Passes that will begin while the ranks are being armed, from now. */
  passesAhead(): number;
}

/** What planners carry from one change to the next. */
export interface ChangeTrace {
  /** No pass up to this one is held again. */
  spentStep: number;
  /** Milliseconds that arming took, where it came to an end. */
  armMs: number | undefined;
}

/** Tries to hold the group before a pass that has not begun. */
const HOLD_TRIES = 5;
/** Time for a copy that moves nothing, in milliseconds. */
const VOID_PATIENCE_MS = 200;
/** Rounds of orders to ranks that have not answered yet. */
const ARM_ROUNDS = 4;

/** Who takes part in a change beside the ranks. */
export interface Parts {
  /** The planner's own rank. */
  readonly own: number;
  /** The rank that holds the group meanwhile; not the planner's. */
  readonly holder: number;
  /** The rank whose sidecar arms the planner's; neither of the two. */
  readonly helper: number;
}

/** Makes a change. */
export async function changeMap(
  ranks: Ranks,
  change: Change,
  {own, holder, helper}: Parts,
  trace: ChangeTrace,
  log: Log,
): Promise<ChangeEnd> {
  const {epoch, version, map, former, expectedMs, patienceMs} = change;
  const prepared = await ranks.order(ranks.all, {
    kind: 'prepare',
    epoch,
    version,
    map,
    base: former,
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
  const passesAhead = () => change.passesAhead();
  const hold = {own, holder, helper, epoch, passesAhead};
  const step = await holdPass(ranks, hold, trace);
  if (step === undefined) {
    return 'not-held';
  }
  const arming = {epoch, version, step, own, helper, former};
  const end = await armAndRelease(ranks, arming, [holder], log);
  trace.armMs = end === 'armed' ? performance.now() - begunAt : undefined;
  return end;
}

/** What has to be armed, and where. */
interface Arming {
  readonly epoch: number;
  readonly version: number;
  readonly step: number;
  /** The planner's own rank, which is armed first, by the helper's sidecar. */
  readonly own: number;
  readonly helper: number;
  /** Undefined where it isn't known; then the change can't be given up. */
  readonly former: VersionedMap | undefined;
}

/**
 * Arms every rank while the group is held, then releases it. Some may be
 * armed `before`, for the same map and pass.
 */
async function armAndRelease(
  ranks: Ranks,
  arming: Arming,
  holders: readonly number[],
  log: Log,
  before: ReadonlySet<number> = new Set(),
): Promise<ChangeEnd> {
  const {epoch, version, step, own, helper} = arming;
  const order: Order = {kind: 'arm', epoch, version, step};
  const first = before.has(own)
    ? 'done'
    : await ranks.orderThrough(helper, own, order);
  switch (first) {
    case 'deposed':
      return 'deposed';
    case 'refused':
      return backOut(ranks, arming, holders, log);
    case 'no-answer':
      return before.size === 0
        ? dropUnarmed(ranks, arming, holders, log)
        : 'stuck';
    case 'done':
  }
  let open = ranks.all.filter(place => place !== own && !before.has(place));
  let ends: OrderResult[] = [];
  for (let round = 0; open.length > 0 && round < ARM_ROUNDS; round += 1) {
    ends = await ranks.orderRemotely(open, order);
    if (ends.includes('refused')) {
      return backOut(ranks, arming, holders, log);
    }
    open = open.filter((_, at) => ends[at] !== 'done');
  }
  if (open.length === 0) {
    await ranks.orderRemotely(holders, {kind: 'release', epoch, step});
    return 'armed';
  }
  log.event('mapChangeStuck', {version, step, results: countOf(ends)});
  return 'stuck';
}

/**
 * The helper is silent, and its rank can't be armed then. Nothing but the
 * planner's own rank may be.
 */
async function dropUnarmed(
  ranks: Ranks,
  arming: Arming,
  holders: readonly number[],
  log: Log,
): Promise<ChangeEnd> {
  const {epoch, version, step, own, helper} = arming;
  const result = await makeVoid(ranks, [own], arming);
  log.event('mapChangeAborted', {version, step, helper, result});
  if (result !== 'done') {
    return result === 'deposed' ? 'deposed' : 'stuck';
  }
  await ranks.orderRemotely(holders, {kind: 'release', epoch, step});
  return 'backed-out';
}

/**
 * A rank has refused to be armed: the group has formed anew, or the rank has
 * lost what it prepared. Only when no rank is armed may the group go on.
 */
async function backOut(
  ranks: Ranks,
  arming: Arming,
  holders: readonly number[],
  log: Log,
): Promise<ChangeEnd> {
  const {epoch, version, step} = arming;
  const states = await ranks.readStates(ranks.all);
  if (states.some(state => state !== undefined && state.epoch !== epoch)) {
    return 'regrouped';
  }
  if (states.every(state => state?.mapVersion === version)) {
    // The pass had begun: every rank took the map.
    return 'armed';
  }
  const result = await makeVoid(ranks, ranks.all, arming);
  log.event('mapChangeAborted', {version, step, result});
  if (result !== 'done') {
    return result === 'deposed' ? 'deposed' : 'stuck';
  }
  await ranks.orderRemotely(holders, {kind: 'release', epoch, step});
  return 'backed-out';
}

/**
 * Disarms ranks, and has them prepare the map in force under a newer version:
 * an order to arm them that is still under way is refused from then on.
 */
async function makeVoid(
  ranks: Ranks,
  places: readonly number[],
  {epoch, version, former}: Pick<Arming, 'epoch' | 'version' | 'former'>,
): Promise<OrderResult> {
  if (former === undefined) {
    return 'refused';
  }
  const disarm: Order = {kind: 'disarm', epoch, version};
  const prepare: Order = {
    kind: 'prepare',
    epoch,
    version: version + 1,
    map: former.map,
    base: former,
    expectedMs: 0,
    patienceMs: VOID_PATIENCE_MS,
  };
  let open = [...places];
  for (let round = 0; round < ARM_ROUNDS; round += 1) {
    const disarmed = await ranks.order(open, disarm);
    const prepared = await ranks.order(open, prepare);
    if ([...disarmed, ...prepared].includes('deposed')) {
      return 'deposed';
    }
    open = open.filter((_, at) => prepared[at] !== 'done');
    if (open.length === 0) {
      return 'done';
    }
  }
  return 'no-answer';
}

/** Where and how far ahead to hold a group. */
interface Hold {
  readonly own: number;
  readonly holder: number;
  readonly helper: number;
  readonly epoch: number;
  passesAhead(): number;
}

/**
 * Holds the group before a pass that lies so far ahead that the ranks should
 * be armed by then, and the group need not wait.
 */
async function holdPass(
  ranks: Ranks,
  {own, holder, helper, epoch, passesAhead}: Hold,
  trace: ChangeTrace,
): Promise<number | undefined> {
  for (let tries = 0; tries < HOLD_TRIES; tries += 1) {
    const [state] = await ranks.readStates([own]);
    if (state === undefined) {
      return undefined;
    }
    const next = state.step + 1 + passesAhead();
    const step = Math.max(next, trace.spentStep + 1);
    trace.spentStep = step;
    const order: Order = {kind: 'hold', epoch, step};
    const result = await ranks.orderThrough(helper, holder, order);
    if (result === 'done') {
      return step;
    }
    if (result !== 'refused') {
      // It may be held all the same, or will be.
      await ranks.orderRemotely([holder], {kind: 'release', epoch, step});
      return undefined;
    }
  }
  return undefined;
}

/**
 * Finishes what an earlier planner left: a held group whose ranks may be
 * armed in part. Readings are by rank, under the new term, and tell the map
 * in force.
 */
export async function finishChange(
  ranks: Ranks,
  readings: readonly RankReading[],
  own: number,
  log: Log,
): Promise<ChangeEnd | 'nothing-left'> {
  const states = readings.map(one => one.state);
  const epoch = states[0]!.epoch;
  const held = states.flatMap(state => state.held ?? []);
  const armed = states.flatMap(state => state.armed ?? []);
  const isArmedByAll = armed.length === states.length;
  if (held.length === 0 && (armed.length === 0 || isArmedByAll)) {
    return 'nothing-left';
  }
  const [first] = armed;
  if (first === undefined) {
    return giveUpUnarmed(ranks, readings, log);
  }
  const {step, version} = first;
  log.event('mapChangeRecovered', {version, step, armed: armed.length});
  const holders = holdersOf(states, step);
  if (holders.length === 0) {
    // Armed in part and not held: hold it before anything else.
    const holder = own === 0 ? states.length - 1 : 0;
    const hold: Order = {kind: 'hold', epoch, step};
    const [result] = await ranks.orderRemotely([holder], hold);
    if (result !== 'done') {
      return 'not-held';
    }
    holders.push(holder);
  }
  const others = ranks.all.filter(place => place !== own);
  const helper =
    others.find(place => !holders.includes(place)) ?? others[0] ?? own;
  const former = mapInForce(readings);
  const arming = {epoch, version, step, own, helper, former};
  const before = new Set(
    states.flatMap(({armed: at, rank}) => (at === null ? [] : [rank])),
  );
  const end = await armAndRelease(ranks, arming, holders, log, before);
  if (end === 'armed') {
    await releaseAll(ranks, states);
  }
  return end;
}

/**
 * A group is held and none of its ranks is armed. Nobody arms them any more
 * but orders that are still under way; those are made void.
 */
async function giveUpUnarmed(
  ranks: Ranks,
  readings: readonly RankReading[],
  log: Log,
): Promise<ChangeEnd> {
  const states = readings.map(one => one.state);
  const {epoch} = states[0]!;
  const version = Math.max(...states.map(state => state.prepared ?? 0));
  const isCertain = readings.every(
    ({gave}) => gave === null || gave?.isConfirmed === true,
  );
  const former = mapInForce(readings);
  const order = {epoch, version, former};
  const result = isCertain ? 'done' : await makeVoid(ranks, ranks.all, order);
  log.event('mapChangeAborted', {version, isCertain, result});
  if (result !== 'done') {
    return result === 'deposed' ? 'deposed' : 'stuck';
  }
  await releaseAll(ranks, states);
  return 'backed-out';
}

/**
 * Releases a hold of a change that ended before anything was armed: the order
 * to hold got no answer, and was carried out after the order to release. True
 * where the readings show nothing else, so that the planner that gave both
 * may go on. Nobody else may judge so.
 */
export async function releaseLateHold(
  ranks: Ranks,
  readings: readonly RankReading[],
  step: number,
): Promise<boolean> {
  const states = readings.map(one => one.state);
  const isLate = states.every(
    ({held, armed}) => armed === null && (held === null || held === step),
  );
  if (isLate) {
    await releaseAll(ranks, states);
  }
  return isLate;
}

/** The map in force, where the readings tell it. */
export function mapInForce(
  readings: readonly RankReading[],
): VersionedMap | undefined {
  const held = readings.flatMap(one => one.held ?? []);
  const [first] = held;
  const isKnown =
    first !== undefined &&
    held.length === readings.length &&
    held.every(one => one.version === first.version);
  if (!isKnown) {
    return undefined;
  }
  const map = first.experts.map((_, set) =>
    held.map(one => [...one.experts[set]!].sort((a, b) => a - b)),
  );
  return {version: first.version, map};
}

/** What came of a change whose planner is silent. */
export type OrphanEnd =
  | 'nothing-held'
  /** Every rank is armed, the silent one too, and the group goes on. */
  | 'armed'
  /** No rank was armed, and the group goes on. */
  | 'backed-out'
  /** The silent rank may or may not be armed. */
  | 'unknown';

/**
 * Ends a change whose planner is silent together with its own rank, the only
 * one that is not among the readings. That rank is armed by the sidecar of
 * another and before any other; so the others know what became of it. Sidecars
 * that answered obey the new planner, and won't arm it any more.
 */
export async function endOrphaned(
  ranks: Ranks,
  readings: readonly RankReading[],
  silent: number,
  log: Log,
): Promise<OrphanEnd> {
  const states = readings.map(one => one.state);
  const {epoch} = states[0]!;
  const held = states.flatMap(state => state.held ?? []);
  if (held.length === 0) {
    return 'nothing-held';
  }
  const step = Math.min(...held);
  const armed = states.flatMap(state => state.armed ?? []);
  const given = readings.flatMap(({gave}) =>
    gave?.epoch === epoch && gave.rank === silent && gave.step === step
      ? [gave]
      : [],
  );
  const confirmed = given.find(one => one.isConfirmed);
  if (confirmed !== undefined) {
    const {version} = confirmed;
    const order: Order = {kind: 'arm', epoch, version, step};
    const open = states.flatMap(({armed: at, rank}) =>
      at === null ? [rank] : [],
    );
    const ends = await ranks.orderRemotely(open, order);
    log.event('mapChangeRecovered', {version, step, silent});
    if (ends.some(end => end !== 'done')) {
      return 'unknown';
    }
    await releaseAll(ranks, states);
    return 'armed';
  }
  const isCertain = readings.every(one => one.gave !== undefined);
  if (armed.length > 0 || given.length > 0 || !isCertain) {
    return 'unknown';
  }
  log.event('mapChangeAborted', {step, silent});
  await releaseAll(ranks, states);
  return 'backed-out';
}

function holdersOf(states: readonly RankState[], step: number): number[] {
  return states.flatMap((state, at) => (state.held === step ? [at] : []));
}

/** Releases every hold that the states show. */
async function releaseAll(
  ranks: Ranks,
  states: readonly RankState[],
): Promise<void> {
  await Promise.all(
    states.map(async ({epoch, rank, held: step}) => {
      if (step !== null) {
        await ranks.orderRemotely([rank], {kind: 'release', epoch, step});
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
