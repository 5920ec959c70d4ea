/**
 * Delays in milliseconds after which refused callers are asked to retry.
 * Callers honour at most a third of their time left, and many have only one
 * attempt left: a delay that ends too early costs them the answer. Pure.
 */
import * as random from '../random';
import * as cooldowns from '../targets/cooldown';

/** If an entry stops, others can serve its callers at once. */
export const STOPPING_DELAY_MS = 0;
/** Delay if no target of the service is known. */
export const NO_TARGET_DELAY_MS = 300;
/** Delay if all targets are overloaded: about the duration of a stream. */
const OVERLOADED_DELAY_MS = 1_600;
/** Delay after a full target's refusal, as a share of the time left. */
const FULL_DELAY_SHARE = 0.25;
const MAX_FULL_DELAY_MS = 1_000;
/** Maximum delay as a share of the time left. */
const MAX_DELAY_SHARE = 0.3;
/** Lower bound of the random share of the maximum delay. */
const MIN_JITTER_SHARE = 0.75;
/** Added to the time that a group is stated to need to form. */
const FORM_MARGIN_MS = 250;

/** A group that accepts no requests. */
export interface ClosedGroup {
  /** Milliseconds since it closed. */
  readonly closedMs: number;
  /** Milliseconds that its ranks need to form once all are present. */
  readonly formMs: number;
  /** It has been open since this process started. */
  readonly hasBeenOpen: boolean;
}

export function afterFull(leftMs: number): number {
  return Math.min(Math.max(leftMs, 0) * FULL_DELAY_SHARE, MAX_FULL_DELAY_MS);
}

export function afterOverload(leftMs: number): number {
  return Math.min(random.jitter(OVERLOADED_DELAY_MS), maxDelayMs(leftMs));
}

/**
 * If all targets are in cooldown and the first becomes available in
 * `cooldownMs`: that time, or the maximum delay if shorter, each with jitter.
 */
export function afterCooldown(cooldownMs: number, leftMs: number): number {
  return Math.min(
    cooldowns.withRetryJitter(cooldownMs),
    maxDelayMs(leftMs) * jitterShare(),
  );
}

/**
 * If all targets are at their rate limits: the time until the caller's scheduled
 * retry, or the maximum delay with jitter if shorter.
 */
export function afterLimit(scheduledMs: number, leftMs: number): number {
  return Math.min(scheduledMs, maxDelayMs(leftMs) * jitterShare());
}

/** If the request crashes targets: the maximum delay with jitter. */
export function afterCrashes(leftMs: number): number {
  return maxDelayMs(leftMs) * jitterShare();
}

/**
 * If the group is closed: the time until it should have formed again. If that
 * time has passed, or the group has not been open since this process started (it
 * may lack ranks after an outage of the site), the maximum delay with jitter.
 */
export function afterGroupClosed(group: ClosedGroup, leftMs: number): number {
  const opensInMs = group.formMs + FORM_MARGIN_MS - group.closedMs;
  if (opensInMs > 0 && group.hasBeenOpen) {
    return Math.min(opensInMs, maxDelayMs(leftMs));
  }
  return maxDelayMs(leftMs) * jitterShare();
}

function jitterShare(): number {
  return MIN_JITTER_SHARE + (1 - MIN_JITTER_SHARE) * random.uniform();
}

function maxDelayMs(leftMs: number): number {
  return Math.max(leftMs, 0) * MAX_DELAY_SHARE;
}
