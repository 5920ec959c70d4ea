/**
 * Which of a service's groups takes a request. Each group has passes of its
 * own, and so its own room: one that is full, or has just opened, says nothing
 * of the others. Pure.
 */
import * as grouping from '../grouping';
import * as random from '../random';
import type {GroupCapacity} from './group-views';
import type {Target} from './types';

/** The targets of a service that belong together. */
export interface TargetGroup {
  /** Undefined: targets that are in no group. */
  readonly name: string | undefined;
  readonly targets: readonly Target[];
}

/** A group that may take a request. */
export interface GroupOption extends TargetGroup {
  /** Undefined: it has no limit of its own. */
  readonly capacity: GroupCapacity | undefined;
}

/** Targets by their group, in the order in which groups come first. */
export function groupsOf(targets: readonly Target[]): TargetGroup[] {
  const groups = grouping.groupBy(targets, target => target.group);
  return [...groups].map(([name, members]) => ({name, targets: members}));
}

/**
 * A group with room, drawn by how much of it is left: all entries are told the
 * same some tenths of a second late, and the emptiest one would get all of what
 * comes meanwhile. Undefined where none has room.
 */
export function chooseGroup(
  options: readonly GroupOption[],
): GroupOption | undefined {
  const weights = options.map(({capacity: room, targets}) =>
    room === undefined
      ? targets.length
      : Math.max(room.most - room.requests, 0),
  );
  let left =
    random.uniform() * weights.reduce((sum, weight) => sum + weight, 0);
  return options.find((_, at) => {
    left -= weights[at]!;
    return weights[at]! > 0 && left < 0;
  });
}

/** The room that is nearest to being enough, for who is refused. */
export function leastLoaded(
  options: readonly GroupOption[],
): GroupCapacity | undefined {
  const rooms = options.flatMap(({capacity: room}) => room ?? []);
  const shareOf = (room: GroupCapacity) => room.requests / room.most;
  return rooms.sort((a, b) => shareOf(a) - shareOf(b))[0];
}
