/**
 * Owners of one service's slots under random failures, on the paused clock:
 * store outages, lost answers, restarts in place and elsewhere, clocks that
 * differ by minutes. No minting time ever has two owners.
 */
import * as fc from 'fast-check';
import {SteadyClock} from '../clock';
import {SILENT_LOG} from '../observability/log';
import {MemoryStore} from '../platform/memory-store';
import * as cells from './cells';
import {SlotManager, SlotManagerSettings} from './slot-manager';
import * as types from './types';

const SLOTS = 4;
const TERM_MS = 10_000;
const LEAD_MS = 1_000;
const SETTINGS: SlotManagerSettings = {
  service: 'ledger',
  slots: SLOTS,
  termMs: TERM_MS,
  retentionMs: 120_000,
};

let incarnationCount = 0;

/** One life of a sidecar. */
interface Incarnation {
  readonly keeper: SlotManager;
  readonly clock: SteadyClock;
}

/** One sidecar place: an address on an instance. */
class SimulatedSidecar {
  /** Lives that are frozen or cut off, and may wake. */
  readonly frozen: Incarnation[] = [];
  current: Incarnation | undefined;

  constructor(
    private readonly world: Cluster,
    readonly id: string,
    private readonly skewMs: number,
  ) {}

  /** Only where the lives before have ended can the address be held. */
  async restart(): Promise<void> {
    await this.freeze();
    this.frozen.length = 0;
    incarnationCount += 1;
    const clock = new SteadyClock(Date.now() + this.skewMs);
    const owner: types.Owner = {
      incarnation: `life-${incarnationCount}`,
      targetId: this.id,
      address: '127.0.0.1:1000',
      bootId: `boot-of-${this.id}`,
      anchor: clock.anchor,
      leadMs: LEAD_MS,
    };
    const keeper = new SlotManager(
      () => SETTINGS,
      owner,
      clock,
      this.world.store,
      SILENT_LOG,
      () => this.world.liveIds(),
    );
    keeper.triggerUpkeep();
    this.current = {keeper, clock};
  }

  /** Stops the life's upkeep; what it believes to own, it still does. */
  async freeze(): Promise<void> {
    const stopped = this.current;
    this.current = undefined;
    if (stopped !== undefined) {
      this.frozen.push(stopped);
      void stopped.keeper.close();
    }
  }
}

class Cluster {
  readonly store = new MemoryStore();
  readonly sidecars: SimulatedSidecar[];

  constructor(skews: readonly number[]) {
    this.sidecars = skews.map(
      (skew, at) => new SimulatedSidecar(this, `place-${at}`, skew),
    );
  }

  liveIds(): string[] {
    return this.sidecars
      .filter(place => place.current !== undefined)
      .map(place => place.id);
  }

  triggerUpkeep(): void {
    this.sidecars.forEach(place => place.current?.keeper.triggerUpkeep());
  }

  /** Lives that would run a key of this slot and minting time now. */
  ownersOf(slot: number, mintedAt: number): string[] {
    const all = this.sidecars.flatMap(place => [
      ...place.frozen,
      ...(place.current ? [place.current] : []),
    ]);
    return all
      .filter(
        ({keeper, clock}) =>
          mintedAt <= clock.now() + LEAD_MS &&
          keeper.ownership(slot, mintedAt).kind === 'mine',
      )
      .map(({keeper}) => keeper.self.incarnation);
  }

  async close(): Promise<void> {
    await Promise.all(this.sidecars.map(place => place.freeze()));
  }
}

type Event =
  | {kind: 'restart' | 'freeze'; place: number}
  | {kind: 'outage'; ms: number}
  | {kind: 'lose'; answers: number}
  | {kind: 'wait'; ms: number};

const event: fc.Arbitrary<Event> = fc.oneof(
  fc.record({
    kind: fc.constantFrom('restart' as const, 'freeze' as const),
    place: fc.nat(2),
  }),
  fc.record({
    kind: fc.constant('outage' as const),
    ms: fc.integer({min: 100, max: 15_000}),
  }),
  fc.record({
    kind: fc.constant('lose' as const),
    answers: fc.integer({min: 1, max: 4}),
  }),
  fc.record({
    kind: fc.constant('wait' as const),
    ms: fc.integer({min: 10, max: 12_000}),
  }),
);

async function applyEvent(world: Cluster, one: Event): Promise<void> {
  switch (one.kind) {
    case 'restart':
      await world.sidecars[one.place]!.restart();
      world.triggerUpkeep();
      return;
    case 'freeze':
      await world.sidecars[one.place]!.freeze();
      world.triggerUpkeep();
      return;
    case 'outage':
      world.store.isDown = true;
      await jest.advanceTimersByTimeAsync(one.ms);
      world.store.isDown = false;
      return;
    case 'lose':
      world.store.responsesToDrop = one.answers;
      return;
    case 'wait':
      await jest.advanceTimersByTimeAsync(one.ms);
  }
}

describe('owners of slots', () => {
  beforeEach(() => {
    jest.useFakeTimers({now: 1_800_000_000_000});
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('never lets two lives own one minting time', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(event, {minLength: 4, maxLength: 14}),
        fc.array(fc.integer({min: -180_000, max: 180_000}), {
          minLength: 3,
          maxLength: 3,
        }),
        async (events, skews) => {
          const world = new Cluster(skews);
          for (const place of world.sidecars) {
            await place.restart();
          }
          const seen = new Map<string, string>();
          for (const one of events) {
            await applyEvent(world, one);
            checkOwners(world, seen, skews);
          }
          await world.close();
        },
      ),
      {numRuns: 120, seed: 41},
    );
  });

  it('serves again at once after a restart in place', async () => {
    const world = new Cluster([0]);
    await world.sidecars[0]!.restart();
    await jest.advanceTimersByTimeAsync(100);
    await world.sidecars[0]!.restart();
    await jest.advanceTimersByTimeAsync(LEAD_MS + 200);
    const keeper = world.sidecars[0]!.current!.keeper;
    expect(keeper.ownership(0, Date.now()).kind).toBe('mine');
    await world.close();
  });

  it('gives a dead place its slots back within a term', async () => {
    const world = new Cluster([0, 0]);
    await world.sidecars[0]!.restart();
    await world.sidecars[1]!.restart();
    await jest.advanceTimersByTimeAsync(100);
    await world.sidecars[0]!.freeze();
    world.triggerUpkeep();
    await jest.advanceTimersByTimeAsync(TERM_MS + LEAD_MS);
    for (let slot = 0; slot < SLOTS; slot += 1) {
      expect(world.ownersOf(slot, Date.now())).toHaveLength(1);
    }
    await world.close();
  });

  it('rides through an outage shorter than two thirds of a term', async () => {
    const world = new Cluster([0]);
    await world.sidecars[0]!.restart();
    await jest.advanceTimersByTimeAsync(TERM_MS * 3);
    world.store.isDown = true;
    await jest.advanceTimersByTimeAsync(TERM_MS * 0.6);
    const keeper = world.sidecars[0]!.current!.keeper;
    expect(keeper.ownership(0, Date.now()).kind).toBe('mine');
    await world.close();
  });
});

/** Checks owners now, and that no time ever changes from one to another. */
function checkOwners(
  world: Cluster,
  seen: Map<string, string>,
  skews: readonly number[],
): void {
  const faults: string[] = [];
  const PROBES = 40;
  const SPAN_MS = 60_000;
  for (let slot = 0; slot < SLOTS; slot += 1) {
    const object = world.store.peek(types.slotStoreKey('ledger', slot));
    const held = (object?.value ?? cells.EMPTY_SLOT) as types.Slot;
    if (!cells.areCellsDisjoint(held)) {
      faults.push(`cells of ${slot} overlap`);
    }
    for (const skew of skews) {
      for (let probe = 0; probe < PROBES; probe += 1) {
        const at = Date.now() + skew - SPAN_MS / 2 + (probe * SPAN_MS) / PROBES;
        const time = Math.floor(at / 1_000) * 1_000;
        const owners = world.ownersOf(slot, time);
        if (owners.length > 1) {
          faults.push(`${slot} ${time}: ${owners}`);
        }
        const name = `${slot} ${time}`;
        const [owner] = owners;
        if (owner !== undefined) {
          const former = seen.get(name) ?? owner;
          if (former !== owner) {
            faults.push(`${slot} ${time}: ${former}, then ${owner}`);
          }
          seen.set(name, owner);
        }
      }
    }
  }
  expect(faults).toEqual([]);
}
