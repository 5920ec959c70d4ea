/**
 * Manages one sidecar's ownership of a service's slots: takes the slots
 * assigned to it, extends their cells ahead of time and hands them over.
 *
 * A key may run here only if its minting time lies in a cell that the store has
 * confirmed as owned by this incarnation. A surrendered slot stays surrendered
 * for the lifetime of the process, whatever a late read of the store returns.
 */
import type {SteadyClock} from '../clock';
import {monotonicMs} from '../clock';
import {Log} from '../observability/log';
import type {ObjectApi} from '../platform/client';
import type {PlatformError, StoredObject} from '../platform/types';
import * as random from '../random';
import {Result, fail, ok} from '../result';
import * as rendezvous from '../routing/rendezvous';
import * as v from 'valibot';
import * as cells from './cells';
import * as types from './types';

/** A cell is extended once no more than this share of the term remains. */
const EXTEND_AT_SHARE = 2 / 3;
const RETRY_INTERVAL_MS = 500;
const MIN_UPKEEP_INTERVAL_MS = 50;
const MAX_UPKEEP_INTERVAL_MS = 30_000;

export interface SlotManagerSettings {
  readonly service: string;
  readonly slots: number;
  readonly termMs: number;
  readonly retentionMs: number;
}

interface CachedSlot {
  version: number;
  slot: types.Slot;
}

/** Who owns a minting time of a slot. */
export type Ownership =
  | {readonly kind: 'mine'}
  | {readonly kind: 'other'; readonly owner: types.Owner}
  /** Before the last cell and in no cell: can never get an owner. */
  | {readonly kind: 'never-owned'}
  /** After the last cell: has no owner yet. */
  | {readonly kind: 'not-yet'}
  | {readonly kind: 'surrendered'};

export class SlotManager {
  private readonly cache = new Map<number, CachedSlot>();
  private readonly surrendered = new Set<number>();
  /** By slot: `from` of the cells whose key records this process holds. */
  private readonly cellsWithRecords = new Map<number, Set<number>>();
  private timer: NodeJS.Timeout | undefined;
  private closed = false;
  private currentUpkeep: Promise<void> | undefined;
  private rerunRequested = false;

  constructor(
    private readonly settings: () => SlotManagerSettings,
    readonly self: types.Owner,
    private readonly clock: SteadyClock,
    private readonly store: ObjectApi,
    private readonly log: Log,
    /** Target IDs of the service's live sidecars, including this one. */
    private readonly liveIds: () => readonly string[],
  ) {}

  /**
   * Runs the upkeep now. Call it whenever the list of live sidecars changes.
   */
  triggerUpkeep(): void {
    if (this.closed) {
      return;
    }
    if (this.currentUpkeep !== undefined) {
      this.rerunRequested = true;
      return;
    }
    clearTimeout(this.timer);
    this.currentUpkeep = this.runUpkeep();
  }

  /** Who owns a minting time of a slot, according to the local cache. */
  ownership(slot: number, mintedAt: number): Ownership {
    const cached = this.cache.get(slot);
    const cell = cached && cells.cellAt(cached.slot, mintedAt);
    if (cell === undefined) {
      const last = cached && cells.lastCell(cached.slot);
      return last !== undefined && mintedAt < last.from
        ? {kind: 'never-owned'}
        : {kind: 'not-yet'};
    }
    if (cell.owner.incarnation !== this.self.incarnation) {
      return {kind: 'other', owner: cell.owner};
    }
    if (this.surrendered.has(slot)) {
      return {kind: 'surrendered'};
    }
    const hasRecords = this.cellsWithRecords.get(slot)?.has(cell.from) ?? false;
    return hasRecords ? {kind: 'mine'} : {kind: 'other', owner: cell.owner};
  }

  /** All cells in the local cache. */
  listCells(): {slot: number; version: number; cell: types.Cell}[] {
    const listed = [];
    for (const [slot, {version, slot: cached}] of this.cache) {
      for (const cell of cached.cells) {
        listed.push({slot, version, cell});
      }
    }
    return listed;
  }

  /** Slots whose last cell this incarnation owns and has not surrendered. */
  ownSlots(): number[] {
    const slots: number[] = [];
    for (const slot of this.cache.keys()) {
      if (this.isOwn(slot) && !this.surrendered.has(slot)) {
        slots.push(slot);
      }
    }
    return slots;
  }

  /** Stops running and burning keys of the slot, for good. */
  surrender(slot: number): void {
    this.surrendered.add(slot);
  }

  /**
   * Notes that this process holds the key records of the cell starting at
   * `from`.
   */
  markRecordsHeld(slot: number, from: number): void {
    const cellStarts = this.cellsWithRecords.get(slot) ?? new Set<number>();
    this.cellsWithRecords.set(slot, cellStarts.add(from));
  }

  /** Writes the successor of a surrendered slot to the store. */
  async handOver(
    slot: number,
    successor: types.Owner,
  ): Promise<Result<void, PlatformError | cells.CellError>> {
    const cached = this.cache.get(slot);
    if (cached === undefined || !this.surrendered.has(slot)) {
      return fail({kind: 'not-owner'});
    }
    const next = cells.handOver(cached.slot, this.self.incarnation, successor);
    if (!next.ok) {
      return next;
    }
    const written = await this.write(slot, next.value, cached.version);
    return written.ok ? ok(undefined) : written;
  }

  /** Rereads one slot from the store; false if the store is unavailable. */
  async refresh(slot: number): Promise<boolean> {
    const key = types.slotStoreKey(this.settings().service, slot);
    const read = await this.store.get(key);
    if (!read.ok) {
      return false;
    }
    if (read.value !== null) {
      this.cacheIfNewer(read.value);
    }
    return true;
  }

  /** Stops the upkeep and waits for the current round to end. */
  async close(): Promise<void> {
    this.closed = true;
    clearTimeout(this.timer);
    await this.currentUpkeep;
  }

  private async runUpkeep(): Promise<void> {
    const delayMs = await this.upkeepSlots();
    this.currentUpkeep = undefined;
    if (this.closed) {
      return;
    }
    if (this.rerunRequested) {
      this.rerunRequested = false;
      this.triggerUpkeep();
      return;
    }
    this.timer = setTimeout(() => this.triggerUpkeep(), delayMs);
  }

  /** Runs one round of upkeep and returns the delay to the next, in ms. */
  private async upkeepSlots(): Promise<number> {
    const prefix = types.slotStorePrefix(this.settings().service);
    if (this.needsListing()) {
      const listing = await this.store.list(prefix);
      if (!listing.ok) {
        return random.jitter(RETRY_INTERVAL_MS);
      }
      listing.value.items.forEach(item => this.cacheIfNewer(item));
    }
    let allDone = true;
    for (let slot = 0; slot < this.settings().slots; slot += 1) {
      allDone = (await this.upkeepSlot(slot)) && allDone;
    }
    return allDone ? this.nextDelayMs() : random.jitter(RETRY_INTERVAL_MS);
  }

  private needsListing(): boolean {
    const {slots} = this.settings();
    const now = this.clock.now();
    for (let slot = 0; slot < slots; slot += 1) {
      const cached = this.cache.get(slot);
      const isDue = cached === undefined || this.canBeTaken(cached.slot, now);
      if (isDue && this.isAssignedHere(slot) && !this.isOwn(slot)) {
        return true;
      }
    }
    return false;
  }

  private isOwn(slot: number): boolean {
    const cached = this.cache.get(slot);
    const last = cached && cells.lastCell(cached.slot);
    return last?.owner.incarnation === this.self.incarnation;
  }

  private isAssignedHere(slot: number): boolean {
    const {service} = this.settings();
    const ids = this.liveIds();
    const best = rendezvous.topByKey(`${service}/${slot}`, ids, id => id, 1);
    return best[0] === this.self.targetId && !this.surrendered.has(slot);
  }

  private canBeTaken(slot: types.Slot, now: number): boolean {
    const last = cells.lastCell(slot);
    return (
      last === undefined ||
      last.until <= now + this.self.leadMs ||
      this.isDeadPredecessor(last.owner)
    );
  }

  /**
   * True if the owner has terminated: this process listens at the owner's
   * address on the same boot, which is possible only after the owner has
   * released it.
   */
  private isDeadPredecessor(owner: types.Owner): boolean {
    return (
      owner.incarnation !== this.self.incarnation &&
      owner.address === this.self.address &&
      owner.bootId === this.self.bootId
    );
  }

  /** Takes or extends a slot if due; false if it must be retried soon. */
  private async upkeepSlot(slot: number): Promise<boolean> {
    const now = this.clock.now();
    const cached = this.cache.get(slot);
    const last = cached && cells.lastCell(cached.slot);
    if (cached && last && this.isOwn(slot)) {
      const {termMs} = this.settings();
      const isDue = last.until - now <= termMs * EXTEND_AT_SHARE;
      const isKept = !this.surrendered.has(slot);
      return isDue && isKept ? this.extendSlot(slot, cached) : true;
    }
    if (cached && last && this.isDeadPredecessor(last.owner)) {
      return this.endPredecessorCell(slot, cached, last.owner);
    }
    if (!this.isAssignedHere(slot)) {
      return true;
    }
    return this.takeSlot(slot, cached);
  }

  private async extendSlot(slot: number, cached: CachedSlot): Promise<boolean> {
    const {termMs, retentionMs} = this.settings();
    const now = this.clock.now();
    const next = cells.extend(
      cells.prune(cached.slot, now - retentionMs),
      this.self.incarnation,
      now + termMs,
    );
    if (!next.ok) {
      return true;
    }
    const written = await this.write(slot, next.value, cached.version);
    if (!written.ok && written.error.kind !== 'conflict') {
      this.log.event('cellExtensionLate', {slot, error: written.error.kind});
    }
    return written.ok;
  }

  private async endPredecessorCell(
    slot: number,
    cached: CachedSlot,
    predecessor: types.Owner,
  ): Promise<boolean> {
    const predecessorNow = cells.readClockOf(predecessor.anchor, monotonicMs());
    const at = predecessorNow + predecessor.leadMs + 1;
    const cut = cells.cutShort(cached.slot, predecessor.incarnation, at);
    if (!cut.ok) {
      return true;
    }
    const {termMs} = this.settings();
    const now = this.clock.now();
    const taken = this.isAssignedHere(slot)
      ? cells.take(cut.value, this.self, now, now + termMs, Infinity)
      : cut;
    const next = taken.ok ? taken.value : cut.value;
    const written = await this.write(slot, next, cached.version);
    if (written.ok) {
      this.log.event('cellCut', {slot, until: at});
    }
    return written.ok;
  }

  private async takeSlot(
    slot: number,
    cached: CachedSlot | undefined,
  ): Promise<boolean> {
    const {termMs, retentionMs} = this.settings();
    const now = this.clock.now();
    const current = cached?.slot ?? cells.EMPTY_SLOT;
    const next = cells.take(
      cells.prune(current, now - retentionMs),
      this.self,
      now,
      now + termMs,
      now + this.self.leadMs,
    );
    if (!next.ok) {
      return true;
    }
    const written = await this.write(slot, next.value, cached?.version ?? 0);
    if (written.ok) {
      const from = cells.lastCell(next.value)?.from;
      this.log.event('cellTaken', {slot, from});
    }
    return written.ok;
  }

  /**
   * Writes a slot. No other process has run keys of a cell that the write
   * takes, so its key records count as held.
   */
  private async write(
    slot: number,
    next: types.Slot,
    version: number,
  ): Promise<Result<number, PlatformError>> {
    for (const cell of next.cells) {
      if (cell.owner.incarnation === this.self.incarnation) {
        this.markRecordsHeld(slot, cell.from);
      }
    }
    const key = types.slotStoreKey(this.settings().service, slot);
    const written = await this.store.put(key, next, version);
    if (written.ok) {
      this.cacheIfNewer({key, version: written.value, value: next});
      return written;
    }
    if (written.error.kind === 'conflict') {
      if (written.error.current !== null) {
        this.cacheIfNewer(written.error.current);
      }
    } else {
      if (written.error.kind === 'unavailable' && written.error.maybeApplied) {
        this.log.event('answerLost', {key});
      }
      await this.refresh(slot);
    }
    return written;
  }

  private cacheIfNewer(item: StoredObject): void {
    const parsed = v.safeParse(types.slotSchema, item.value);
    const slot = types.slotOfStoreKey(item.key);
    if (!parsed.success || !Number.isInteger(slot)) {
      return;
    }
    const cached = this.cache.get(slot);
    if (cached !== undefined && cached.version >= item.version) {
      return;
    }
    const wasOwn = this.isOwn(slot);
    this.cache.set(slot, {version: item.version, slot: parsed.output});
    if (wasOwn && !this.isOwn(slot)) {
      this.log.event('cellLost', {slot});
    }
  }

  private nextDelayMs(): number {
    const now = this.clock.now();
    const {slots, termMs} = this.settings();
    let soonest = now + MAX_UPKEEP_INTERVAL_MS;
    for (let slot = 0; slot < slots; slot += 1) {
      const cached = this.cache.get(slot);
      const last = cached && cells.lastCell(cached.slot);
      if (last === undefined) {
        continue;
      }
      if (this.isOwn(slot)) {
        const extendAt = last.until - termMs * EXTEND_AT_SHARE;
        soonest = Math.min(soonest, extendAt);
      } else if (this.isAssignedHere(slot)) {
        soonest = Math.min(soonest, last.until - this.self.leadMs);
      }
    }
    return Math.max(soonest - now, MIN_UPKEEP_INTERVAL_MS);
  }
}
