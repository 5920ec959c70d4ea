/**
 * When callers who are refused should come back, in milliseconds. They heed no
 * more than a third of the time that they have left, and many have one more try
 * only, so a time at which they can't be served either costs them the answer.
 * Pure.
 */
import * as random from '../random';
import * as rests from '../targets/cooldown';

/** Where no target of the service is known. */
export const NO_TARGET_DELAY_MS = 300;
/** Where all have enough to do: about the time of a stream. */
const OVERLOADED_DELAY_MS = 1_600;
/**
 * Where a target was full: a part of the time left, and no longer than a group
 * takes to form.
 */
const FULL_DELAY_SHARE = 0.25;
const MAX_FULL_DELAY_MS = 1_000;
/** Part of the time left after which callers may be asked to come back. */
const MAX_DELAY_SHARE = 0.3;
/** Part of that in which callers who can't be told a time are spread. */
const MIN_JITTER_SHARE = 0.75;
/** What a group may take longer to form than its engine states. */
const FORM_MARGIN_MS = 250;

/** What is known of a group that takes nothing. */
export interface ClosedGroup {
  /** Milliseconds since it was found closed. */
  readonly closedMs: number;
  /** Milliseconds that its ranks take to form, once all are there. */
  readonly formMs: number;
  /** It was open at some time since this process began. */
  readonly hasBeenOpen: boolean;
}

export function afterFull(leftMs: number): number {
  return Math.min(Math.max(leftMs, 0) * FULL_DELAY_SHARE, MAX_FULL_DELAY_MS);
}

export function afterOverload(leftMs: number): number {
  return Math.min(random.jitter(OVERLOADED_DELAY_MS), maxDelayMs(leftMs));
}

/**
 * Where all targets have asked for rest, the first of them for so long: after it,
 * or as late as the caller heeds, never together.
 */
export function afterCooldown(restMs: number, leftMs: number): number {
  return Math.min(
    rests.withRetryJitter(restMs),
    maxDelayMs(leftMs) * jitterShare(),
  );
}

/**
 * Where all targets are at the limits that they have named: at the caller's place
 * in the line of those that come back, or as late as it heeds, never together.
 */
export function afterLimit(lineMs: number, leftMs: number): number {
  return Math.min(lineMs, maxDelayMs(leftMs) * jitterShare());
}

/** Where nothing helps the caller: as late as it heeds. */
export function afterCrashes(leftMs: number): number {
  return maxDelayMs(leftMs) * jitterShare();
}

/**
 * A group that has lost a rank opens when it has formed, and later than that
 * nobody knows when. One that has not been open since this process began may
 * be without all of its ranks: the whole site is coming back, and callers who
 * have one more try should not spend it early.
 */
export function afterGroupClosed(group: ClosedGroup, leftMs: number): number {
  const openIn = group.formMs + FORM_MARGIN_MS - group.closedMs;
  if (openIn > 0 && group.hasBeenOpen) {
    return Math.min(openIn, maxDelayMs(leftMs));
  }
  return maxDelayMs(leftMs) * jitterShare();
}

function jitterShare(): number {
  return MIN_JITTER_SHARE + (1 - MIN_JITTER_SHARE) * random.uniform();
}

function maxDelayMs(leftMs: number): number {
  return Math.max(leftMs, 0) * MAX_DELAY_SHARE;
}
