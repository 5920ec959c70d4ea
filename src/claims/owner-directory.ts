/**
 * The entry's copy of a service's slots, fetched from the sidecars: it only
 * finds the owner faster. A wrong line costs a hop, since the owner decides.
 */
import * as random from '../random';
import type {RpcClient} from '../rpc/client';
import * as app from './rpc-methods';
import * as keys from './keys';
import type {Cell, Owner} from './types';

const SIDECARS_PER_FETCH = 2;
const MIN_REFRESH_INTERVAL_MS = 200;

/** The slots of one service. */
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

  /** The owner of a key, if a table in hand or a fresh one shows it. */
  async findOwner(
    service: string,
    key: keys.RequestKey,
    slots: number,
  ): Promise<Owner | undefined> {
    const known = this.lookUp(service, key, slots);
    if (known !== undefined) {
      return known;
    }
    await this.refresh(service);
    return this.lookUp(service, key, slots);
  }

  /** Fetches the table again; calls within a short time share one. */
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
   * Mints keys for now, in slots whose owner is live. Empty where no slot
   * has a live owner.
   */
  async mintKeys(
    service: string,
    count: number,
    slots: number,
    isLive: (targetId: string) => boolean,
    now: number,
  ): Promise<string[]> {
    let wanted = this.slotsOfLiveOwners(service, isLive, now);
    if (wanted.size === 0) {
      await this.refresh(service);
      wanted = this.slotsOfLiveOwners(service, isLive, now);
    }
    const minted: string[] = [];
    while (wanted.size > 0 && minted.length < count) {
      minted.push(keys.mintKey(now, slots, wanted).text);
    }
    return minted;
  }

  private slotsOfLiveOwners(
    service: string,
    isLive: (targetId: string) => boolean,
    now: number,
  ): Set<number> {
    const wanted = new Set<number>();
    for (const [slot, cell] of this.newestCells(service)) {
      if (cell.from <= now && isLive(cell.owner.targetId)) {
        wanted.add(slot);
      }
    }
    return wanted;
  }

  private lookUp(
    service: string,
    key: keys.RequestKey,
    slots: number,
  ): Owner | undefined {
    const slot = keys.slotOf(key, slots);
    const newest = this.newestCells(service).get(slot);
    if (newest !== undefined && newest.from <= key.mintedAt) {
      return newest.owner;
    }
    const line = this.tables
      .get(service)
      ?.cells.find(
        entry =>
          entry.slot === slot &&
          entry.cell.from <= key.mintedAt &&
          key.mintedAt < entry.cell.until,
      );
    // Whoever has the slot now also knows of the time before its cells.
    return line?.cell.owner ?? newest?.owner;
  }

  /**
   * The newest cell of each slot, taken as open-ended: its owner extends it
   * all the time, and this copy does not hear of that.
   */
  private newestCells(service: string): Map<number, Cell> {
    const newest = new Map<number, Cell>();
    for (const {slot, cell} of this.tables.get(service)?.cells ?? []) {
      const held = newest.get(slot);
      if (held === undefined || held.from < cell.from) {
        newest.set(slot, cell);
      }
    }
    return newest;
  }

  /** Merges two sidecars' tables: the newer line of a slot is the longer. */
  private async fetch(service: string): Promise<void> {
    const addresses = [...this.sidecars(service)];
    const merged = new Map<string, {slot: number; cell: Cell}>();
    for (
      let tries = 0;
      tries < SIDECARS_PER_FETCH && addresses.length > 0;
      tries += 1
    ) {
      const [address] = addresses.splice(
        random.integerBelow(addresses.length),
        1,
      );
      const answer = await this.rpc.call(address!, app.table, {service});
      for (const line of answer.ok ? answer.value.cells : []) {
        const name = `${line.slot} ${line.cell.from}`;
        const held = merged.get(name);
        if (held === undefined || held.cell.until <= line.cell.until) {
          merged.set(name, line);
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
