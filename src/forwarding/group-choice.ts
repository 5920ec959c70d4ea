/**
 * Chooses the group of a service that gets a request. Each group has its own
 * passes and so its own capacity, whatever the state of the others. Pure.
 */
import * as grouping from '../grouping';
import * as random from '../random';
import type {GroupCapacity} from './group-views';
import type {Target} from './types';

/** The targets of one group of a service. */
export interface TargetGroup {
  /** Undefined: targets without a group. */
  readonly name: string | undefined;
  readonly targets: readonly Target[];
}

export interface GroupOption extends TargetGroup {
  /** Undefined: no limit of its own. */
  readonly capacity: GroupCapacity | undefined;
}

/** Targets by group, in the order in which groups first appear. */
export function groupsOf(targets: readonly Target[]): TargetGroup[] {
  const [first] = targets;
  // Most services have one group, and each try of a waiting request asks.
  if (first && targets.every(({group}) => group === first.group)) {
    return [{name: first.group, targets}];
  }
  const groups = grouping.groupBy(targets, target => target.group);
  return [...groups].map(([name, members]) => ({name, targets: members}));
}

/**
 * Draws a group at random, weighted by its free capacity; undefined if none has
 * any. All entries get the same delayed reports: if each took the emptiest
 * group, it would be overloaded before the next report.
 */
export function chooseGroup(
  options: readonly GroupOption[],
): GroupOption | undefined {
  const weights = options.map(({capacity, targets}) =>
    capacity === undefined
      ? targets.length
      : Math.max(capacity.most - capacity.requests, 0),
  );
  let remaining =
    random.uniform() * weights.reduce((sum, weight) => sum + weight, 0);
  return options.find((_, at) => {
    remaining -= weights[at]!;
    return weights[at]! > 0 && remaining < 0;
  });
}

/**
 * The option as far as this entry may use it; undefined if it may not. A share
 * replaces the estimate of what the other entries use, which multiplies each
 * change of this entry's requests by the number of entries.
 */
export function limitToShare(
  option: GroupOption,
  share: number | undefined,
  inFlight: number,
): GroupOption | undefined {
  if (share === undefined) {
    return option;
  }
  const capacity = option.capacity && {
    ...option.capacity,
    most: share,
    requests: inFlight,
  };
  return inFlight < share ? {...option, capacity} : undefined;
}

/** The option limited by the slots of its group instead of by its passes. */
export function limitToSlots(option: GroupOption, slots: number): GroupOption {
  const capacity = option.capacity && {
    ...option.capacity,
    most: slots,
    requests: option.capacity.usableRequests,
  };
  return {...option, capacity};
}

/** The capacity of the group with the lowest load, for the log. */
export function leastLoaded(
  options: readonly GroupOption[],
): GroupCapacity | undefined {
  const capacities = options.flatMap(({capacity}) => capacity ?? []);
  const loadOf = (capacity: GroupCapacity) => capacity.requests / capacity.most;
  return capacities.sort((a, b) => loadOf(a) - loadOf(b))[0];
}
