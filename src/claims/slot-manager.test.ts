/**
 * Guards against two owners of one minting time under store outages, lost
 * responses, restarts and clocks that differ by minutes. Runs on fake timers.
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

/** One process lifetime of a sidecar. */
interface Incarnation {
  readonly manager: SlotManager;
  readonly clock: SteadyClock;
}

/** A sidecar with a fixed address on its instance; restarts in place. */
class SimulatedSidecar {
  /** Incarnations that are suspended and may still believe to own slots. */
  readonly frozen: Incarnation[] = [];
  current: Incarnation | undefined;

  constructor(
    private readonly cluster: Cluster,
    readonly id: string,
    private readonly skewMs: number,
  ) {}

  /**
   * Starts a new incarnation. All earlier ones have ended: it has the address.
   */
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
    const manager = new SlotManager(
      () => SETTINGS,
      owner,
      clock,
      this.cluster.store,
      SILENT_LOG,
      () => this.cluster.liveIds(),
    );
    manager.triggerUpkeep();
    this.current = {manager, clock};
  }

  /** Stops the incarnation's upkeep; it keeps the slots it believes to own. */
  async freeze(): Promise<void> {
    const stopped = this.current;
    this.current = undefined;
    if (stopped !== undefined) {
      this.frozen.push(stopped);
      void stopped.manager.close();
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
      .filter(sidecar => sidecar.current !== undefined)
      .map(sidecar => sidecar.id);
  }

  triggerUpkeep(): void {
    this.sidecars.forEach(sidecar => sidecar.current?.manager.triggerUpkeep());
  }

  /** Incarnations that would now run a key of this slot and minting time. */
  ownersOf(slot: number, mintedAt: number): string[] {
    const all = this.sidecars.flatMap(sidecar => [
      ...sidecar.frozen,
      ...(sidecar.current ? [sidecar.current] : []),
    ]);
    return all
      .filter(
        ({manager, clock}) =>
          mintedAt <= clock.now() + LEAD_MS &&
          manager.ownership(slot, mintedAt).kind === 'mine',
      )
      .map(({manager}) => manager.self.incarnation);
  }

  async close(): Promise<void> {
    await Promise.all(this.sidecars.map(sidecar => sidecar.freeze()));
  }
}

type Event =
  | {kind: 'restart' | 'freeze'; sidecar: number}
  | {kind: 'outage'; ms: number}
  | {kind: 'lose'; answers: number}
  | {kind: 'wait'; ms: number};

const event: fc.Arbitrary<Event> = fc.oneof(
  fc.record({
    kind: fc.constantFrom('restart' as const, 'freeze' as const),
    sidecar: fc.nat(2),
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

async function applyEvent(cluster: Cluster, one: Event): Promise<void> {
  switch (one.kind) {
    case 'restart':
      await cluster.sidecars[one.sidecar]!.restart();
      cluster.triggerUpkeep();
      return;
    case 'freeze':
      await cluster.sidecars[one.sidecar]!.freeze();
      cluster.triggerUpkeep();
      return;
    case 'outage':
      cluster.store.isDown = true;
      await jest.advanceTimersByTimeAsync(one.ms);
      cluster.store.isDown = false;
      return;
    case 'lose':
      cluster.store.responsesToDrop = one.answers;
      return;
    case 'wait':
      await jest.advanceTimersByTimeAsync(one.ms);
  }
}

describe('slot ownership', () => {
  beforeEach(() => {
    jest.useFakeTimers({now: 1_800_000_000_000});
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('never gives one minting time two owners', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(event, {minLength: 4, maxLength: 14}),
        fc.array(fc.integer({min: -180_000, max: 180_000}), {
          minLength: 3,
          maxLength: 3,
        }),
        async (events, skews) => {
          const cluster = new Cluster(skews);
          for (const sidecar of cluster.sidecars) {
            await sidecar.restart();
          }
          const seen = new Map<string, string>();
          for (const one of events) {
            await applyEvent(cluster, one);
            checkOwners(cluster, seen, skews);
          }
          await cluster.close();
        },
      ),
      {numRuns: 120, seed: 41},
    );
  });

  it('runs keys again soon after a restart in place', async () => {
    const cluster = new Cluster([0]);
    await cluster.sidecars[0]!.restart();
    await jest.advanceTimersByTimeAsync(100);
    await cluster.sidecars[0]!.restart();
    await jest.advanceTimersByTimeAsync(LEAD_MS + 200);
    const manager = cluster.sidecars[0]!.current!.manager;
    expect(manager.ownership(0, Date.now()).kind).toBe('mine');
    await cluster.close();
  });

  it('reassigns the slots of a stopped sidecar within a term', async () => {
    const cluster = new Cluster([0, 0]);
    await cluster.sidecars[0]!.restart();
    await cluster.sidecars[1]!.restart();
    await jest.advanceTimersByTimeAsync(100);
    await cluster.sidecars[0]!.freeze();
    cluster.triggerUpkeep();
    await jest.advanceTimersByTimeAsync(TERM_MS + LEAD_MS);
    for (let slot = 0; slot < SLOTS; slot += 1) {
      expect(cluster.ownersOf(slot, Date.now())).toHaveLength(1);
    }
    await cluster.close();
  });

  it('keeps its slots through an outage shorter than two thirds of a term', async () => {
    const cluster = new Cluster([0]);
    await cluster.sidecars[0]!.restart();
    await jest.advanceTimersByTimeAsync(TERM_MS * 3);
    cluster.store.isDown = true;
    await jest.advanceTimersByTimeAsync(TERM_MS * 0.6);
    const manager = cluster.sidecars[0]!.current!.manager;
    expect(manager.ownership(0, Date.now()).kind).toBe('mine');
    await cluster.close();
  });
});

/** Checks that no minting time has two owners, now or over time. */
function checkOwners(
  cluster: Cluster,
  seen: Map<string, string>,
  skews: readonly number[],
): void {
  const faults: string[] = [];
  const PROBES = 40;
  const SPAN_MS = 60_000;
  for (let slot = 0; slot < SLOTS; slot += 1) {
    const object = cluster.store.peek(types.slotStoreKey('ledger', slot));
    const held = (object?.value ?? cells.EMPTY_SLOT) as types.Slot;
    if (!cells.areCellsDisjoint(held)) {
      faults.push(`cells of ${slot} overlap`);
    }
    for (const skew of skews) {
      for (let probe = 0; probe < PROBES; probe += 1) {
        const at = Date.now() + skew - SPAN_MS / 2 + (probe * SPAN_MS) / PROBES;
        const time = Math.floor(at / 1_000) * 1_000;
        const owners = cluster.ownersOf(slot, time);
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
