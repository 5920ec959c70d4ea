/**
 * The guarantees that the soak test of a site checks. Each check is given what
 * targets, callers and entries observed; all times are monotonic milliseconds.
 */
import type {SoakReport} from '../features/support/faults';

const SECOND_MS = 1_000;

export type SoakEvent =
  /** A target received a request that is addressed to it. */
  | {kind: 'arrival'; target: string; at: number}
  /** A target began to execute a request. */
  | {kind: 'run'; attempt: string; operation: string; at: number}
  /** An entry answered with a status that means "not executed". */
  | {kind: 'refused'; attempt: string; status: number; at: number}
  /** A caller has the outcome of its request and of its retry. */
  | {kind: 'ended'; rank: number; arrivedAt: number; isServed: boolean}
  | {kind: 'cold'; target: string; from: number; until: number}
  /** A target has written an answer, of which the entry may have read nothing. */
  | {kind: 'answered'; answer: number; at: number}
  /** The answer is read, or its connection is closed. */
  | {kind: 'answer-over'; answer: number; at: number}
  /** The maximum of bytes that an entry's process has held until now. */
  | {kind: 'held'; entry: string; peakBytes: number; at: number}
  | {kind: 'fault'; at: number}
  | {kind: 'fault-over'; at: number}
  /** Sent regularly, and at the end of the run. */
  | {kind: 'tick'; at: number};

export abstract class Check {
  /** How often the guarantee was put to the test. */
  count = 0;

  constructor(
    readonly name: string,
    protected readonly report: SoakReport,
  ) {}

  abstract observe(event: SoakEvent): void;
}

/** No request reported as not run has run, before the report or after it. */
export class NotRunCheck extends Check {
  private readonly ran = new Set<string>();
  private readonly refused = new Map<string, number>();

  observe(event: SoakEvent): void {
    if (event.kind === 'run') {
      this.ran.add(event.attempt);
      this.compare(event.attempt, event.at);
    } else if (event.kind === 'refused') {
      this.count += 1;
      this.refused.set(event.attempt, event.status);
      this.compare(event.attempt, event.at);
    }
  }

  private compare(attempt: string, at: number): void {
    const status = this.refused.get(attempt);
    if (status !== undefined && this.ran.has(attempt)) {
      const text = `request ${attempt} was answered with ${status} and ran`;
      this.report.addViolation(text, at);
    }
  }
}

/** No request that may not be repeated runs twice, retries of callers included. */
export class RunOnceCheck extends Check {
  private readonly ran = new Map<string, string>();

  /** `mayRepeat`: whether the request of an operation may run more than once. */
  constructor(
    report: SoakReport,
    private readonly mayRepeat: (operation: string) => boolean,
  ) {
    super('runOnce', report);
  }

  observe(event: SoakEvent): void {
    if (event.kind !== 'run' || this.mayRepeat(event.operation)) {
      return;
    }
    const {operation, attempt, at} = event;
    const earlier = this.ran.get(operation);
    if (earlier !== undefined) {
      const text = `request ${operation} ran twice, as ${earlier} and ${attempt}`;
      this.report.addViolation(text, at);
    }
    this.count += 1;
    this.ran.set(operation, attempt);
  }
}

interface ColdPeriod {
  readonly from: number;
  readonly until: number;
  /** Arrivals of the last second. */
  readonly arrivals: number[];
  worst: number;
  worstAt: number;
}

/** A cold target receives at most so many requests in any second. */
export class ColdBoundCheck extends Check {
  /** The maximum that a cold target has received in a second. */
  maxReceived = 0;
  private readonly periods = new Map<string, ColdPeriod>();

  constructor(
    report: SoakReport,
    private readonly maxPerSecond: number,
  ) {
    super('coldBound', report);
  }

  observe(event: SoakEvent): void {
    if (event.kind === 'cold') {
      const {from, until} = event;
      const period = {from, until, arrivals: [], worst: 0, worstAt: from};
      this.count += 1;
      this.periods.set(event.target, period);
    } else if (event.kind === 'arrival') {
      this.countArrival(event.target, event.at);
    } else if (event.kind === 'tick') {
      this.closePeriods(event.at);
    }
  }

  private countArrival(target: string, at: number): void {
    const period = this.periods.get(target);
    if (period === undefined || at < period.from || at >= period.until) {
      return;
    }
    const {arrivals} = period;
    arrivals.push(at);
    while (at - arrivals[0]! >= SECOND_MS) {
      arrivals.shift();
    }
    this.maxReceived = Math.max(this.maxReceived, arrivals.length);
    if (arrivals.length > period.worst) {
      period.worst = arrivals.length;
      period.worstAt = at;
    }
  }

  private closePeriods(now: number): void {
    for (const [target, {from, until, worst, worstAt}] of this.periods) {
      if (now >= until) {
        this.periods.delete(target);
        if (worst > this.maxPerSecond) {
          const text =
            `cold target ${target} received ${worst} requests in a second, ` +
            `${this.maxPerSecond} are allowed, ` +
            `${Math.round(worstAt - from)} ms after it had turned cold`;
          this.report.addViolation(text, worstAt);
        }
      }
    }
  }
}

/** An entry leaves no answer of a target unread for longer than this. */
const MAX_UNREAD_MS = 3_000;

export class UnreadAnswerCheck extends Check {
  private readonly writtenAt = new Map<number, number>();

  observe(event: SoakEvent): void {
    if (event.kind === 'answered') {
      this.count += 1;
      this.writtenAt.set(event.answer, event.at);
    } else if (event.kind === 'answer-over') {
      this.checkAge(event.answer, event.at);
      this.writtenAt.delete(event.answer);
    } else if (event.kind === 'tick') {
      [...this.writtenAt.keys()].forEach(answer =>
        this.checkAge(answer, event.at),
      );
    }
  }

  /** Reports an answer at most once. */
  private checkAge(answer: number, now: number): void {
    const ageMs = now - (this.writtenAt.get(answer) ?? now);
    if (ageMs > MAX_UNREAD_MS) {
      this.writtenAt.delete(answer);
      const text = `answer ${answer} of a target was unread for ${Math.round(ageMs)} ms`;
      this.report.addViolation(text, now);
    }
  }
}

/** Chunks that are read from sockets before the bound takes effect. */
const HELD_TOLERANCE_BYTES = 8 * 64 * 1024;

/** The bytes that an entry holds for slow callers stay within its bound. */
export class HeldBytesCheck extends Check {
  maxBytes = 0;
  /** By entry: the last maximum; it decreases when the process is replaced. */
  private readonly lastPeaks = new Map<string, number>();

  constructor(
    report: SoakReport,
    private readonly boundBytes: number,
  ) {
    super('heldBytes', report);
  }

  observe(event: SoakEvent): void {
    if (event.kind !== 'held') {
      return;
    }
    this.count += 1;
    const {entry, peakBytes, at} = event;
    this.maxBytes = Math.max(this.maxBytes, peakBytes);
    const max = this.boundBytes + HELD_TOLERANCE_BYTES;
    const last = this.lastPeaks.get(entry) ?? 0;
    // Once for each process: the maximum can only increase in its lifetime.
    if (peakBytes > max && (last <= max || last > peakBytes)) {
      const text = `${entry} held ${peakBytes} bytes for slow callers, ${this.boundBytes} are allowed`;
      this.report.addViolation(text, at);
    }
    this.lastPeaks.set(entry, peakBytes);
  }
}

const WINDOW_MS = 10_000;
const WINDOW_STEP_MS = 1_000;
/** Time after a fault within which its effects must have ended. */
const RECOVERY_MS = 2_000;

interface Call {
  readonly rank: number;
  readonly arrivedAt: number;
  readonly isServed: boolean;
}

interface Window {
  readonly from: number;
  readonly text: string;
  /** By how much a lower rank was served more often. */
  readonly deficit: number;
}

/**
 * Over each 10 s without a fault, requests of the highest rank are served at
 * least as often as those of lower ranks. Rank 0 is the highest.
 */
export class RankCheck extends Check {
  /** The lowest share of the highest rank that was served in a window. */
  lowestShare = 1;
  private calls: Call[] = [];
  private quietFrom: number | undefined;

  /** `timeLimitMs`: time after which a caller has the outcome of its request. */
  constructor(
    report: SoakReport,
    private readonly timeLimitMs: number,
  ) {
    super('ranks', report);
  }

  observe(event: SoakEvent): void {
    if (event.kind === 'ended') {
      this.calls.push(event);
    } else if (event.kind === 'fault') {
      this.closeQuietTime(event.at);
    } else if (event.kind === 'fault-over') {
      this.quietFrom = event.at + RECOVERY_MS;
      this.calls = [];
    }
  }

  /** Reports the worst window of the time that a fault has ended. */
  private closeQuietTime(until: number): void {
    let worst: Window | undefined;
    const last = until - this.timeLimitMs - WINDOW_MS;
    for (
      let from = this.quietFrom ?? Infinity;
      from <= last;
      from += WINDOW_STEP_MS
    ) {
      this.count += 1;
      const window = this.windowFrom(from);
      worst = window.deficit > (worst?.deficit ?? 0) ? window : worst;
    }
    this.quietFrom = undefined;
    if (worst !== undefined) {
      this.report.addViolation(worst.text, worst.from + WINDOW_MS);
    }
  }

  private windowFrom(from: number): Window {
    const calls = this.calls.filter(
      ({arrivedAt}) => arrivedAt >= from && arrivedAt < from + WINDOW_MS,
    );
    const lower = [...new Set(calls.map(({rank}) => rank))].filter(r => r > 0);
    const highest = servedShare(calls, 0);
    this.lowestShare = Math.min(this.lowestShare, highest);
    const best = Math.max(0, ...lower.map(rank => servedShare(calls, rank)));
    return {
      from,
      deficit: best - highest,
      text:
        `the highest rank was served at ${highest.toFixed(3)} over 10 s ` +
        `without a fault, a lower one at ${best.toFixed(3)}`,
    };
  }
}

/** 1 where nothing was requested. */
function servedShare(calls: readonly Call[], rank: number): number {
  const ofRank = calls.filter(call => call.rank === rank);
  const served = ofRank.filter(call => call.isServed).length;
  return ofRank.length === 0 ? 1 : served / ofRank.length;
}
