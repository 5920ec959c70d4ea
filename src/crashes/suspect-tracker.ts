/**
 * Fingerprints of requests that were in flight when targets crashed. Several
 * requests are in flight in a crash, and those that share a part share its
 * crashes, so a fingerprint is quarantined only once the lifetimes that crashed with
 * it outnumber its successes by CRASHES_TO_QUARANTINE. The difference is kept
 * between 0 and that, so that neither many crashes at once nor many earlier
 * successes outweigh what follows. Of several fingerprints with the same crashes,
 * the one of the fewest requests is quarantined. Of fingerprints that were served
 * before, crashes at the same time count once: they may have another cause, such as a
 * loss of power. Takes the time as an argument.
 */
import * as bounded from '../bounded';
import type {SuspectState} from './app';
import * as fingerprints from './fingerprints';

/** Score of a fingerprint that is quarantined. */
const CRASHES_TO_QUARANTINE = 3;
/** A shared part is quarantined only for crashes with so many different requests. */
const MIN_REQUESTS = 2;
/** Counted from the fingerprint's latest crash. */
const SUSPECT_TTL_MS = 60_000;
/** The fingerprint whose latest crash is oldest is dropped first. */
const MAX_SUSPECTS = 2_048;
/** Bounds of the sets kept for one suspect; the oldest are dropped first. */
const MAX_LIFETIMES = 16;
/**
 * A request has survived once it is answered for longer than those that crashed
 * by this factor and margin.
 */
const SURVIVAL_FACTOR = 2;
const SURVIVAL_MARGIN_MS = 250;
/** Crashes of a fingerprint that was served before count once in this time. */
const SAME_TIME_MS = 500;

/** How a fingerprint was involved in a crash. */
export interface Involvement {
  /** Fingerprint of the whole request. */
  readonly request: string;
  /** Milliseconds for which the target had been answering it. */
  readonly answeredMs: number;
  /** Higher for fingerprints that fewer requests share. */
  readonly specificity: number;
}

interface Suspect {
  /** When lifetimes crashed that no success outweighs; oldest first. */
  readonly lifetimes: Map<string, number>;
  /** All recent lifetimes, which don't count again. */
  readonly seenLifetimes: Set<string>;
  readonly requests: Set<string>;
  isSpaced: boolean;
  lastCrashAt: number;
  answeredMs: number;
  specificity: number;
  /** Open requests with it, summed over surveys. */
  exposure: number;
  /** When a success was last reported to the arbiter. */
  reportedAt: number;
}

export class SuspectTracker {
  private readonly suspects = new Map<string, Suspect>();
  /** Time of the latest crash of any request. */
  private lastCrashAt = -Infinity;

  /** Records a fingerprint of a request that was in flight when a target crashed. */
  noteCrash(
    fingerprint: string,
    lifetime: string,
    now: number,
    involvement: Involvement = {
      request: fingerprint,
      answeredMs: 0,
      specificity: Infinity,
    },
  ): void {
    const suspect = this.unexpired(fingerprint, now) ?? newSuspect(now);
    const {request, answeredMs, specificity} = involvement;
    suspect.requests.add(request);
    bounded.dropOldest(suspect.requests, MAX_LIFETIMES);
    if (!suspect.seenLifetimes.has(lifetime)) {
      suspect.seenLifetimes.add(lifetime);
      suspect.lifetimes.set(lifetime, now);
      bounded.dropOldest(suspect.seenLifetimes, MAX_LIFETIMES);
      bounded.dropOldest(suspect.lifetimes, MAX_LIFETIMES);
    }
    suspect.answeredMs = Math.max(suspect.answeredMs, answeredMs);
    suspect.specificity = Math.max(suspect.specificity, specificity);
    suspect.lastCrashAt = now;
    this.set(fingerprint, suspect, now);
  }

  /** Records a success; ignored unless the fingerprint is a suspect. */
  noteServed(fingerprint: string, now: number): void {
    const suspect = this.unexpired(fingerprint, now);
    if (suspect === undefined) {
      return;
    }
    const groups = crashGroups(suspect).slice(-CRASHES_TO_QUARANTINE);
    keepOnly(suspect, groups.slice(1));
    if (suspect.lifetimes.size === 0) {
      suspect.requests.clear();
    }
  }

  /** Crashes of it at the same time count once from now on. */
  noteSpaced(fingerprint: string, now: number): void {
    const suspect = this.unexpired(fingerprint, now);
    if (suspect !== undefined) {
      suspect.isSpaced = true;
    }
  }

  /** True if the fingerprint was in a recent crash. */
  isSuspect(fingerprint: string, now: number): boolean {
    return this.unexpired(fingerprint, now) !== undefined;
  }

  /** True if one more crash would quarantine the fingerprint. */
  isNearQuarantine(fingerprint: string, now: number): boolean {
    const suspect = this.unexpired(fingerprint, now);
    const score = suspect === undefined ? 0 : scoreOf(suspect);
    return score >= CRASHES_TO_QUARANTINE - 1;
  }

  shouldQuarantine(fingerprint: string, now: number): boolean {
    const suspect = this.unexpired(fingerprint, now);
    return suspect !== undefined && isGuilty(fingerprint, suspect);
  }

  /**
   * Fingerprints of the service to quarantine: those of the fewest requests that
   * explain the crashes. The others stay suspects for crashes to come.
   * `areAllSpaced`: crashes at the same time count once for all, since it isn't
   * known yet which fingerprints are served.
   */
  takeGuilty(service: string, now: number, areAllSpaced = false): string[] {
    const candidates = this.ofService(service, now)
      .filter(([fingerprint, suspect]) =>
        isGuilty(fingerprint, suspect, areAllSpaced),
      )
      .sort(
        ([, a], [, b]) =>
          a.exposure - b.exposure || b.specificity - a.specificity,
      );
    const explained = new Set<string>();
    const guilty: string[] = [];
    for (const [fingerprint, suspect] of candidates) {
      const others = crashGroups(suspect).filter(
        group => !group.some(one => explained.has(one)),
      );
      if (others.length >= CRASHES_TO_QUARANTINE) {
        guilty.push(fingerprint);
        others.flat().forEach(one => explained.add(one));
      } else {
        const groups = crashGroups(suspect);
        keepOnly(suspect, groups.slice(1 - CRASHES_TO_QUARANTINE));
      }
    }
    return guilty;
  }

  /** Milliseconds since the first crash that counts. */
  firstAgoMs(fingerprint: string, now: number): number {
    const suspect = this.unexpired(fingerprint, now);
    const [firstAt = now] = suspect?.lifetimes.values() ?? [];
    return now - firstAt;
  }

  /** True if a request that is answered for so long has survived. */
  hasSurvived(fingerprint: string, answeredMs: number, now: number): boolean {
    const suspect = this.unexpired(fingerprint, now);
    return suspect !== undefined && answeredMs > survivalMs(suspect.answeredMs);
  }

  /** Adds open requests that a survey found with a suspect. */
  addExposure(fingerprint: string, count: number, now: number): void {
    const suspect = this.unexpired(fingerprint, now);
    if (suspect !== undefined) {
      suspect.exposure += count;
    }
  }

  /** True if a success must be reported; at most one an interval. */
  takeServedReport(
    fingerprint: string,
    now: number,
    intervalMs: number,
  ): boolean {
    const suspect = this.unexpired(fingerprint, now);
    if (suspect === undefined || now - suspect.reportedAt < intervalMs) {
      return false;
    }
    suspect.reportedAt = now;
    return true;
  }

  /** Evidence of a service, strongest first, for peers. */
  states(
    service: string | undefined,
    max: number,
    now: number,
  ): SuspectState[] {
    return this.ofService(service, now)
      .sort(
        ([, a], [, b]) =>
          scoreOf(b) - scoreOf(a) || b.lastCrashAt - a.lastCrashAt,
      )
      .slice(0, max)
      .map(([fingerprint, suspect]) => ({
        fingerprint,
        lifetimes: [...suspect.lifetimes].map(
          ([lifetime, at]): [string, number] => [lifetime, now - at],
        ),
        requests: [...suspect.requests].slice(0, MIN_REQUESTS),
        isSpaced: suspect.isSpaced,
        answeredMs: suspect.answeredMs,
        specificity: Math.min(suspect.specificity, Number.MAX_SAFE_INTEGER),
      }));
  }

  /** Replaces what is known of a suspect by the arbiter's evidence. */
  adopt(state: SuspectState, now: number): void {
    const {fingerprint, lifetimes, requests} = state;
    const before = this.unexpired(fingerprint, now);
    const suspect: Suspect = {
      ...(before ?? newSuspect(now)),
      lifetimes: new Map(
        lifetimes
          .slice(-MAX_LIFETIMES)
          .map(([lifetime, agoMs]) => [lifetime, now - agoMs]),
      ),
      requests: new Set(requests.slice(0, MAX_LIFETIMES)),
      isSpaced: state.isSpaced || before?.isSpaced === true,
      answeredMs: state.answeredMs,
      specificity: state.specificity,
    };
    for (const [lifetime] of lifetimes) {
      suspect.seenLifetimes.add(lifetime);
      bounded.dropOldest(suspect.seenLifetimes, MAX_LIFETIMES);
    }
    this.set(fingerprint, suspect, now);
  }

  /** True if there was no recent crash. */
  isEmpty(now: number): boolean {
    return now - this.lastCrashAt > SUSPECT_TTL_MS;
  }

  get size(): number {
    return this.suspects.size;
  }

  private ofService(
    service: string | undefined,
    now: number,
  ): Array<[string, Suspect]> {
    return [...this.suspects].filter(
      ([fingerprint]) =>
        this.unexpired(fingerprint, now) !== undefined &&
        (service ?? fingerprints.serviceOf(fingerprint)) ===
          fingerprints.serviceOf(fingerprint),
    );
  }

  private set(fingerprint: string, suspect: Suspect, now: number): void {
    this.lastCrashAt = now;
    this.suspects.delete(fingerprint);
    this.suspects.set(fingerprint, suspect);
    bounded.dropOldest(this.suspects, MAX_SUSPECTS);
  }

  private unexpired(fingerprint: string, now: number): Suspect | undefined {
    const suspect = this.suspects.get(fingerprint);
    if (suspect !== undefined && now - suspect.lastCrashAt > SUSPECT_TTL_MS) {
      this.suspects.delete(fingerprint);
      return undefined;
    }
    return suspect;
  }
}

function newSuspect(now: number): Suspect {
  return {
    lifetimes: new Map(),
    seenLifetimes: new Set(),
    requests: new Set(),
    isSpaced: false,
    lastCrashAt: now,
    answeredMs: 0,
    specificity: 0,
    exposure: 0,
    reportedAt: -Infinity,
  };
}

function isGuilty(
  fingerprint: string,
  suspect: Suspect,
  areAllSpaced = false,
): boolean {
  const isWhole = suspect.requests.has(fingerprint);
  const isSpaced = suspect.isSpaced || (areAllSpaced && !isWhole);
  return (
    crashGroups(suspect, isSpaced).length >= CRASHES_TO_QUARANTINE &&
    (isWhole || suspect.requests.size >= MIN_REQUESTS)
  );
}

function survivalMs(answeredMs: number): number {
  return SURVIVAL_FACTOR * answeredMs + SURVIVAL_MARGIN_MS;
}

/** Crashes minus successes, from 0 to CRASHES_TO_QUARANTINE. */
function scoreOf(suspect: Suspect): number {
  return Math.min(crashGroups(suspect).length, CRASHES_TO_QUARANTINE);
}

/** The lifetimes of each crash that counts, oldest first. */
function crashGroups(
  {lifetimes, isSpaced: ownSpacing}: Suspect,
  isSpaced = ownSpacing,
): string[][] {
  const groups: string[][] = [];
  let groupAt = -Infinity;
  for (const [lifetime, at] of lifetimes) {
    if (isSpaced && at - groupAt < SAME_TIME_MS) {
      groups[groups.length - 1]!.push(lifetime);
    } else {
      groups.push([lifetime]);
      groupAt = at;
    }
  }
  return groups;
}

function keepOnly(
  {lifetimes}: Suspect,
  groups: readonly (readonly string[])[],
): void {
  const kept = new Set(groups.flat());
  for (const lifetime of [...lifetimes.keys()]) {
    if (!kept.has(lifetime)) {
      lifetimes.delete(lifetime);
    }
  }
}
