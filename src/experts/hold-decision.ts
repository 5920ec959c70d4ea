/**
 * Decides from a reading of the ranks what to do about a held group, whatever this
 * planner or another one did before. Pure.
 *
 * A group may be released if all ranks are armed for one version and pass, or if
 * none is armed and none can be any more. Both are safe although orders may be
 * carried out late: a rank is disarmed only after another one has prepared a newer
 * version, which rules out that all are armed for the older one.
 */
import type {ArmedMap, RankReading, RankState} from './types';

export type HoldDecision =
  /** Nothing is held, and no rank or every rank is armed. */
  | 'settled'
  /** Release what is held. */
  | 'release'
  /** Some ranks are armed, or an arm order may be carried out late. */
  | 'revoke'
  /** A pass begins while the ranks are read. */
  | 'wait'
  /** Ranks that are not in the reading may be armed. */
  | 'unknown';

/** The last change of the planner that decides, as far as it is certain. */
export interface LastChange {
  readonly step: number;
  /** All ranks acknowledged to be armed for it; undefined: none was ordered to. */
  readonly version: number | undefined;
}

/** `size`: ranks of the group; `readings` may lack some. */
export function decide(
  readings: readonly RankReading[],
  size: number,
  lastChange?: LastChange,
): HoldDecision {
  const states = readings.map(one => one.state);
  const isHeld = states.some(({held}) => held !== null);
  const armed = states.flatMap(state => state.armed ?? []);
  if (!isHeld && armed.length === 0) {
    return 'settled';
  }
  if (states.some(state => hasPassBegun(state, armed))) {
    return 'wait';
  }
  const isPartlyArmed =
    armed.length > 0 &&
    (armed.length < states.length || !areAlike(armed, armed[0]!));
  if (!isHeld && !isPartlyArmed) {
    return 'settled';
  }
  if (states.length < size) {
    return !isPartlyArmed && isLeftBy(lastChange, states)
      ? 'release'
      : 'unknown';
  }
  if (isPartlyArmed) {
    return 'revoke';
  }
  return armed.length === 0 && mayBecomeArmed(readings) ? 'revoke' : 'release';
}

/** True if all ranks that were read are as the planner's last change left them. */
function isLeftBy(
  lastChange: LastChange | undefined,
  states: readonly RankState[],
): boolean {
  if (lastChange === undefined) {
    return false;
  }
  const {step, version} = lastChange;
  return states.every(
    ({armed, held}) =>
      armed?.version === version &&
      (armed === null || armed.step === step) &&
      (held === null || held === step),
  );
}

/** True if a pass for which ranks are armed begins during the reading. */
function hasPassBegun(state: RankState, armed: readonly ArmedMap[]): boolean {
  return armed.some(
    ({version, step}) => state.step >= step || state.mapVersion === version,
  );
}

function areAlike(armed: readonly ArmedMap[], first: ArmedMap): boolean {
  return armed.every(
    ({version, step}) => version === first.version && step === first.step,
  );
}

/**
 * True if an arm order may still be carried out at a rank. The first one of a
 * change goes through a sidecar that reports it; the others follow once it is
 * confirmed. A rank that has not prepared the version refuses it.
 */
function mayBecomeArmed(readings: readonly RankReading[]): boolean {
  const preparedVersions = new Map(
    readings.flatMap(({state: {rank, prepared, mapVersion}}) =>
      prepared !== null && prepared !== mapVersion ? [[rank, prepared]] : [],
    ),
  );
  if (preparedVersions.size === 0) {
    return false;
  }
  const {epoch} = readings[0]!.state;
  const versions = new Set(preparedVersions.values());
  return readings.some(({gave}) => {
    if (gave === undefined) {
      return true;
    }
    if (gave === null || gave.epoch !== epoch) {
      return false;
    }
    return gave.isConfirmed
      ? versions.has(gave.version)
      : preparedVersions.get(gave.rank) === gave.version;
  });
}
