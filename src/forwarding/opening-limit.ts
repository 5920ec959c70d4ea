/**
 * How much of a group that has just opened one entry may use while it can't know
 * what the others use. It answers the load of all callers that come back at once after an outage: views
 * still show an empty group then, so that each entry fills what looks free. Pure.
 */
import {REPORT_INTERVAL_MS} from '../capacity/timing';
import type {EngineParameters} from '../routes/types';
import * as groupRequestLimit from './group-request-limit';

/**
 * Assumed imbalance of a group that has just formed, whose experts are placed
 * round-robin, regardless of load. With a lower one it would be sent more than
 * it can start.
 */
export const NEW_GROUP_IMBALANCE = 3.5;
/**
 * Time after opening in which a group counts as new; by then a planner has
 * reported it.
 */
export const NEW_GROUP_MS = 2_000;
/** Time after its start in which an entry may not know all others yet. */
export const START_MS = 10_000;
/** Entries assumed at least in that time. */
const ASSUMED_ENTRIES = 16;
/**
 * Factor on the number of entries for last tries in that time: there may be more
 * than are known or assumed, and only the slots bound these tries.
 */
const UNKNOWN_ENTRIES_FACTOR = 1.25;
/**
 * Age from which a view of a new group doesn't show what the entries have started
 * together since: they all start most of it within a few hundred milliseconds.
 */
const MAX_OPENING_VIEW_AGE_MS = 300;

/** What an entry knows of a group and of the other entries. */
export interface GroupKnowledge {
  /** Ranks of the group. */
  readonly size: number;
  /** Ranks that may receive requests. */
  readonly usableRanks: number;
  /** Milliseconds since it was seen to open; Infinity: it was open at the start. */
  readonly openMs: number;
  /** Age of the view of it; Infinity: there is none. */
  readonly viewAgeMs: number;
  /** Includes this one. */
  readonly knownEntries: number;
  /** Milliseconds since this entry's start. */
  readonly uptimeMs: number;
}

/** A group as one route may use it. */
export interface LimitedGroup {
  readonly engine: EngineParameters;
  readonly allowed: groupRequestLimit.AllowedTimes;
  readonly knowledge: GroupKnowledge;
  /** Requests that it may process at once, by what is known of it. */
  readonly most: number;
}

/**
 * Kinds of start. last-try: of a caller's retry at the end of its wait. resumed: of
 * a stream whose caller already has a part of the answer.
 */
export type StartKind = 'first-try' | 'last-try' | 'resumed';

/**
 * Requests that this entry may have in flight in the group for another start;
 * undefined: limited by nothing but the group's own capacity or slots. `shareOf`:
 * this entry's share, if granted on a report of at most that age.
 */
export function partOf(
  kind: StartKind,
  group: LimitedGroup,
  shareOf: (maxAgeMs: number) => number | undefined,
): number | undefined {
  const {knowledge} = group;
  if (kind !== 'first-try' && isShown(knowledge)) {
    // An entry's share may be used up while others leave theirs: the group's own
    // limit counts for last tries. Resumed streams can't be refused.
    return undefined;
  }
  const maxAgeMs = maxGrantAgeMs(knowledge);
  if (maxAgeMs === undefined) {
    return shareOf(Infinity);
  }
  const granted = shareOf(maxAgeMs);
  const isKnown = granted !== undefined || isShown(knowledge);
  const most = isKnown
    ? Math.min(group.most, slotsOf(group))
    : newGroupLimit(group);
  const share =
    granted ??
    Math.min(firstShare(most, knowledge), shareOf(Infinity) ?? Infinity);
  return kind === 'first-try' ? share : lastTryShare(share, group, most);
}

export function slotsOf({engine, knowledge}: LimitedGroup): number {
  return engine.slots * knowledge.usableRanks;
}

/** True if a view shows what the group has, all entries' starts included. */
function isShown({openMs, viewAgeMs}: GroupKnowledge): boolean {
  return (
    openMs >= NEW_GROUP_MS ||
    viewAgeMs < Math.min(openMs, MAX_OPENING_VIEW_AGE_MS)
  );
}

/**
 * Age that the report behind a granted share may have at most; undefined: the group
 * is not new, and the rule doesn't apply, also while no view of it arrives, as when
 * its planner is suspended. The first share lasts until all entries have reported:
 * before, the first ones to report are granted what the others already use.
 */
function maxGrantAgeMs({openMs}: GroupKnowledge): number | undefined {
  return openMs < NEW_GROUP_MS ? openMs - REPORT_INTERVAL_MS : undefined;
}

/** Requests that a group that has just formed may process at once. */
function newGroupLimit(group: LimitedGroup): number {
  const {engine, allowed, knowledge} = group;
  const {size} = knowledge;
  const imbalance = NEW_GROUP_IMBALANCE;
  const factors = {size, imbalance, slowness: 1, correction: 1};
  const {most} = groupRequestLimit.limitRequests(engine, factors, allowed);
  return Math.min(most, slotsOf(group));
}

/** The equal part of an entry; at least one. */
function firstShare(most: number, knowledge: GroupKnowledge): number {
  return Math.max(Math.floor(most / entriesOf(knowledge)), 1);
}

/**
 * The share and an equal part of the slots that the limit leaves free: summed over
 * the entries, both stay within the slots.
 */
function lastTryShare(
  share: number,
  group: LimitedGroup,
  most: number,
): number {
  const {knowledge} = group;
  const isStart = knowledge.uptimeMs < START_MS;
  const factor = isStart ? UNKNOWN_ENTRIES_FACTOR : 1;
  const free = Math.max(slotsOf(group) - most * factor, 0);
  return share + Math.floor(free / (entriesOf(knowledge) * factor));
}

function entriesOf({knownEntries, uptimeMs}: GroupKnowledge): number {
  const least = uptimeMs < START_MS ? ASSUMED_ENTRIES : 1;
  return Math.max(knownEntries, least);
}
