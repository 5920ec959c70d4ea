/**
 * The end of a planned stop: decides which requests can still be answered by then.
 * At first by the longest answers of the route, so that most go on to be served;
 * later only if a request ends by its own deadline in any case.
 */

/** Answers of a route with fewer may take a larger part of their time. */
const MIN_SAMPLES = 16;
/** Share of its time that a request is then expected to take at least. */
const UNKNOWN_SHARE = 0.5;
/** Routes with samples; those that were answered least recently are dropped. */
const MAX_ROUTES = 1_024;
/** Factor of the longest sample that a request is expected to take at most. */
const MARGIN = 1.25;
/**
 * Time after the signal from which a request that is sent must end in time. Source:
 * the platform's rules for planned stops.
 */
const CERTAIN_AFTER_MS = 3_000;
/** Samples count for this many periods, the one under way included. */
const PERIODS = 5;
const PERIOD_MS = 60_000;

export class StopDeadline {
  /** Monotonic time in milliseconds; Infinity: no stop has begun. */
  private endsAt = Infinity;
  private certainFrom = Infinity;
  private readonly samples = new Map<string, LongestDuration>();

  get isSet(): boolean {
    return this.endsAt !== Infinity;
  }

  /** Milliseconds until then; Infinity if no stop has begun. */
  leftMs(now: number): number {
    return this.endsAt - now;
  }

  /** A stop that ends at `endsAt` begins. */
  set(endsAt: number, now: number): void {
    this.endsAt = endsAt;
    this.certainFrom = now + CERTAIN_AFTER_MS;
  }

  /** Records how long an answer took, from the first send to its delivery. */
  note(route: string, ms: number, now: number): void {
    const found = this.samples.get(route) ?? new LongestDuration();
    this.samples.delete(route);
    this.samples.set(route, found);
    found.add(ms, now);
    const [oldest] = this.samples.keys();
    if (this.samples.size > MAX_ROUTES && oldest !== undefined) {
      this.samples.delete(oldest);
    }
  }

  /** Records how long an answer has taken that is still under way. */
  noteUnderWay(route: string, ms: number, now: number): void {
    this.samples.get(route)?.raise(ms, now);
  }

  /**
   * True if a request of a route that is sent now should be answered in time.
   * `timeLeftMs`: until the request's own deadline, when it ends in any case.
   */
  canAnswer(route: string, timeLeftMs: number, now: number): boolean {
    if (!this.isSet) {
      return true;
    }
    const expectedMs =
      now < this.certainFrom
        ? this.expectedMs(route, timeLeftMs, now)
        : timeLeftMs;
    return expectedMs <= this.leftMs(now);
  }

  private expectedMs(route: string, timeLeftMs: number, now: number): number {
    const samples = this.samples.get(route);
    const count = samples?.countAt(now) ?? 0;
    const longest = samples?.longestAt(now) ?? 0;
    const unknownMs = count < MIN_SAMPLES ? timeLeftMs * UNKNOWN_SHARE : 0;
    return Math.min(Math.max(longest * MARGIN, unknownMs), timeLeftMs);
  }
}

interface Period {
  readonly number: number;
  count: number;
  longest: number;
}

/** The longest duration of the last periods, in milliseconds. */
class LongestDuration {
  private periods: Period[] = [];

  add(ms: number, now: number): void {
    this.raise(ms, now).count += 1;
  }

  /** Takes account of a duration without counting it. */
  raise(ms: number, now: number): Period {
    const number = Math.floor(now / PERIOD_MS);
    let newest = this.periods[this.periods.length - 1];
    if (newest?.number !== number) {
      newest = {number, count: 0, longest: 0};
      this.periods = [...this.recent(now), newest];
    }
    newest.longest = Math.max(newest.longest, ms);
    return newest;
  }

  countAt(now: number): number {
    return this.recent(now).reduce((sum, {count}) => sum + count, 0);
  }

  longestAt(now: number): number {
    return Math.max(0, ...this.recent(now).map(({longest}) => longest));
  }

  private recent(now: number): Period[] {
    const oldest = Math.floor(now / PERIOD_MS) - PERIODS + 1;
    return this.periods.filter(({number}) => number >= oldest);
  }
}
