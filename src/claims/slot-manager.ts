/**
 * The owner's side of the slots of one service: takes the slots that fall to
 * this sidecar, extends their cells well ahead, and gives them up.
 *
 * A key may run here only if a cell that the store has confirmed as this
 * incarnation's own contains its minting time. Once a slot is surrendered it
 * stays so for the life of this process, whatever a late read shows.
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

/** A term is extended when this share of it is left. */
const EXTEND_AT_SHARE = 2 / 3;
const RETRY_INTERVAL_MS = 500;
const MIN_UPKEEP_INTERVAL_MS = 50;
const MAX_UPKEEP_INTERVAL_MS = 30_000;

/** What the keeper needs to know of its service. */
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

/** Owner, if any, of a slot at a minting time. */
export type Ownership =
  | {readonly kind: 'mine'}
  | {readonly kind: 'other'; readonly owner: types.Owner}
  /** Between two cells: nobody has owned this time and nobody will. */
  | {readonly kind: 'never-owned'}
  /** Behind the last cell: nobody owns this time yet. */
  | {readonly kind: 'not-yet'}
  | {readonly kind: 'surrendered'};

export class SlotManager {
  private readonly cache = new Map<number, CachedSlot>();
  private readonly surrendered = new Set<number>();
  /** Starts of cells whose record this process holds, by slot. */
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
    /** Target ids of the service's live sidecars, this one among them. */
    private readonly liveIds: () => readonly string[],
  ) {}

  /** Starts taking slots; call again whenever the live list changes. */
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

  /** Who owns a minting time of a slot, as far as this process knows. */
  ownership(slot: number, mintedAt: number): Ownership {
    const held = this.cache.get(slot);
    const cell = held && cells.cellAt(held.slot, mintedAt);
    if (cell === undefined) {
      const last = held && cells.lastCell(held.slot);
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
    const trusted = this.cellsWithRecords.get(slot)?.has(cell.from) ?? false;
    return trusted ? {kind: 'mine'} : {kind: 'other', owner: cell.owner};
  }

  /** The slots as this process knows them. */
  listCells(): {slot: number; cell: types.Cell}[] {
    const table: {slot: number; cell: types.Cell}[] = [];
    for (const [slot, held] of this.cache) {
      for (const cell of held.slot.cells) {
        table.push({slot, cell});
      }
    }
    return table;
  }

  /** Slots whose newest cell is this incarnation's own and in force. */
  ownSlots(): number[] {
    const slots: number[] = [];
    for (const slot of this.cache.keys()) {
      if (this.isOwn(slot) && !this.surrendered.has(slot)) {
        slots.push(slot);
      }
    }
    return slots;
  }

  /** From now on this process neither runs nor burns keys of the slot. */
  surrender(slot: number): void {
    this.surrendered.add(slot);
  }

  /** This process holds the record of the slot's cell that starts there. */
  markRecordsHeld(slot: number, from: number): void {
    const starts = this.cellsWithRecords.get(slot) ?? new Set<number>();
    this.cellsWithRecords.set(slot, starts.add(from));
  }

  /** Writes the hand-over of a surrendered slot. */
  async handOver(
    slot: number,
    successor: types.Owner,
  ): Promise<Result<void, PlatformError | cells.CellError>> {
    const held = this.cache.get(slot);
    if (held === undefined || !this.surrendered.has(slot)) {
      return fail({kind: 'not-owner'});
    }
    const next = cells.handOver(held.slot, this.self.incarnation, successor);
    if (!next.ok) {
      return next;
    }
    const written = await this.write(slot, next.value, held.version);
    return written.ok ? ok(undefined) : written;
  }

  /** Reads one slot from the store, now. */
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

  /** Stops the upkeep and waits for the write under way. */
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

  /** One round of upkeep. Answers milliseconds until the next. */
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
      const held = this.cache.get(slot);
      const isDue = held === undefined || this.canBeTaken(held.slot, now);
      if (isDue && this.isAssignedHere(slot) && !this.isOwn(slot)) {
        return true;
      }
    }
    return false;
  }

  private isOwn(slot: number): boolean {
    const held = this.cache.get(slot);
    const last = held && cells.lastCell(held.slot);
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
   * A process that holds the same address on the same boot can only live
   * after the one that held it before has ended.
   */
  private isDeadPredecessor(owner: types.Owner): boolean {
    return (
      owner.incarnation !== this.self.incarnation &&
      owner.address === this.self.address &&
      owner.bootId === this.self.bootId
    );
  }

  /** Answers false where the slot must be tried again soon. */
  private async upkeepSlot(slot: number): Promise<boolean> {
    const now = this.clock.now();
    const held = this.cache.get(slot);
    const last = held && cells.lastCell(held.slot);
    if (held && last && this.isOwn(slot)) {
      const {termMs} = this.settings();
      const due = last.until - now <= termMs * EXTEND_AT_SHARE;
      const keep = !this.surrendered.has(slot);
      return due && keep ? this.extendSlot(slot, held) : true;
    }
    if (held && last && this.isDeadPredecessor(last.owner)) {
      return this.endPredecessorCell(slot, held, last.owner);
    }
    if (!this.isAssignedHere(slot)) {
      return true;
    }
    return this.takeSlot(slot, held);
  }

  private async extendSlot(slot: number, held: CachedSlot): Promise<boolean> {
    const {termMs, retentionMs} = this.settings();
    const now = this.clock.now();
    const next = cells.extend(
      cells.prune(held.slot, now - retentionMs),
      this.self.incarnation,
      now + termMs,
    );
    if (!next.ok) {
      return true;
    }
    const written = await this.write(slot, next.value, held.version);
    if (!written.ok && written.error.kind !== 'conflict') {
      this.log.event('cellExtensionLate', {slot, error: written.error.kind});
    }
    return written.ok;
  }

  private async endPredecessorCell(
    slot: number,
    held: CachedSlot,
    predecessor: types.Owner,
  ): Promise<boolean> {
    const reading = cells.readClockOf(predecessor.anchor, monotonicMs());
    const at = reading + predecessor.leadMs + 1;
    const cut = cells.cutShort(held.slot, predecessor.incarnation, at);
    if (!cut.ok) {
      return true;
    }
    const {termMs} = this.settings();
    const now = this.clock.now();
    const taken = this.isAssignedHere(slot)
      ? cells.take(cut.value, this.self, now, now + termMs, Infinity)
      : cut;
    const next = taken.ok ? taken.value : cut.value;
    const written = await this.write(slot, next, held.version);
    if (written.ok) {
      this.log.event('cellCut', {slot, until: at});
    }
    return written.ok;
  }

  private async takeSlot(
    slot: number,
    held: CachedSlot | undefined,
  ): Promise<boolean> {
    const {termMs, retentionMs} = this.settings();
    const now = this.clock.now();
    const before = held?.slot ?? cells.EMPTY_SLOT;
    const next = cells.take(
      cells.prune(before, now - retentionMs),
      this.self,
      now,
      now + termMs,
      now + this.self.leadMs,
    );
    if (!next.ok) {
      return true;
    }
    const written = await this.write(slot, next.value, held?.version ?? 0);
    if (written.ok) {
      const from = cells.lastCell(next.value)?.from;
      this.log.event('cellTaken', {slot, from});
    }
    return written.ok;
  }

  /**
   * Writes a slot. Cells that this write makes this process's own are
   * trusted: no earlier life of this incarnation ran a key of them.
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
    const held = this.cache.get(slot);
    if (held !== undefined && held.version >= item.version) {
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
      const held = this.cache.get(slot);
      const last = held && cells.lastCell(held.slot);
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
