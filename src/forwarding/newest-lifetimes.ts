/** Distinguishes the lifetimes of targets. */
import type {Target} from './types';

/** Of the targets with the same key, the one with the highest revision. */
export function of(
  targets: readonly Target[],
  keyOf: (target: Target) => string,
): Target[] {
  const newest = new Map<string, Target>();
  for (const target of targets) {
    const key = keyOf(target);
    if ((newest.get(key)?.revision ?? -1) < target.revision) {
      newest.set(key, target);
    }
  }
  return [...newest.values()];
}
