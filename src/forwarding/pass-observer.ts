/**
 * Compares the duration of a group's passes, as seen in the events of this
 * entry's streams, with the predicted one. All ranks of a group make each pass
 * together, so all entries observe the same durations. Pure; times are
 * monotonic milliseconds.
 */
import * as statistics from '../statistics';

/** Gaps that ended longer ago are ignored. */
const WINDOW_MS = 500;
/** With fewer gaps there is no measurement. */
const MIN_GAPS = 10;
/** Bounds the work per measurement. */
const MAX_GAPS = 1_024;
/** Interval of `tick` calls. */
export const TICK_MS = 50;
/** Lateness of a tick from which gaps around it are ignored. */
const MAX_LATENESS_MS = 40;
/** Minimum time between updates of the ratio. */
const UPDATE_MS = 100;
/** Weight of the newest measurement; one per `UPDATE_MS`. */
const EWMA_ALPHA = 0.4;
const MIN_RATIO = 0.5;
const MAX_RATIO = 4;
/** Ratios up to this one are within the precision of the model. */
const TOLERATED_RATIO = 1.1;
/** From this ratio on it applies in full. */
const FULL_RATIO = 1.2;
/** Time without measurements after which the ratio begins to return to 1. */
const HOLD_MS = 500;
/** Time without measurements after which it is 1. */
const EXPIRY_MS = 2_000;
/**
 * Minimum predicted time beyond the fixed time, in milliseconds and as a share
 * of it: with less, the jitter of gaps exceeds it.
 */
const MIN_VARIABLE_MS = 10;
const MIN_VARIABLE_SHARE = 0.1;

/** A group's pass time as predicted for the requests that it had at a time. */
export interface PredictedPass {
  readonly at: number;
  /** Milliseconds of a pass without requests. */
  readonly fixedMs: number;
  /** Milliseconds with them. */
  readonly passMs: number;
}

/** A measured pass time and the one predicted for the same time. */
export interface PassMeasurement {
  readonly measuredMs: number;
  readonly predictedMs: number;
}

interface Gap {
  readonly from: number;
  readonly end: number;
}

export class PassObserver {
  private readonly groups = new Map<string, ObservedGroup>();
  private lastTick: number | undefined;
  /** Gaps that began before are ignored. */
  private validFrom = -Infinity;

  /** Two consecutive events of one stream of a group. */
  note(group: string, from: number, end: number): void {
    if (from >= this.validFrom) {
      this.groupOf(group).pending.push({from, end});
    }
  }

  /**
   * To be called every `TICK_MS`; a late call shows that this process was late
   * to read events.
   */
  tick(now: number): void {
    const lateMs = now - (this.lastTick ?? now) - TICK_MS;
    this.lastTick = now;
    if (lateMs > MAX_LATENESS_MS) {
      this.validFrom = now;
    }
    for (const group of this.groups.values()) {
      group.accept(this.validFrom);
    }
  }

  /** Drops all gaps, as after a suspension. */
  clear(): void {
    this.groups.clear();
  }

  /** Drops a group that has no ranks any more. */
  forget(group: string): void {
    this.groups.delete(group);
  }

  /**
   * Factor by which the part of a pass beyond the fixed time exceeds the
   * prediction: 1 to 4.
   */
  correctionOf(group: string, now: number): number {
    return this.groups.get(group)?.correctionAt(now) ?? 1;
  }

  /**
   * Compares a prediction with the passes; at most every `UPDATE_MS`. Returns
   * the measurement if there was one.
   */
  compare(
    group: string,
    predicted: PredictedPass,
    now: number,
  ): PassMeasurement | undefined {
    return this.groups.get(group)?.compare(predicted, now);
  }

  private groupOf(key: string): ObservedGroup {
    let group = this.groups.get(key);
    if (group === undefined) {
      group = new ObservedGroup();
      this.groups.set(key, group);
    }
    return group;
  }
}

class ObservedGroup {
  /** Gaps since the last tick, oldest first. */
  readonly pending: Gap[] = [];
  private gaps: Gap[] = [];
  private predictions: PredictedPass[] = [];
  private ratio = 1;
  private comparedAt = -Infinity;
  private measuredAt = -Infinity;

  /** Takes the pending gaps unless they began before `validFrom`. */
  accept(validFrom: number): void {
    for (const gap of this.pending) {
      if (gap.from >= validFrom) {
        this.gaps.push(gap);
      }
    }
    this.pending.length = 0;
    this.gaps.splice(0, this.gaps.length - MAX_GAPS);
  }

  correctionAt(now: number): number {
    const silentMs = now - this.measuredAt;
    const left = (EXPIRY_MS - silentMs) / (EXPIRY_MS - HOLD_MS);
    const ratio = 1 + (this.ratio - 1) * Math.min(Math.max(left, 0), 1);
    if (ratio <= TOLERATED_RATIO) {
      return 1;
    }
    const applied = (ratio - TOLERATED_RATIO) / (FULL_RATIO - TOLERATED_RATIO);
    return 1 + (ratio - 1) * Math.min(applied, 1);
  }

  compare(predicted: PredictedPass, now: number): PassMeasurement | undefined {
    if (now - this.comparedAt < UPDATE_MS) {
      return undefined;
    }
    this.comparedAt = now;
    this.gaps = this.gaps.filter(one => now - one.end < WINDOW_MS);
    this.predictions = this.predictions.filter(
      one => one.at < predicted.at && now - one.at < EXPIRY_MS,
    );
    this.predictions.push(predicted);
    // Later passes have requests that no view has counted yet.
    const gaps = this.gaps.filter(one => one.from <= predicted.at);
    if (gaps.length < MIN_GAPS) {
      return undefined;
    }
    const measuredMs = statistics.median(gaps.map(one => one.end - one.from));
    // A pass takes as long as the requests at its beginning need.
    const at = meanOf(gaps.map(one => one.from));
    const {fixedMs, passMs} = interpolate(this.predictions, at);
    const minVariableMs = Math.max(
      MIN_VARIABLE_MS,
      fixedMs * MIN_VARIABLE_SHARE,
    );
    if (passMs - fixedMs < minVariableMs) {
      return undefined;
    }
    const ratio = (measuredMs - fixedMs) / (passMs - fixedMs);
    const bounded = Math.min(Math.max(ratio, MIN_RATIO), MAX_RATIO);
    if (now - this.measuredAt >= EXPIRY_MS) {
      this.ratio = 1;
    }
    this.ratio += EWMA_ALPHA * (bounded - this.ratio);
    this.measuredAt = now;
    return {measuredMs, predictedMs: passMs};
  }
}

/** The prediction for a time; the list is in order of time, and not empty. */
function interpolate(
  predictions: readonly PredictedPass[],
  at: number,
): PredictedPass {
  const next = predictions.find(one => one.at >= at);
  const before = predictions.filter(one => one.at < at).pop() ?? next!;
  const after = next ?? before;
  const share =
    after.at > before.at ? (at - before.at) / (after.at - before.at) : 0;
  return {
    at,
    fixedMs: before.fixedMs + (after.fixedMs - before.fixedMs) * share,
    passMs: before.passMs + (after.passMs - before.passMs) * share,
  };
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, one) => sum + one, 0) / values.length;
}
