/**
 * Cache of the maps that a sidecar received last, as bases of maps that are
 * sent as differences. A version is unique only within an epoch of the group.
 */
import * as packing from './packing';
import type {ExpertMap} from './types';

/** Version of the map that every group starts with. */
export const INITIAL_MAP_VERSION = 0;
/** The active map, the prepared one, and up to two abandoned ones. */
const MAX_MAPS = 4;

interface CachedMap {
  readonly epoch: number;
  readonly version: number;
  readonly map: ExpertMap;
}

export class MapCache {
  private cached: CachedMap[] = [];

  add(epoch: number, version: number, map: ExpertMap): void {
    const others = this.cached.filter(
      copy => copy.epoch === epoch && copy.version !== version,
    );
    this.cached = [{epoch, version, map}, ...others].slice(0, MAX_MAPS);
  }

  clear(): void {
    this.cached = [];
  }

  /** Undefined if the map is not cached. */
  find(
    epoch: number,
    version: number,
    shape: packing.MapShape,
  ): ExpertMap | undefined {
    return version === INITIAL_MAP_VERSION
      ? packing.initialMap(shape)
      : this.cached.find(
          copy => copy.epoch === epoch && copy.version === version,
        )?.map;
  }
}
