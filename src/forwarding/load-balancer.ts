/**
 * Chooses the target with the lowest score, from this entry's requests in
 * flight, their recent outcomes and the loads that sidecars report. Targets
 * are never queried for it.
 */
import * as random from '../random';
import type {Target} from './types';

/** Weight of the newest outcome in a target's moving failure share. */
const TARGET_OUTCOME_WEIGHT = 0.5;
/** Weight of the newest outcome in a service's moving failure share. */
const SERVICE_OUTCOME_WEIGHT = 0.02;
/**
 * Requests in flight that equal a failure share of 1 above the service's: a
 * target that fails immediately always looks idle.
 */
const FAILURE_WEIGHT = 24;
/** Half-life of a target's failure share. */
const HALF_LIFE_MS = 8_000;
/**
 * Requests in flight that equal one unit of slowness above 1: each request on
 * a slow rank lengthens the passes of all ranks of its group.
 */
const SLOWNESS_WEIGHT = 8;
/**
 * Requests in flight that a held permit offsets: permits expire, and an unused
 * one wastes a part of the target's rate limit.
 */
const PERMIT_BONUS = 2;
/**
 * Requests in flight that equal the hop to another hall, which takes little
 * time beside a request.
 */
const OTHER_HALL_PENALTY = 0.4;
/** The same where loads are reported: with 0.4, more than half were hops. */
const REPORTED_HALL_PENALTY = 1;

/**
 * Maximum requests in flight from this entry to a target, per slot. More would
 * queue at the target for longer than callers wait.
 */
const MAX_REQUESTS_PER_SLOT = 1.5;

interface TargetRecord {
  inFlight: number;
  failureShare: number;
  updatedAt: number;
}

/** Loads of targets as reported by others. */
export interface LoadReports {
  /** Actual over expected duration of its work. */
  slownessOf(target: Target, now: number): number;
  /** Requests of all entries at the target; undefined: not reported. */
  requestsAt(target: Target, now: number): number | undefined;
}

const NO_REPORTS: LoadReports = {
  slownessOf: () => 1,
  requestsAt: () => undefined,
};

/**
 * Targets compared where loads are reported. All entries get the same reports
 * with the same delay: comparing all targets, they would all choose the same
 * few idle ones.
 */
const SAMPLE_SIZE = 4;
/**
 * Part of a sample that is taken from the entry's own hall. With 3 there were
 * fewer hops, but fuller ranks where most requests come from one hall.
 */
const OWN_HALL_SAMPLE_SIZE = 2;
/**
 * Minimum share of targets in the own hall for that: its entries would all
 * choose among the same few.
 */
const MIN_OWN_HALL_SHARE = 1 / 6;

export class LoadBalancer {
  private readonly records = new Map<string, TargetRecord>();
  /** Moving failure share over all targets, by service. */
  private readonly serviceFailureShares = new Map<string, number>();

  constructor(
    private readonly hall: string,
    private readonly reports: LoadReports = NO_REPORTS,
    /** Part of its normal requests that a target gets after a cold period. */
    private readonly shareOf: (target: Target, now: number) => number = () => 1,
  ) {}

  /** Counts a request in flight to a lifetime of a target. */
  begin(lifetime: string): void {
    this.recordOf(lifetime).inFlight += 1;
  }

  /** Records its end; `failure` is 0 for success, 1 for failure. */
  end(target: Target, failure: number, now: number): void {
    const record = this.recordOf(target.lifetime);
    record.inFlight -= 1;
    const share = decayedFailureShare(record, now);
    record.failureShare = share + TARGET_OUTCOME_WEIGHT * (failure - share);
    record.updatedAt = now;
    const serviceShare = this.serviceFailureShares.get(target.service) ?? 0;
    this.serviceFailureShares.set(
      target.service,
      serviceShare + SERVICE_OUTCOME_WEIGHT * (failure - serviceShare),
    );
  }

  inFlight(lifetime: string): number {
    return this.records.get(lifetime)?.inFlight ?? 0;
  }

  /**
   * The target with the lowest score; undefined if all are full. `permitted`:
   * rate-limited ones to which a permit is held.
   */
  choose(
    targets: readonly Target[],
    now: number,
    permitted: readonly Target[] = [],
  ): Target | undefined {
    let best: Target | undefined;
    let bestScore = Infinity;
    const free = this.drawRising(targets, now);
    const freePermitted = permitted.filter(target => this.hasRoom(target));
    for (const target of [...freePermitted, ...this.candidatesOf(free, now)]) {
      const bonus = permitted.includes(target) ? PERMIT_BONUS : 0;
      const score =
        this.score(target, now) - bonus + random.uniform() * TIE_BREAK;
      if (score < bestScore) {
        best = target;
        bestScore = score;
      }
    }
    return best;
  }

  private hasRoom({lifetime, slots}: Target, share = 1): boolean {
    const room = slots * MAX_REQUESTS_PER_SLOT;
    return this.inFlight(lifetime) < Math.max(room * share, 1);
  }

  /**
   * Targets with room. One whose share rises gets a part of the choices and of
   * the room beside others: it is idle at first and would get all requests.
   */
  private drawRising(
    targets: readonly Target[],
    now: number,
  ): readonly Target[] {
    if (targets.every(target => this.shareOf(target, now) < 1)) {
      return targets.filter(target => this.hasRoom(target));
    }
    const free = targets.filter(target =>
      this.hasRoom(target, this.shareOf(target, now)),
    );
    const drawn = free.filter(target => {
      const share = this.shareOf(target, now);
      return share === 1 || random.uniform() < share;
    });
    return drawn.length > 0 ? drawn : free;
  }

  /** Drops unknown lifetimes that have nothing in flight. */
  retain(isKnown: (lifetime: string) => boolean): void {
    for (const [lifetime, record] of this.records) {
      if (record.inFlight === 0 && !isKnown(lifetime)) {
        this.records.delete(lifetime);
      }
    }
  }

  /**
   * A random sample where loads are reported, all targets otherwise. Ranks
   * without a free slot only if no rank has one: a request would wait there for
   * a whole stream to end. A slow or failing rank counts as full once its load
   * reaches its slots.
   */
  private candidatesOf(
    targets: readonly Target[],
    now: number,
  ): readonly Target[] {
    const [first] = targets;
    const isReported =
      first !== undefined && this.reports.requestsAt(first, now) !== undefined;
    if (!isReported) {
      return targets;
    }
    const sample = this.sampleOf(targets);
    const hasSlot = (target: Target) => this.load(target, now) < target.slots;
    const free = sample.filter(hasSlot);
    if (free.length > 0) {
      return free;
    }
    const others = this.sampleOf(targets.filter(hasSlot));
    return others.length > 0 ? others : sample;
  }

  /** Targets at random, half of them of the own hall. */
  private sampleOf(targets: readonly Target[]): readonly Target[] {
    const own = targets.filter(one => one.hall === this.hall);
    if (
      own.length === targets.length ||
      own.length < targets.length * MIN_OWN_HALL_SHARE
    ) {
      return random.sample(targets, SAMPLE_SIZE);
    }
    const near = random.sample(own, OWN_HALL_SAMPLE_SIZE);
    const others = targets.filter(one => one.hall !== this.hall);
    return [...near, ...random.sample(others, SAMPLE_SIZE - near.length)];
  }

  private score(target: Target, now: number): number {
    if (target.hall === this.hall) {
      return this.load(target, now);
    }
    const isReported = this.reports.requestsAt(target, now) !== undefined;
    const hop = isReported ? REPORTED_HALL_PENALTY : OTHER_HALL_PENALTY;
    return this.load(target, now) + hop;
  }

  /** Requests in flight, and what slowness and failures add to them. */
  private load(target: Target, now: number): number {
    const record = this.records.get(target.lifetime);
    const inFlight =
      this.reports.requestsAt(target, now) ?? record?.inFlight ?? 0;
    const serviceShare = this.serviceFailureShares.get(target.service) ?? 0;
    const share = record === undefined ? 0 : decayedFailureShare(record, now);
    const excessFailures = Math.max(share - serviceShare, 0);
    const slow = (this.reports.slownessOf(target, now) - 1) * SLOWNESS_WEIGHT;
    return inFlight + slow + excessFailures * FAILURE_WEIGHT;
  }

  private recordOf(lifetime: string): TargetRecord {
    let record = this.records.get(lifetime);
    if (record === undefined) {
      record = {inFlight: 0, failureShare: 0, updatedAt: 0};
      this.records.set(lifetime, record);
    }
    return record;
  }
}

/** Upper bound of the random part that decides between equal scores. */
const TIE_BREAK = 0.1;

function decayedFailureShare(record: TargetRecord, now: number): number {
  return record.failureShare * 0.5 ** ((now - record.updatedAt) / HALF_LIFE_MS);
}
