/**
 * The rules of a slot's cells. Pure: every function gives a new slot or a
 * refusal, and the caller writes it by conditional update.
 */
import {Result, fail, ok} from '../result';
import type {Cell, ClockAnchor, Owner, Slot} from './types';

/** Why a slot was left as it is. */
export type CellError =
  /** The last cell runs until then; a new owner starts from there only. */
  | {
      readonly kind: 'still-owned';
      readonly until: number;
      readonly owner: Owner;
    }
  | {readonly kind: 'not-owner'}
  | {readonly kind: 'empty-interval'};

/** A slot nobody has owned yet. */
export const EMPTY_SLOT: Slot = {cells: []};

/** The cell that owns a minting time. */
export function cellAt(slot: Slot, mintedAt: number): Cell | undefined {
  return slot.cells.find(
    cell => cell.from <= mintedAt && mintedAt < cell.until,
  );
}

/** The newest cell. */
export function lastCell(slot: Slot): Cell | undefined {
  return slot.cells[slot.cells.length - 1];
}

/**
 * Gives a slot to a new owner from the old `until`, or from `now` if that
 * has passed. `acceptBefore` bounds how far ahead the old `until` may lie:
 * a slot may be taken a little early, so that no minting time is unowned.
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

/** Moves the owner's `until` ahead; never back. */
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
 * Ends a cell early at `at`. Only for a caller that has proved the owner
 * dead, or that is the owner and runs no key minted from `at` on.
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

/** Gives the newest cell, with its record, to another incarnation. */
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

/** Drops cells whose keys are all older than the retention. */
export function prune(slot: Slot, oldestKept: number): Slot {
  const last = lastCell(slot);
  return {
    cells: slot.cells.filter(cell => cell.until > oldestKept || cell === last),
  };
}

/**
 * What a process of the same boot, whose clock had this anchor, would read
 * now. Exact: both clocks run on the boot's one monotonic clock.
 */
export function readClockOf(anchor: ClockAnchor, monotonicMs: number): number {
  return Math.ceil(anchor.wallMs + (monotonicMs - anchor.monotonicMs));
}

/** True where cells are in order and no two share a minting time. */
export function areCellsDisjoint(slot: Slot): boolean {
  return slot.cells.every((cell, index) => {
    const next = slot.cells[index + 1];
    return (
      cell.from < cell.until && (next === undefined || cell.until <= next.from)
    );
  });
}
