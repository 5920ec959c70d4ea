/**
 * Maps that a sidecar was told lately, so that the next one can be told as what
 * differs from one of them. A version names one map for as long as an epoch of
 * the group lasts.
 */
import * as packing from './packing';
import type {ExpertMap} from './types';

/** The map that every group starts with has this version. */
export const DEALT_VERSION = 0;
/**
 * Maps kept: the one in force, the one prepared, and one or two that were
 * given up between them.
 */
const MOST_MAPS = 4;

interface Copy {
  readonly epoch: number;
  readonly version: number;
  readonly map: ExpertMap;
}

/** The maps that one sidecar was told last. */
export class MapCopies {
  private copies: Copy[] = [];

  note(epoch: number, version: number, map: ExpertMap): void {
    const others = this.copies.filter(
      copy => copy.epoch === epoch && copy.version !== version,
    );
    this.copies = [{epoch, version, map}, ...others].slice(0, MOST_MAPS);
  }

  /** As after a start of the process. */
  forget(): void {
    this.copies = [];
  }

  /** Undefined where the map is not known, or not known any more. */
  find(
    epoch: number,
    version: number,
    shape: packing.MapShape,
  ): ExpertMap | undefined {
    return version === DEALT_VERSION
      ? packing.initialMap(shape)
      : this.copies.find(
          copy => copy.epoch === epoch && copy.version === version,
        )?.map;
  }
}
