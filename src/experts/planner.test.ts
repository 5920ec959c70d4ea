import * as fc from 'fast-check';
import type * as kit from './change-kit';
import {PlannedGroup} from './planner-kit';
import type * as types from './types';

const SEED = Number(process.env['FERRYCLEAT_FUZZ_SEED'] ?? 70);
const RUNS = Number(process.env['FERRYCLEAT_FUZZ_RUNS'] ?? 25);
const NO_FAULTS: kit.Faults = {lateShare: 0, lostShare: 0};
const FAULTY_MS = 8_000;
/** A late order takes effect after 3 s at most; then a planner ends what is left. */
const RECOVERY_MS = 8_000;
/** Some passes of 65 ms at most. */
const PASSES_MS = 1_000;

let planned: PlannedGroup;

beforeEach(() => jest.useFakeTimers());

afterEach(() => {
  end();
  jest.useRealTimers();
});

function end(): void {
  planned.close();
  jest.clearAllTimers();
}

async function run(ms: number): Promise<void> {
  await jest.advanceTimersByTimeAsync(ms);
}

/** Whether passes begin within the time. */
async function goesOn(ms: number): Promise<boolean> {
  const {group} = planned.world;
  const before = group.step;
  await run(ms);
  return group.step > before + 2;
}

/** Runs until an order of a kind is about to be carried out. */
async function untilOrder(kind: types.OrderKind): Promise<void> {
  let isSeen = false;
  const {world} = planned;
  world.intercept = (_, order) => {
    isSeen ||= order.kind === kind;
    return undefined;
  };
  while (!isSeen) {
    await run(1);
  }
  world.intercept = undefined;
}

describe('the planner of a group', () => {
  it('changes the map of the group again and again', async () => {
    planned = new PlannedGroup(1, NO_FAULTS);
    await run(3_000);
    const {version} = planned;
    expect(version).toBeGreaterThan(0);
    await run(5_000);
    expect(planned.version).toBeGreaterThan(version);
    expect(planned.world.group.isMixed).toBe(false);
  });

  it('releases a hold that is carried out late while the group is idle', async () => {
    // Guards against a group that was idle and is then held for ever.
    planned = new PlannedGroup(2, NO_FAULTS);
    const {world} = planned;
    const {group} = world;
    await run(500);
    await untilOrder('arm');
    group.isIdle = true;
    await run(500);
    const [{armed} = {armed: null}] = group.ranks;
    expect(group.ranks.every(rank => rank.armed?.step === armed!.step)).toBe(
      true,
    );
    expect(group.ranks.every(rank => rank.held === null)).toBe(true);
    group.carryOut(1, {kind: 'hold', epoch: 1, step: armed!.step});
    await run(1_000);
    group.isIdle = false;
    expect(await goesOn(PASSES_MS)).toBe(true);
    expect(group.isMixed).toBe(false);
    expect(planned.version).toBeGreaterThanOrEqual(armed!.version);
  });

  it('releases a group again whose release was lost', async () => {
    // Guards against a group that is held for ever with all ranks armed.
    planned = new PlannedGroup(3, NO_FAULTS);
    const {world} = planned;
    await run(500);
    await untilOrder('arm');
    let lost = 0;
    world.intercept = (_, order) => {
      lost += order.kind === 'release' ? 1 : 0;
      return order.kind === 'release' && lost <= 4 ? 'lost' : undefined;
    };
    await run(1_500);
    expect(lost).toBeGreaterThan(4);
    expect(await goesOn(PASSES_MS)).toBe(true);
    expect(world.group.isMixed).toBe(false);
  });

  it('completes no change that its predecessor may have given up', async () => {
    // Guards against ranks on two maps after a late disarm.
    for (let seed = 1; seed <= 20; seed += 1) {
      planned = new PlannedGroup(seed, NO_FAULTS);
      const {world} = planned;
      await run(500);
      await untilOrder('arm');
      const own = planned.plannerRank!;
      // The helper's sidecar freezes before it can confirm that it armed the rank.
      const helper = world.group.ranks.findIndex(({gave}) => gave !== null);
      const {now} = world.sim;
      world.freeze = {rank: helper, from: now, to: now + 3_500};
      // The rank answers nothing for a while, and disarms as the group is released.
      let late: types.Order | undefined;
      world.intercept = (at, order) => {
        if (order.kind === 'release' && late !== undefined) {
          world.group.carryOut(own, late);
        }
        if (at !== own || world.sim.now > now + 3_000) {
          return undefined;
        }
        late ??= order.kind === 'disarm' ? order : undefined;
        return 'lost';
      };
      await run(RECOVERY_MS);
      expect([seed, world.group.isMixed]).toEqual([seed, false]);
      expect([seed, await goesOn(PASSES_MS)]).toEqual([seed, true]);
      end();
    }
  });

  const event = fc.record({
    at: fc.integer({min: 0, max: FAULTY_MS}),
    kind: fc.constantFrom('kill', 'depose', 'freeze', 'idle', 'busy'),
  });
  const schedule = fc.record({
    seed: fc.integer({min: 1, max: 1_000_000}),
    lateShare: fc.double({min: 0, max: 0.5, noNaN: true}),
    lostShare: fc.double({min: 0, max: 0.3, noNaN: true}),
    repeatShare: fc.double({min: 0, max: 0.2, noNaN: true}),
    events: fc.array(event, {maxLength: 10}),
  });

  it('keeps one map, and holds no group for ever, whatever orders do', async () => {
    await fc.assert(
      fc.asyncProperty(schedule, async ({seed, events, ...faults}) => {
        planned = new PlannedGroup(seed, faults);
        const {world} = planned;
        const {group, sim} = world;
        const startedAt = sim.now;
        for (const {at, kind} of [...events].sort((a, b) => a.at - b.at)) {
          await run(Math.max(startedAt + at - sim.now, 0));
          if (kind === 'kill') {
            planned.killPlanner();
          } else if (kind === 'depose') {
            planned.depose();
          } else if (kind === 'freeze') {
            const rank = Math.floor(sim.unit() * group.ranks.length);
            const to = sim.now + 500 + sim.unit() * 3_000;
            world.freeze = {rank, from: sim.now, to};
          } else {
            group.isIdle = kind === 'idle';
          }
        }
        await run(Math.max(startedAt + FAULTY_MS - sim.now, 0));
        world.faults = NO_FAULTS;
        group.isIdle = false;
        await run(RECOVERY_MS);
        const isGoingOn = await goesOn(PASSES_MS);
        end();
        expect({isMixed: group.isMixed, isGoingOn}).toEqual({
          isMixed: false,
          isGoingOn: true,
        });
      }),
      {seed: SEED, numRuns: RUNS, endOnFailure: true},
    );
  });
});
