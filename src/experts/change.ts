/**
 * Changes the expert map of a lock-step group so that all ranks switch at the
 * same pass:
 *
 * 1. every rank prepares (copies) the new map, ordered by its own sidecar;
 * 2. one rank holds the group before a pass, ordered by the helper's sidecar;
 * 3. the helper's sidecar arms the planner's rank to switch at that pass, and
 *    records that it did;
 * 4. all other ranks are armed from instances other than their own;
 * 5. the group is released.
 *
 * No rank is armed before all have prepared, and the group is not released
 * before all are armed. An order that arrives late either repeats what was
 * intended or names a pass that has begun, and is then refused. An aborted
 * change is revoked first: the ranks prepare the current map under a newer
 * version, so that a late order cannot arm them for the aborted one. A pass
 * whose hold or release got no answer is not held again, since a late release
 * would end the new hold.
 *
 * An instance may freeze and make its rank unreachable while the rank itself
 * keeps running. No rank is therefore armed through its own sidecar: a new
 * planner can read every rank but its predecessor's, and the helper reports
 * whether that one was armed. The change is completed if it was for certain,
 * and aborted if it was not for certain.
 *
 * Limit: if neither is certain, the group stays held until the silent rank or
 * the helper can be read again.
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

export type ChangeOutcome =
  /** Every rank switches to the map as the held pass begins. */
  | 'armed'
  /** No rank was armed; the current map stays in force. */
  | 'not-prepared'
  | 'not-held'
  /** The group has formed anew, which discards the change. */
  | 'regrouped'
  /** A planner with a newer term has taken over. */
  | 'deposed'
  /** The change was aborted, and no rank is armed. */
  | 'backed-out'
  /** The group is held and ranks do not answer; a new term must finish it. */
  | 'stuck';

export interface Change {
  readonly epoch: number;
  readonly version: number;
  readonly map: ExpertMap;
  /** The map in force before the change. */
  readonly former: VersionedMap;
  /** Estimated time to copy the experts, in milliseconds. */
  readonly expectedMs: number;
  /** Time limit for copying, in milliseconds. */
  readonly copyTimeoutMs: number;
  /** Passes expected to begin within the time that arming takes. */
  passesAhead(): number;
}

/** State that a planner keeps from one change to the next. */
export interface ChangerState {
  /** Passes up to this one must not be held again. */
  lastUsedStep: number;
  /**
   * Milliseconds from preparation to release in the last change that held the
   * group; undefined if that one did not end as `armed`.
   */
  armMs: number | undefined;
}

const MAX_HOLD_ATTEMPTS = 5;
/** Time limit for preparing the current map, for which nothing is copied. */
const REVOKE_COPY_TIMEOUT_MS = 200;
const MAX_ARM_ROUNDS = 4;

/** Ranks with a special part in a change. */
export interface ChangeRoles {
  /** The planner's own rank. */
  readonly own: number;
  /** The rank that holds the group; not the planner's. */
  readonly holder: number;
  /** The rank whose sidecar arms the planner's rank; neither of the two. */
  readonly helper: number;
}

/** Runs all steps of a change; failures are outcomes, not exceptions. */
export async function changeMap(
  ranks: Ranks,
  change: Change,
  {own, holder, helper}: ChangeRoles,
  changerState: ChangerState,
  log: Log,
): Promise<ChangeOutcome> {
  const {epoch, version, map, former, expectedMs, copyTimeoutMs} = change;
  const prepared = await ranks.order(ranks.all, {
    kind: 'prepare',
    epoch,
    version,
    map,
    base: former,
    expectedMs,
    patienceMs: copyTimeoutMs,
  });
  if (prepared.includes('deposed')) {
    return 'deposed';
  }
  if (prepared.some(result => result !== 'done')) {
    log.event('mapNotPrepared', {version, results: countByResult(prepared)});
    return 'not-prepared';
  }
  const startedAt = performance.now();
  const passesAhead = () => change.passesAhead();
  const hold = {own, holder, helper, epoch, passesAhead};
  const step = await holdPass(ranks, hold, changerState);
  if (step === undefined) {
    return 'not-held';
  }
  const arming = {epoch, version, step, own, helper, former};
  const outcome = await armAndRelease(ranks, arming, [holder], log);
  changerState.armMs =
    outcome === 'armed' ? performance.now() - startedAt : undefined;
  return outcome;
}

/** The map version and pass to arm for, and the ranks with a special part. */
interface ArmRequest {
  readonly epoch: number;
  readonly version: number;
  readonly step: number;
  /** The planner's own rank, armed before all others. */
  readonly own: number;
  readonly helper: number;
  /** The map in force; undefined if unknown, which rules out revoking. */
  readonly former: VersionedMap | undefined;
}

/**
 * Arms every rank while the group is held, then releases it. Ranks in
 * `alreadyArmed` are skipped; they are armed for the same version and pass.
 */
async function armAndRelease(
  ranks: Ranks,
  arming: ArmRequest,
  holders: readonly number[],
  log: Log,
  alreadyArmed: ReadonlySet<number> = new Set(),
): Promise<ChangeOutcome> {
  const {epoch, version, step, own, helper} = arming;
  const order: Order = {kind: 'arm', epoch, version, step};
  const ownResult = alreadyArmed.has(own)
    ? 'done'
    : await ranks.orderThrough(helper, own, order);
  switch (ownResult) {
    case 'deposed':
      return 'deposed';
    case 'refused':
      return rollBack(ranks, arming, holders, log);
    case 'no-answer':
      return alreadyArmed.size === 0
        ? abortWithoutHelper(ranks, arming, holders, log)
        : 'stuck';
    case 'done':
  }
  let pending = ranks.all.filter(
    rank => rank !== own && !alreadyArmed.has(rank),
  );
  let results: OrderResult[] = [];
  for (
    let round = 0;
    pending.length > 0 && round < MAX_ARM_ROUNDS;
    round += 1
  ) {
    results = await ranks.orderRemotely(pending, order);
    if (results.includes('refused')) {
      return rollBack(ranks, arming, holders, log);
    }
    pending = pending.filter((_, at) => results[at] !== 'done');
  }
  if (pending.length === 0) {
    await ranks.orderRemotely(holders, {kind: 'release', epoch, step});
    return 'armed';
  }
  log.event('mapChangeStuck', {
    version,
    step,
    results: countByResult(results),
  });
  return 'stuck';
}

/**
 * Aborts a change whose helper does not answer. At most the planner's own rank
 * may be armed, so only that one is revoked.
 */
async function abortWithoutHelper(
  ranks: Ranks,
  arming: ArmRequest,
  holders: readonly number[],
  log: Log,
): Promise<ChangeOutcome> {
  const {epoch, version, step, own, helper} = arming;
  const result = await revokeChange(ranks, [own], arming);
  log.event('mapChangeAborted', {version, step, helper, result});
  if (result !== 'done') {
    return result === 'deposed' ? 'deposed' : 'stuck';
  }
  await ranks.orderRemotely(holders, {kind: 'release', epoch, step});
  return 'backed-out';
}

/**
 * Handles a refused arm order: the group has formed anew, the pass has begun,
 * or the rank lost its prepared map. The group is released only once the
 * change is revoked at every rank.
 */
async function rollBack(
  ranks: Ranks,
  arming: ArmRequest,
  holders: readonly number[],
  log: Log,
): Promise<ChangeOutcome> {
  const {epoch, version, step} = arming;
  const states = await ranks.readStates(ranks.all);
  if (states.some(state => state !== undefined && state.epoch !== epoch)) {
    return 'regrouped';
  }
  if (states.every(state => state?.mapVersion === version)) {
    // The pass has begun, and every rank has switched to the map.
    return 'armed';
  }
  const result = await revokeChange(ranks, ranks.all, arming);
  log.event('mapChangeAborted', {version, step, result});
  if (result !== 'done') {
    return result === 'deposed' ? 'deposed' : 'stuck';
  }
  await ranks.orderRemotely(holders, {kind: 'release', epoch, step});
  return 'backed-out';
}

/**
 * Disarms ranks and has them prepare the current map under a newer version, so
 * that arm orders still in flight are refused. Returns 'refused' if the current
 * map is not known.
 */
async function revokeChange(
  ranks: Ranks,
  rankNumbers: readonly number[],
  {epoch, version, former}: Pick<ArmRequest, 'epoch' | 'version' | 'former'>,
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
    patienceMs: REVOKE_COPY_TIMEOUT_MS,
  };
  let pending = [...rankNumbers];
  for (let round = 0; round < MAX_ARM_ROUNDS; round += 1) {
    const disarmed = await ranks.order(pending, disarm);
    const prepared = await ranks.order(pending, prepare);
    if ([...disarmed, ...prepared].includes('deposed')) {
      return 'deposed';
    }
    pending = pending.filter((_, at) => prepared[at] !== 'done');
    if (pending.length === 0) {
      return 'done';
    }
  }
  return 'no-answer';
}

interface HoldRequest {
  readonly own: number;
  readonly holder: number;
  readonly helper: number;
  readonly epoch: number;
  passesAhead(): number;
}

/**
 * Holds the group before a pass far enough ahead for all ranks to be armed by
 * then, so that the group does not wait. Returns that pass; undefined if the
 * group is not known to be held.
 */
async function holdPass(
  ranks: Ranks,
  {own, holder, helper, epoch, passesAhead}: HoldRequest,
  changerState: ChangerState,
): Promise<number | undefined> {
  for (let attempt = 0; attempt < MAX_HOLD_ATTEMPTS; attempt += 1) {
    const [state] = await ranks.readStates([own]);
    if (state === undefined) {
      return undefined;
    }
    const next = state.step + 1 + passesAhead();
    const step = Math.max(next, changerState.lastUsedStep + 1);
    changerState.lastUsedStep = step;
    const order: Order = {kind: 'hold', epoch, step};
    const result = await ranks.orderThrough(helper, holder, order);
    if (result === 'done') {
      return step;
    }
    if (result !== 'refused') {
      // The order may have been carried out, or may still be.
      await ranks.orderRemotely([holder], {kind: 'release', epoch, step});
      return undefined;
    }
  }
  return undefined;
}

/**
 * Completes or aborts the change that an earlier planner left behind: the group
 * may be held and some ranks armed. `readings` has one entry per rank in rank
 * order, read under the new term and with the experts held.
 */
export async function finishChange(
  ranks: Ranks,
  readings: readonly RankReading[],
  own: number,
  log: Log,
): Promise<ChangeOutcome | 'nothing-left'> {
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
    return abortUnarmed(ranks, readings, log);
  }
  const {step, version} = first;
  log.event('mapChangeRecovered', {version, step, armed: armed.length});
  const holders = holdersOf(states, step);
  if (holders.length === 0) {
    // The group must not reach the pass with only some ranks armed.
    const holder = own === 0 ? states.length - 1 : 0;
    const hold: Order = {kind: 'hold', epoch, step};
    const [result] = await ranks.orderRemotely([holder], hold);
    if (result !== 'done') {
      return 'not-held';
    }
    holders.push(holder);
  }
  const others = ranks.all.filter(rank => rank !== own);
  const helper =
    others.find(rank => !holders.includes(rank)) ?? others[0] ?? own;
  const former = mapInForce(readings);
  const arming = {epoch, version, step, own, helper, former};
  const alreadyArmed = new Set(
    states.flatMap(({armed: at, rank}) => (at === null ? [] : [rank])),
  );
  const outcome = await armAndRelease(
    ranks,
    arming,
    holders,
    log,
    alreadyArmed,
  );
  if (outcome === 'armed') {
    await releaseAll(ranks, states);
  }
  return outcome;
}

/**
 * Aborts a change that holds the group with no rank armed. The change is
 * revoked unless every sidecar reports that it has no arm order in flight.
 */
async function abortUnarmed(
  ranks: Ranks,
  readings: readonly RankReading[],
  log: Log,
): Promise<ChangeOutcome> {
  const states = readings.map(one => one.state);
  const {epoch} = states[0]!;
  const version = Math.max(...states.map(state => state.prepared ?? 0));
  const isCertain = readings.every(
    ({gave}) => gave === null || gave?.isConfirmed === true,
  );
  const former = mapInForce(readings);
  const order = {epoch, version, former};
  const result = isCertain
    ? 'done'
    : await revokeChange(ranks, ranks.all, order);
  log.event('mapChangeAborted', {version, isCertain, result});
  if (result !== 'done') {
    return result === 'deposed' ? 'deposed' : 'stuck';
  }
  await releaseAll(ranks, states);
  return 'backed-out';
}

/**
 * Releases a hold order that got no answer and took effect after its release.
 * Returns false, and releases nothing, if `readings` show a rank armed or
 * another pass held. Only for the planner that gave both orders, which knows
 * that no rank was to be armed for `step`.
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

/** The map in force; undefined unless all readings have the same version. */
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

export type OrphanOutcome =
  | 'nothing-held'
  /** Every rank, the silent one included, is armed; the group is released. */
  | 'armed'
  /** No rank was armed, and the group is released. */
  | 'backed-out'
  /** Some ranks may be armed and others not; the group stays held. */
  | 'unknown';

/**
 * Completes or aborts a change whose planner and its rank `silent` do not
 * answer; `readings` has every other rank. The silent rank was armed first and
 * by another rank's sidecar, so the readings show whether it was. Sidecars that
 * answered accept the new term and no longer arm it for the old planner.
 */
export async function resolveOrphaned(
  ranks: Ranks,
  readings: readonly RankReading[],
  silent: number,
  log: Log,
): Promise<OrphanOutcome> {
  const states = readings.map(one => one.state);
  const {epoch} = states[0]!;
  const held = states.flatMap(state => state.held ?? []);
  if (held.length === 0) {
    return 'nothing-held';
  }
  const step = Math.min(...held);
  const armed = states.flatMap(state => state.armed ?? []);
  const givenArms = readings.flatMap(({gave}) =>
    gave?.epoch === epoch && gave.rank === silent && gave.step === step
      ? [gave]
      : [],
  );
  const confirmed = givenArms.find(one => one.isConfirmed);
  if (confirmed !== undefined) {
    const {version} = confirmed;
    const order: Order = {kind: 'arm', epoch, version, step};
    const unarmed = states.flatMap(({armed: at, rank}) =>
      at === null ? [rank] : [],
    );
    const results = await ranks.orderRemotely(unarmed, order);
    log.event('mapChangeRecovered', {version, step, silent});
    if (results.some(result => result !== 'done')) {
      return 'unknown';
    }
    await releaseAll(ranks, states);
    return 'armed';
  }
  const isCertain = readings.every(one => one.gave !== undefined);
  if (armed.length > 0 || givenArms.length > 0 || !isCertain) {
    return 'unknown';
  }
  log.event('mapChangeAborted', {step, silent});
  await releaseAll(ranks, states);
  return 'backed-out';
}

function holdersOf(states: readonly RankState[], step: number): number[] {
  return states.flatMap((state, at) => (state.held === step ? [at] : []));
}

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

function countByResult(
  results: readonly OrderResult[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  results.forEach(result => {
    counts[result] = (counts[result] ?? 0) + 1;
  });
  return counts;
}
