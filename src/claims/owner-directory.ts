/**
 * An entry's cache of which sidecar owns each slot, fetched from the sidecars.
 * A cached cell may be stale: the owner itself decides, so that costs only an
 * extra hop.
 */
import * as grouping from '../grouping';
import * as random from '../random';
import type {RpcClient} from '../rpc/client';
import * as app from './app';
import * as keys from './keys';
import type {Cell, Owner} from './types';

/** Doubled with each fetch that follows closely: the copies read were stale. */
const SIDECARS_PER_FETCH = 2;
const MIN_REFRESH_INTERVAL_MS = 200;
const TABLE_TIMEOUT_MS = 500;
/** Fetches within this time of each other follow closely. */
const SEARCH_INTERVAL_MS = 2_000;
/** A newer copy of a slot outlasts fetches without it for this long. */
const SLOT_TTL_MS = 10_000;

interface ListedCell {
  readonly slot: number;
  readonly cell: Cell;
}

/** A slot as the sidecars' copies have it. */
interface KnownSlot {
  /** In the store; 0: the sidecar names none. */
  readonly version: number;
  /** By start. */
  readonly cells: ReadonlyMap<number, Cell>;
  readonly seenAt: number;
}

/** Cached cells of one service. */
interface Table {
  readonly slots: ReadonlyMap<number, KnownSlot>;
  readonly cells: readonly ListedCell[];
  readonly fetchedAt: number;
  readonly sidecarsAsked: number;
}

export class OwnerDirectory {
  private readonly tables = new Map<string, Table>();
  private readonly refreshing = new Map<string, Promise<void>>();

  constructor(
    private readonly rpc: RpcClient,
    /** Addresses of a service's sidecars. */
    private readonly sidecars: (service: string) => readonly string[],
  ) {}

  /** The owner of a key, from the cached table or else from a fresh one. */
  async findOwner(
    service: string,
    key: keys.RequestKey,
    slotCount: number,
  ): Promise<Owner | undefined> {
    const known = this.lookUp(service, key, slotCount);
    if (known !== undefined) {
      return known;
    }
    await this.refresh(service);
    return this.lookUp(service, key, slotCount);
  }

  /**
   * Refetches the table; concurrent and closely following calls share a fetch.
   */
  async refresh(service: string): Promise<void> {
    const table = this.tables.get(service);
    if (
      table !== undefined &&
      Date.now() - table.fetchedAt < MIN_REFRESH_INTERVAL_MS
    ) {
      return;
    }
    const running = this.refreshing.get(service) ?? this.fetch(service);
    this.refreshing.set(service, running);
    await running;
    this.refreshing.delete(service);
  }

  /**
   * Mints keys in slots whose owner is live; none if no slot has a live owner.
   */
  async mintKeys(
    service: string,
    count: number,
    slotCount: number,
    isLive: (targetId: string) => boolean,
    now: number,
  ): Promise<string[]> {
    let liveSlots = this.slotsOfLiveOwners(service, isLive, now);
    if (liveSlots.size === 0) {
      await this.refresh(service);
      liveSlots = this.slotsOfLiveOwners(service, isLive, now);
    }
    const minted: string[] = [];
    while (liveSlots.size > 0 && minted.length < count) {
      minted.push(keys.mintKey(now, slotCount, liveSlots).text);
    }
    return minted;
  }

  private slotsOfLiveOwners(
    service: string,
    isLive: (targetId: string) => boolean,
    now: number,
  ): Set<number> {
    const liveSlots = new Set<number>();
    for (const [slot, cell] of this.newestCells(service)) {
      if (cell.from <= now && isLive(cell.owner.targetId)) {
        liveSlots.add(slot);
      }
    }
    return liveSlots;
  }

  private lookUp(
    service: string,
    key: keys.RequestKey,
    slotCount: number,
  ): Owner | undefined {
    const slot = keys.slotOf(key, slotCount);
    const newest = this.newestCells(service).get(slot);
    if (newest !== undefined && newest.from <= key.mintedAt) {
      return newest.owner;
    }
    const match = this.tables
      .get(service)
      ?.cells.find(
        entry =>
          entry.slot === slot &&
          entry.cell.from <= key.mintedAt &&
          key.mintedAt < entry.cell.until,
      );
    // The slot's current owner can also decide on times that no cell covers.
    return match?.cell.owner ?? newest?.owner;
  }

  /**
   * The newest cell of each slot. Callers treat it as open-ended, because its
   * owner keeps extending it and the cache is not told.
   */
  private newestCells(service: string): Map<number, Cell> {
    const newest = new Map<number, Cell>();
    for (const {slot, cell} of this.tables.get(service)?.cells ?? []) {
      const known = newest.get(slot);
      if (known === undefined || known.from < cell.from) {
        newest.set(slot, cell);
      }
    }
    return newest;
  }

  /**
   * Merges the tables of several sidecars with what is known. A handover changes
   * the owner of a cell but not its times, so the newest version of a slot counts.
   */
  private async fetch(service: string): Promise<void> {
    const before = this.tables.get(service);
    const slots = new Map(
      [...(before?.slots ?? [])].filter(
        ([, known]) => Date.now() - known.seenAt < SLOT_TTL_MS,
      ),
    );
    const addresses = [...this.sidecars(service)];
    const sidecarsAsked = Math.min(sidecarsToAsk(before), addresses.length);
    const asked = Array.from({length: sidecarsAsked}, () => {
      const at = random.integerBelow(addresses.length);
      return addresses.splice(at, 1)[0]!;
    });
    // At once and for a short time: one that is suspended holds up all callers.
    const answers = await Promise.all(
      asked.map(one =>
        this.rpc.call(one, app.table, {service}, TABLE_TIMEOUT_MS),
      ),
    );
    for (const answer of answers) {
      if (answer.ok) {
        mergeCells(slots, answer.value.cells);
      }
    }
    if (slots.size > 0) {
      const cells = [...slots].flatMap(([slot, known]) =>
        [...known.cells.values()].map(cell => ({slot, cell})),
      );
      const fetchedAt = Date.now();
      this.tables.set(service, {slots, cells, fetchedAt, sidecarsAsked});
    }
  }
}

function sidecarsToAsk(before: Table | undefined): number {
  const isSearch =
    before !== undefined && Date.now() - before.fetchedAt < SEARCH_INTERVAL_MS;
  return isSearch
    ? Math.max(before.sidecarsAsked * 2, SIDECARS_PER_FETCH)
    : SIDECARS_PER_FETCH;
}

/** Replaces slots by newer versions; of the same version, cells that end later. */
function mergeCells(
  slots: Map<number, KnownSlot>,
  listed: readonly (ListedCell & {readonly version?: number})[],
): void {
  const seenAt = Date.now();
  for (const [slot, entries] of grouping.groupBy(listed, one => one.slot)) {
    const version = entries[0]!.version ?? 0;
    const known = slots.get(slot);
    if (known !== undefined && known.version > version) {
      continue;
    }
    const cells = new Map(known?.version === version ? known.cells : []);
    for (const {cell} of entries) {
      const other = cells.get(cell.from);
      if (other === undefined || other.until <= cell.until) {
        cells.set(cell.from, cell);
      }
    }
    slots.set(slot, {version, cells, seenAt});
  }
}
