/**
 * An entry's cache of which sidecar owns each slot, fetched from the sidecars.
 * A cached cell may be stale: the owner itself decides, so that costs only an
 * extra hop.
 */
import * as random from '../random';
import type {RpcClient} from '../rpc/client';
import * as app from './app';
import * as keys from './keys';
import type {Cell, Owner} from './types';

const SIDECARS_PER_FETCH = 2;
const MIN_REFRESH_INTERVAL_MS = 200;

/** Cached cells of one service. */
interface Table {
  readonly cells: readonly {readonly slot: number; readonly cell: Cell}[];
  readonly fetchedAt: number;
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
   * Merges the tables of several sidecars. Of two versions of a cell, the one
   * that ends later wins.
   */
  private async fetch(service: string): Promise<void> {
    const addresses = [...this.sidecars(service)];
    const merged = new Map<string, {slot: number; cell: Cell}>();
    for (
      let fetched = 0;
      fetched < SIDECARS_PER_FETCH && addresses.length > 0;
      fetched += 1
    ) {
      const [address] = addresses.splice(
        random.integerBelow(addresses.length),
        1,
      );
      const answer = await this.rpc.call(address!, app.table, {service});
      for (const entry of answer.ok ? answer.value.cells : []) {
        const cellId = `${entry.slot} ${entry.cell.from}`;
        const known = merged.get(cellId);
        if (known === undefined || known.cell.until <= entry.cell.until) {
          merged.set(cellId, entry);
        }
      }
    }
    if (merged.size > 0) {
      this.tables.set(service, {
        cells: [...merged.values()],
        fetchedAt: Date.now(),
      });
    }
  }
}
