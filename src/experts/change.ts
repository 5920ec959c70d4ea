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
 * before all are armed. An aborted change is revoked first: the ranks prepare the
 * current map under a newer version, so that a late order cannot arm them for the
 * aborted one. No rank is disarmed before another one has done so, which rules out
 * that a change is completed while a late order may disarm a rank. A pass whose
 * hold or release got no answer is not held again, since a late release would end
 * the new hold. A hold that is carried out late, or whose release was lost, shows
 * in the ranks' reports, and is released by them (hold-decision).
 *
 * An instance may freeze and make its rank unreachable while the rank itself
 * keeps running. No rank is therefore armed through its own sidecar: a new
 * planner can read every rank but its predecessor's, and the helper reports
 * whether that one was armed. If the predecessor's rank cannot be read, the change
 * is completed if that rank is armed for certain, and aborted if it is not for
 * certain.
 *
 * Limit: if neither is certain, the group stays held until the silent rank or
 * the helper can be read again.
 */
import {Log} from '../observability/log';
import * as holdDecision from './hold-decision';
import {MAX_PASSES_AHEAD} from './pass-clock';
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
  /** The map in force. */
  readonly former: VersionedMap;
}

/** Arms every rank while the group is held, then releases it. */
async function armAndRelease(
  ranks: Ranks,
  arming: ArmRequest,
  holders: readonly number[],
  log: Log,
): Promise<ChangeOutcome> {
  const {epoch, version, step, own, helper} = arming;
  const order: Order = {kind: 'arm', epoch, version, step};
  switch (await ranks.orderThrough(helper, own, order)) {
    case 'deposed':
      return 'deposed';
    case 'refused':
      return rollBack(ranks, arming, holders, log);
    case 'no-answer':
      return abortWithoutHelper(ranks, arming, holders, log);
    case 'done':
  }
  let pending = ranks.all.filter(rank => rank !== own);
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
  const {epoch, version, step, own, helper, former} = arming;
  const others = ranks.all.filter(rank => rank !== own);
  const reachable = others.filter(rank => rank !== helper);
  const result = await revokeChange(ranks, {
    epoch,
    versions: [version],
    newer: version + 1,
    former,
    unarmed: reachable.length > 0 ? reachable : others,
    revoked: [own],
  });
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
  const {epoch, version, step, former} = arming;
  const states = await ranks.readStates(ranks.all);
  if (states.some(state => state !== undefined && state.epoch !== epoch)) {
    return 'regrouped';
  }
  if (states.every(state => state?.mapVersion === version)) {
    // The pass has begun, and every rank has switched to the map.
    return 'armed';
  }
  const result = await revokeChange(ranks, {
    epoch,
    versions: [version],
    newer: version + 1,
    former,
    unarmed: ranks.all.filter(rank => states[rank]?.armed === null),
    revoked: ranks.all,
  });
  log.event('mapChangeAborted', {version, step, result});
  if (result !== 'done') {
    return result === 'deposed' ? 'deposed' : 'stuck';
  }
  await ranks.orderRemotely(holders, {kind: 'release', epoch, step});
  return 'backed-out';
}

interface Revocation {
  readonly epoch: number;
  /** Versions that ranks may be armed for. */
  readonly versions: readonly number[];
  /** Above all versions that the ranks have had. */
  readonly newer: number;
  /** The map in force; undefined if unknown, which rules out revoking. */
  readonly former: VersionedMap | undefined;
  /** Ranks that are not armed, one of which must be revoked first. */
  readonly unarmed: readonly number[];
  readonly revoked: readonly number[];
}

/**
 * Disarms ranks and has them prepare the current map under a newer version, so
 * that arm orders still in flight are refused. Returns 'refused' if the current
 * map is not known.
 */
async function revokeChange(
  ranks: Ranks,
  {epoch, versions, newer, former, unarmed, revoked}: Revocation,
): Promise<OrderResult> {
  if (former === undefined) {
    return 'refused';
  }
  const prepareAt = (version: number): Order => ({
    kind: 'prepare',
    epoch,
    version,
    map: former.map,
    base: former,
    expectedMs: 0,
    patienceMs: REVOKE_COPY_TIMEOUT_MS,
  });
  const first = await ranks.order(unarmed, prepareAt(newer));
  if (first.includes('deposed')) {
    return 'deposed';
  }
  if (unarmed.length > 0 && !first.includes('done')) {
    return 'no-answer';
  }
  const done = new Set(unarmed.filter((_, at) => first[at] === 'done'));
  let pending = revoked.filter(rank => !done.has(rank));
  for (let round = 0; round < MAX_ARM_ROUNDS; round += 1) {
    if (pending.length === 0) {
      return 'done';
    }
    const results: OrderResult[] = [];
    for (const version of versions) {
      const disarm: Order = {kind: 'disarm', epoch, version};
      results.push(...(await ranks.order(pending, disarm)));
    }
    const prepared = await ranks.order(pending, prepareAt(newer + round));
    if ([...results, ...prepared].includes('deposed')) {
      return 'deposed';
    }
    pending = pending.filter((_, at) => prepared[at] !== 'done');
  }
  return pending.length === 0 ? 'done' : 'no-answer';
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
    if (step > state.step + 1 + MAX_PASSES_AHEAD) {
      // A successor must be able to tell which passes late orders may name.
      return undefined;
    }
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
 * Ends the change that an earlier planner left behind, whose map no pass has begun
 * with. `readings` has one entry per rank in rank order, read under the new term
 * and with the experts held.
 */
export async function finishChange(
  ranks: Ranks,
  readings: readonly RankReading[],
  own: number,
  log: Log,
): Promise<ChangeOutcome | 'nothing-left'> {
  switch (holdDecision.decide(readings, ranks.size)) {
    case 'settled':
      return 'nothing-left';
    case 'wait':
    case 'unknown':
      return 'not-held';
    case 'release': {
      const [armed] = readings.flatMap(({state}) => state.armed ?? []);
      log.event('mapChangeRecovered', {...armed});
      await releaseHolds(ranks, readings);
      return armed === undefined ? 'backed-out' : 'armed';
    }
    case 'revoke':
      return revokeLeftover(ranks, readings, own, log);
  }
}

/** Revokes a change for which some ranks are or may become armed. */
async function revokeLeftover(
  ranks: Ranks,
  readings: readonly RankReading[],
  own: number,
  log: Log,
): Promise<ChangeOutcome> {
  const states = readings.map(one => one.state);
  const {epoch} = states[0]!;
  const armed = states.flatMap(state => state.armed ?? []);
  const step = Math.min(...armed.map(one => one.step));
  const mustHold = armed.length > 0 && states.every(({held}) => held !== step);
  const holder = mustHold ? pickHolder(states, own) : undefined;
  if (mustHold) {
    // The group must not reach the pass with only some ranks armed.
    const hold: Order = {kind: 'hold', epoch, step};
    const [result] =
      holder === undefined ? [] : await ranks.orderRemotely([holder], hold);
    if (result !== 'done') {
      return 'not-held';
    }
  }
  const result = await revokeChange(ranks, {
    epoch,
    versions: [...new Set(armed.map(one => one.version))],
    newer: 1 + Math.max(...states.map(highestVersionOf)),
    former: mapInForce(readings),
    unarmed: states.flatMap(state =>
      state.armed === null ? [state.rank] : [],
    ),
    revoked: ranks.all,
  });
  log.event('mapChangeAborted', {armed: armed.length, result});
  if (result !== 'done') {
    return result === 'deposed' ? 'deposed' : 'stuck';
  }
  await releaseHolds(ranks, readings);
  if (holder !== undefined) {
    await ranks.orderRemotely([holder], {kind: 'release', epoch, step});
  }
  return 'backed-out';
}

/** A rank that holds no pass, preferably not the planner's own. */
function pickHolder(
  states: readonly RankState[],
  own: number,
): number | undefined {
  const free = states.flatMap(({rank, held}) => (held === null ? [rank] : []));
  return free.find(rank => rank !== own) ?? free[0];
}

function highestVersionOf({mapVersion, prepared, armed}: RankState): number {
  return Math.max(mapVersion, prepared ?? 0, armed?.version ?? 0);
}

/** Releases each pass that the readings show as held. */
export async function releaseHolds(
  ranks: Ranks,
  readings: readonly RankReading[],
): Promise<void> {
  await Promise.all(
    readings.map(async ({state: {epoch, rank, held: step}}) => {
      if (step !== null) {
        await ranks.orderRemotely([rank], {kind: 'release', epoch, step});
      }
    }),
  );
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
    await releaseHolds(ranks, readings);
    return 'armed';
  }
  const isCertain = readings.every(one => one.gave !== undefined);
  if (armed.length > 0 || givenArms.length > 0 || !isCertain) {
    return 'unknown';
  }
  log.event('mapChangeAborted', {step, silent});
  await releaseHolds(ranks, readings);
  return 'backed-out';
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
