import {SILENT_LOG} from '../observability/log';
import * as mapChange from './change';
import * as kit from './change-kit';
import * as holdDecision from './hold-decision';
import * as types from './types';

function newState(): mapChange.ChangerState {
  return {lastUsedStep: 0, armMs: undefined};
}

function change(version: number): mapChange.Change {
  return {
    epoch: 1,
    version,
    map: kit.mapOf(version),
    former: {version: 0, map: kit.mapOf(0)},
    expectedMs: 10,
    copyTimeoutMs: 100,
    passesAhead: () => version % 4,
  };
}

const SEEDS = Array.from({length: 150}, (_, seed) => seed + 1);
const NO_FAULTS: kit.Faults = {lateShare: 0, lostShare: 0};
const LATE_OR_LOST: kit.Faults = {lateShare: 0.35, lostShare: 0.1};
const ROLES = {own: 0, holder: 1, helper: 3};

describe('changing the map of a group in lock-step', () => {
  it('switches every rank to the map and releases the group', async () => {
    const world = new kit.World(7, NO_FAULTS);
    const {sim, group} = world;
    const work = mapChange.changeMap(
      world.ranksOf(0, 1),
      change(5),
      ROLES,
      newState(),
      SILENT_LOG,
    );
    await sim.until(work, 20_000);
    expect(await work).toBe('armed');
    await sim.runFor(500);
    expect(group.ranks.map(rank => rank.map.version)).toEqual([5, 5, 5, 5]);
    expect(group.ranks.every(rank => rank.held === null)).toBe(true);
    expect(group.isMixed).toBe(false);
  });

  it.each([
    ['without faults', NO_FAULTS],
    ['with late orders and lost answers', LATE_OR_LOST],
  ])('never begins a pass with two maps: %s', async (_, faults) => {
    for (const seed of SEEDS) {
      const world = new kit.World(seed, faults);
      const {sim, group} = world;
      const ranks = world.ranksOf(0, 1);
      const state = newState();
      const work = (async () => {
        for (let at = 1; at <= 4; at += 1) {
          const holder = 1 + (at % 3);
          const roles = {own: 0, holder, helper: 1 + (holder % 3)};
          const next = change(at * 10);
          await mapChange.changeMap(ranks, next, roles, state, SILENT_LOG);
        }
      })();
      await sim.until(work, 60_000);
      await sim.runFor(4_000);
      expect([seed, group.isMixed]).toEqual([seed, false]);
    }
  });

  it.each([
    ['the planner', 0, NO_FAULTS],
    ['the planner, with late orders and lost answers', 0, LATE_OR_LOST],
    ['the holder', 1, NO_FAULTS],
    ['the helper', 3, NO_FAULTS],
    ['the helper, with late orders and lost answers', 3, LATE_OR_LOST],
  ])('survives a frozen instance: %s', async (_, rank, faults) => {
    for (const seed of SEEDS) {
      const world = new kit.World(seed, faults);
      const {sim, group} = world;
      const from = sim.unit() * 300;
      world.freeze = {rank, from, to: from + 1_500 + sim.unit() * 2_000};
      const old = mapChange.changeMap(
        world.ranksOf(0, 1),
        change(1),
        ROLES,
        newState(),
        SILENT_LOG,
      );
      await sim.runFor(from + 400);
      const taken = takeOver(world, 2);
      await sim.until(Promise.all([old, taken]), 60_000);
      await sim.runFor(5_000);
      // Orders that arrive late are cleaned up by the planner's next readings.
      await sim.until(finishLeftovers(world, 2), 60_000);
      expect([seed, group.isMixed]).toEqual([seed, false]);
      expect([seed, await taken]).toEqual([seed, 'armed']);
      expect([seed, group.ranks.map(one => one.held)]).toEqual([
        seed,
        [null, null, null, null],
      ]);
    }
  });

  it('does not wait for a planner that freezes while it arms ranks', async () => {
    const held: number[] = [];
    for (const seed of SEEDS) {
      const world = new kit.World(seed, NO_FAULTS);
      const {sim, group} = world;
      const ranks = world.ranksOf(0, 1);
      const old = mapChange.changeMap(
        ranks,
        change(1),
        ROLES,
        newState(),
        SILENT_LOG,
      );
      // Freezes the planner once the first rank other than its own is armed.
      while (group.ranks.slice(1).every(one => one.armed === null)) {
        await sim.runFor(1);
      }
      world.freeze = {rank: 0, from: sim.now, to: sim.now + 4_000};
      await sim.runFor(400);
      const taken = takeOver(world, 2);
      await sim.until(Promise.all([old, taken]), 60_000);
      await sim.runFor(3_000);
      expect([seed, group.isMixed]).toEqual([seed, false]);
      held.push(group.maxHeldMs);
    }
    expect(Math.max(...held)).toBeLessThan(1_500);
  });

  it('does not wait for a helper that freezes once it has armed the planner', async () => {
    const held: number[] = [];
    for (const seed of SEEDS) {
      const world = new kit.World(seed, NO_FAULTS);
      const {sim, group} = world;
      const ranks = world.ranksOf(0, 1);
      const old = mapChange.changeMap(
        ranks,
        change(1),
        ROLES,
        newState(),
        SILENT_LOG,
      );
      while (group.ranks[0]!.armed === null) {
        await sim.runFor(1);
      }
      world.freeze = {rank: 3, from: sim.now, to: sim.now + 4_000};
      await sim.until(old, 60_000);
      await sim.runFor(3_000);
      expect([seed, await old]).toEqual([seed, 'backed-out']);
      expect([seed, group.isMixed]).toEqual([seed, false]);
      held.push(group.maxHeldMs);
    }
    expect(Math.max(...held)).toBeLessThan(1_500);
  });

  it('releases a hold that takes effect after its release', async () => {
    const held: number[] = [];
    for (const seed of SEEDS) {
      const world = new kit.World(seed, NO_FAULTS);
      const {sim, group} = world;
      const ranks = world.ranksOf(0, 1);
      const state = newState();
      // Freezes the helper shortly after it prepares, when the hold order is due.
      const freezeHelper = async () => {
        while (group.ranks[3]!.prepared === null) {
          await sim.sleep(1);
        }
        world.freeze = {rank: 3, from: sim.now + 5, to: sim.now + 600};
      };
      void freezeHelper();
      const next = {...change(1), passesAhead: () => 12};
      const old = mapChange.changeMap(ranks, next, ROLES, state, SILENT_LOG);
      await sim.until(old, 60_000);
      if ((await old) !== 'not-held') {
        continue;
      }
      // The helper wakes, and its order reaches the rank after a reading.
      for (let round = 0; round < 8; round += 1) {
        const release = (async () => {
          const readings = await ranks.read([0, 1, 2]);
          const known = readings.flatMap(one => one ?? []);
          const lastChange = {step: state.lastUsedStep, version: undefined};
          await mapChange.releaseHolds(ranks, known);
          return holdDecision.decide(known, kit.RANKS, lastChange);
        })();
        await sim.until(release, 60_000);
        expect(['release', 'settled']).toContain(await release);
        await sim.runFor(150);
      }
      expect([seed, group.isMixed]).toEqual([seed, false]);
      expect(group.ranks.every(one => one.held === null)).toBe(true);
      held.push(group.maxHeldMs);
    }
    expect(held.length).toBeGreaterThan(20);
    expect(Math.max(...held)).toBeLessThan(1_500);
  });

  it('releases a hold only if the ranks can be armed no more', async () => {
    const world = new kit.World(5, NO_FAULTS);
    const {sim, group} = world;
    const ranks = world.ranksOf(0, 1);
    const step = group.step + 40;
    const arm: types.Order = {kind: 'arm', epoch: 1, version: 9, step};
    group.carryOut(1, {kind: 'hold', epoch: 1, step});
    const decideFor = async (
      numbers: readonly number[],
      lastChange?: holdDecision.LastChange,
    ) => {
      const work = ranks.read(numbers);
      await sim.until(work, 10_000);
      const readings = (await work).flatMap(one => one ?? []);
      return holdDecision.decide(readings, kit.RANKS, lastChange);
    };
    const all = [0, 1, 2, 3];
    expect(await decideFor(all)).toBe('release');
    // A rank that isn't read may be armed, unless this planner gave the hold.
    expect(await decideFor([0, 1, 2])).toBe('unknown');
    const other = {step: step - 1, version: undefined};
    expect(await decideFor([0, 1, 2], other)).toBe('unknown');
    const own = {step, version: undefined};
    expect(await decideFor([0, 1, 2], own)).toBe('release');
    all.forEach(at => group.carryOut(at, prepare(9)));
    const gave = {epoch: 1, rank: 0, version: 9, step, isConfirmed: false};
    group.ranks[3]!.gave = gave;
    expect(await decideFor(all)).toBe('revoke');
    group.ranks[3]!.gave = null;
    expect(await decideFor(all)).toBe('release');
    group.carryOut(2, arm);
    expect(await decideFor(all)).toBe('revoke');
    expect(await decideFor([0, 1, 2], own)).toBe('unknown');
    [0, 1, 3].forEach(at => group.carryOut(at, arm));
    expect(await decideFor(all)).toBe('release');
    expect(await decideFor([0, 1, 2], {step, version: 9})).toBe('release');
    expect(await decideFor([0, 1, 2], {step, version: 8})).toBe('unknown');
    expect(group.ranks[1]!.held).toBe(step);
    group.carryOut(1, {kind: 'release', epoch: 1, step});
    expect(await decideFor(all)).toBe('settled');
  });

  it('keeps the group held while the silent rank may be armed', async () => {
    const world = new kit.World(3, NO_FAULTS);
    const {sim, group} = world;
    const ranks = world.ranksOf(2, 2);
    group.ranks.forEach((_, at) => group.carryOut(at, prepare(9)));
    const step = group.step + 40;
    group.carryOut(1, {kind: 'hold', epoch: 1, step});
    const gave = {epoch: 1, rank: 0, version: 9, step, isConfirmed: false};
    group.ranks[3]!.gave = gave;
    const resolve = async () => {
      const readings = (await ranks.read([1, 2, 3])).flatMap(one => one ?? []);
      return mapChange.resolveOrphaned(ranks, readings, 0, SILENT_LOG);
    };
    const first = resolve();
    await sim.until(first, 10_000);
    expect(await first).toBe('unknown');
    expect(group.ranks[1]!.held).toBe(step);
    group.ranks[3]!.gave = {...gave, isConfirmed: true};
    group.carryOut(0, {kind: 'arm', epoch: 1, version: 9, step});
    const second = resolve();
    await sim.until(second, 10_000);
    expect(await second).toBe('armed');
    expect(group.ranks.map(one => one.armed?.version)).toEqual([9, 9, 9, 9]);
    expect(group.ranks[1]!.held).toBeNull();
  });

  it('keeps the group held if a sidecar no longer knows what it armed', async () => {
    const world = new kit.World(3, NO_FAULTS);
    const {sim, group} = world;
    const ranks = world.ranksOf(2, 2);
    const step = group.step + 40;
    group.carryOut(1, {kind: 'hold', epoch: 1, step});
    const work = (async () => {
      const readings = (await ranks.read([1, 2, 3])).flatMap(one => one ?? []);
      const [first, ...rest] = readings as [types.RankReading];
      const incomplete = [{...first, gave: undefined}, ...rest];
      return mapChange.resolveOrphaned(ranks, incomplete, 0, SILENT_LOG);
    })();
    await sim.until(work, 10_000);
    expect(await work).toBe('unknown');
    expect(group.ranks[1]!.held).toBe(step);
  });
});

function prepare(version: number): types.Order {
  const map = kit.mapOf(version);
  return {
    kind: 'prepare',
    epoch: 1,
    version,
    map,
    base: {version: 0, map: kit.mapOf(0)},
    expectedMs: 1,
    patienceMs: 1,
  };
}

/** Acts as a new planner until a change of its own has armed all ranks. */
async function takeOver(world: kit.World, own: number): Promise<string> {
  const ranks = world.ranksOf(own, 2);
  // Passes that late orders of the aborted change may name are not held.
  const state = {lastUsedStep: world.group.step + 9, armMs: undefined};
  let version = 10;
  for (;;) {
    const readings = (await ranks.read(ranks.all)).flatMap(one => one ?? []);
    const states = readings.map(one => one.state);
    if (states.length === kit.RANKS) {
      const end = await mapChange.finishChange(
        ranks,
        readings,
        own,
        SILENT_LOG,
      );
      if (end === 'nothing-left') {
        version += 10;
        const roles = {own, holder: 3, helper: 1};
        const outcome = await mapChange.changeMap(
          ranks,
          change(version),
          roles,
          state,
          SILENT_LOG,
        );
        if (outcome === 'armed') {
          return outcome;
        }
      }
    } else if (states.length === kit.RANKS - 1) {
      const silent = ranks.all.find(at =>
        states.every(state => state.rank !== at),
      )!;
      if (silent === 0) {
        await mapChange.resolveOrphaned(ranks, readings, silent, SILENT_LOG);
      }
    }
    await world.sim.sleep(100);
  }
}

/** Ends changes that late orders have left behind. */
async function finishLeftovers(world: kit.World, own: number): Promise<void> {
  const ranks = world.ranksOf(own, 2);
  for (;;) {
    const readings = (await ranks.read(ranks.all)).flatMap(one => one ?? []);
    const end = await mapChange.finishChange(ranks, readings, own, SILENT_LOG);
    if (end === 'nothing-left') {
      return;
    }
    await world.sim.sleep(100);
  }
}
