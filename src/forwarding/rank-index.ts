/** Ranks by group. */
import * as grouping from '../grouping';
import type {Target} from './types';

/** Identifies a group among those of all services. */
export function keyOf(target: Target): string {
  return `${target.service} ${target.group}`;
}

/** Looks up ranks by group key; indexes them again only if their list changes. */
export class RankIndex {
  private ranks: readonly Target[] | undefined;
  private byKey: ReadonlyMap<string, readonly Target[]> = new Map();

  /** `list` returns the same array until a rank changes. */
  constructor(private readonly list: () => readonly Target[]) {}

  of(key: string): readonly Target[] {
    const ranks = this.list();
    if (ranks !== this.ranks) {
      this.ranks = ranks;
      this.byKey = grouping.groupBy(ranks, keyOf);
    }
    return this.byKey.get(key) ?? [];
  }
}
