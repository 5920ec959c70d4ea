/**
 * Derives suspects from crashes. A crash that a quarantined fingerprint explains
 * makes none. Takes the time as an argument.
 */
import * as bounded from '../bounded';
import type {Crash, LostRequest} from './app';
import type {Quarantine} from './quarantine';
import type {ServedParts} from './served-parts';
import type {SuspectTracker} from './suspect-tracker';

/** Explained crashes that are known; the oldest are dropped first. */
const MAX_EXPLAINED = 256;

/** Shortest and longest time for which requests were answered, in milliseconds. */
interface AnsweredRange {
  readonly min: number;
  readonly max: number;
}

export class CrashEvidence {
  /** Lifetimes whose crashes are explained. */
  private readonly explained = new Set<string>();

  constructor(
    private readonly tracker: SuspectTracker,
    private readonly quarantine: Quarantine,
    private readonly servedParts: ServedParts,
  ) {}

  /** May be called several times for one crash, with other requests. */
  noteCrash({lifetime, requests}: Crash, now: number): void {
    const isExplained = requests.some(({fingerprints}) =>
      fingerprints.some(one => this.quarantine.has(one, now)),
    );
    if (isExplained) {
      this.explained.add(lifetime);
      bounded.dropOldest(this.explained, MAX_EXPLAINED);
    }
    if (!this.explained.has(lifetime)) {
      this.noteSuspects(lifetime, requests, now);
    }
  }

  private noteSuspects(
    lifetime: string,
    requests: readonly LostRequest[],
    now: number,
  ): void {
    const answered = answeredRanges(requests);
    for (const {fingerprints} of requests) {
      const last = fingerprints.length - 1;
      fingerprints.forEach((one, at) => {
        this.tracker.noteCrash(one, lifetime, now, {
          request: fingerprints[last]!,
          answeredMs: answered.get(one)!.min,
          specificity: at === last ? Number.MAX_SAFE_INTEGER : at,
        });
      });
      fingerprints
        .filter(one => this.servedParts.has(one))
        .forEach(one => this.tracker.noteSpaced(one, now));
    }
    // A request that was answered for longer than others with the same part didn't
    // crash the target by that part.
    for (const [one, {max}] of answered) {
      if (this.tracker.hasSurvived(one, max, now)) {
        this.tracker.noteServed(one, now);
      }
    }
  }
}

function answeredRanges(
  requests: readonly LostRequest[],
): ReadonlyMap<string, AnsweredRange> {
  const ranges = new Map<string, AnsweredRange>();
  for (const {fingerprints, answeredMs} of requests) {
    for (const one of fingerprints) {
      const {min, max} = ranges.get(one) ?? {min: Infinity, max: 0};
      ranges.set(one, {
        min: Math.min(min, answeredMs),
        max: Math.max(max, answeredMs),
      });
    }
  }
  return ranges;
}
