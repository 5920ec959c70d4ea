/**
 * Maps that a sidecar was told lately, so that the next one can be told as what
 * differs from one of them. A version names one map for as long as an epoch of
 * the group lasts.
 */
import * as packing from './packing';
import type {ExpertMap} from './types';

/** The map that every group starts with has this version. */
export const INITIAL_MAP_VERSION = 0;
/**
 * Maps kept: the one in force, the one prepared, and one or two that were
 * given up between them.
 */
const MAX_MAPS = 4;

interface CachedMap {
  readonly epoch: number;
  readonly version: number;
  readonly map: ExpertMap;
}

/** The maps that one sidecar was told last. */
export class MapCache {
  private cached: CachedMap[] = [];

  add(epoch: number, version: number, map: ExpertMap): void {
    const others = this.cached.filter(
      copy => copy.epoch === epoch && copy.version !== version,
    );
    this.cached = [{epoch, version, map}, ...others].slice(0, MAX_MAPS);
  }

  /** As after a start of the process. */
  clear(): void {
    this.cached = [];
  }

  /** Undefined where the map is not known, or not known any more. */
  find(
    epoch: number,
    version: number,
    shape: packing.MapShape,
  ): ExpertMap | undefined {
    return version === INITIAL_MAP_VERSION
      ? packing.dealtMap(shape)
      : this.cached.find(
          copy => copy.epoch === epoch && copy.version === version,
        )?.map;
  }
}
