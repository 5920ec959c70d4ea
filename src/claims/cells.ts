/**
 * State transitions of a slot's cells. Every function is pure and returns a new
 * slot or an error; the caller writes the slot by conditional update.
 */
import {Result, fail, ok} from '../result';
import type {Cell, ClockAnchor, Owner, Slot} from './types';

/** Why a transition was rejected. */
export type CellError =
  /** The last cell ends at `until`; a new owner's cell cannot start earlier. */
  | {
      readonly kind: 'still-owned';
      readonly until: number;
      readonly owner: Owner;
    }
  | {readonly kind: 'not-owner'}
  | {readonly kind: 'empty-interval'};

export const EMPTY_SLOT: Slot = {cells: []};

/** The cell that contains a minting time. */
export function cellAt(slot: Slot, mintedAt: number): Cell | undefined {
  return slot.cells.find(
    cell => cell.from <= mintedAt && mintedAt < cell.until,
  );
}

export function lastCell(slot: Slot): Cell | undefined {
  return slot.cells[slot.cells.length - 1];
}

/**
 * Appends a cell for a new owner, from the end of the last cell or from `now`
 * if that has passed. Fails if the last cell ends after `acceptBefore`, which
 * may be later than `now` so that no gap without an owner arises.
 */
export function take(
  slot: Slot,
  owner: Owner,
  now: number,
  until: number,
  acceptBefore: number,
): Result<Slot, CellError> {
  const last = lastCell(slot);
  if (last !== undefined && last.until > acceptBefore) {
    return fail({
      kind: 'still-owned',
      until: last.until,
      owner: last.owner,
    });
  }
  const from = Math.max(last?.until ?? 0, now);
  if (until <= from) {
    return fail({kind: 'empty-interval'});
  }
  return ok({cells: [...slot.cells, {from, until, owner}]});
}

/** Extends the owner's last cell to `until`; never shortens it. */
export function extend(
  slot: Slot,
  incarnation: string,
  until: number,
): Result<Slot, CellError> {
  const last = lastCell(slot);
  if (last === undefined || last.owner.incarnation !== incarnation) {
    return fail({kind: 'not-owner'});
  }
  const extended = {...last, until: Math.max(last.until, until)};
  return ok({cells: [...slot.cells.slice(0, -1), extended]});
}

/**
 * Ends the last cell at `at`, if that is earlier. Safe only if the owner has
 * terminated, or if the caller is the owner and runs no key minted from `at`
 * on.
 */
export function cutShort(
  slot: Slot,
  incarnation: string,
  at: number,
): Result<Slot, CellError> {
  const last = lastCell(slot);
  if (last === undefined || last.owner.incarnation !== incarnation) {
    return fail({kind: 'not-owner'});
  }
  const until = Math.min(last.until, Math.max(at, last.from));
  const kept = slot.cells.slice(0, -1);
  if (until === last.from) {
    return ok({cells: kept});
  }
  return ok({cells: [...kept, {...last, until}]});
}

/** Transfers all of an incarnation's cells to the successor. */
export function handOver(
  slot: Slot,
  incarnation: string,
  successor: Owner,
): Result<Slot, CellError> {
  const cells = slot.cells.map(cell =>
    cell.owner.incarnation === incarnation ? {...cell, owner: successor} : cell,
  );
  return lastCell(slot)?.owner.incarnation === incarnation
    ? ok({cells})
    : fail({kind: 'not-owner'});
}

/** Drops cells that end at or before `oldestKept`, except the last cell. */
export function prune(slot: Slot, oldestKept: number): Slot {
  const last = lastCell(slot);
  return {
    cells: slot.cells.filter(cell => cell.until > oldestKept || cell === last),
  };
}

/**
 * Wall-clock time, in milliseconds, of a process of the same boot with this
 * anchor. Exact, since both processes read the boot's one monotonic clock.
 */
export function readClockOf(anchor: ClockAnchor, monotonicMs: number): number {
  return Math.ceil(anchor.wallMs + (monotonicMs - anchor.monotonicMs));
}

/** True if all cells are non-empty, in order and disjoint. */
export function areCellsDisjoint(slot: Slot): boolean {
  return slot.cells.every((cell, index) => {
    const next = slot.cells[index + 1];
    return (
      cell.from < cell.until && (next === undefined || cell.until <= next.from)
    );
  });
}
