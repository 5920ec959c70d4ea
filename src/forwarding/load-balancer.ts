/**
 * Choosing a target by what this entry sees itself, its own requests in
 * flight and how recent ones ended, and by what sidecars tell of ranks.
 * Nothing is asked of a target for it.
 */
import * as random from '../random';
import type {Target} from './types';

/** Weight of the newest outcome in a target's share of failures. */
const TARGET_OUTCOME_WEIGHT = 0.5;
/** And in the share of all targets of its service. */
const SERVICE_OUTCOME_WEIGHT = 0.02;
/**
 * A share of failures beyond the service's usual one counts like this many
 * requests in flight: what fails at once always looks idle.
 */
const FAILURE_WEIGHT = 24;
/** A share of failures is halved in this time, in milliseconds. */
const HALF_LIFE_MS = 8_000;
/**
 * Places that a rank's slowness costs: each request there lengthens the passes
 * of all ranks by its slowness.
 */
const SLOWNESS_WEIGHT = 8;
/**
 * Places for which a permit makes up, to send to a target that has named a
 * limit: unused it is lost, and with it the little that the target takes.
 */
const PERMIT_BONUS = 2;
/** Places that another hall costs: a hop is little beside a request. */
const OTHER_HALL_PENALTY = 0.4;

/**
 * Requests that this entry sends to a target at most, in its slots. A target
 * queues more, but there they wait longer than callers do.
 */
const MAX_REQUESTS_PER_SLOT = 1.5;

interface TargetRecord {
  inFlight: number;
  failureShare: number;
  updatedAt: number;
}

/** What others tell of a target. */
export interface LoadReports {
  /** How many times as long as it should its work takes. */
  slownessOf(target: Target, now: number): number;
  /** Requests of all entries there; undefined: not told. */
  requestsAt(target: Target, now: number): number | undefined;
}

const NO_REPORTS: LoadReports = {
  slownessOf: () => 1,
  requestsAt: () => undefined,
};

/**
 * Targets that are compared where news of them is shared. All entries are told
 * the same, some tenths of a second late, and whoever compares many finds the
 * same few idle ones as all others.
 */
const SAMPLE_SIZE = 4;

export class LoadBalancer {
  private readonly records = new Map<string, TargetRecord>();
  /** Share of the requests of a service that fail, whoever serves them. */
  private readonly serviceFailureShares = new Map<string, number>();

  constructor(
    private readonly hall: string,
    private readonly reports: LoadReports = NO_REPORTS,
  ) {}

  /** Notes that a request goes to a lifetime of a target. */
  begin(lifetime: string): void {
    this.recordOf(lifetime).inFlight += 1;
  }

  /** Notes how it ended: `harm` is 0 where well, 1 where it failed. */
  end(target: Target, harm: number, now: number): void {
    const record = this.recordOf(target.lifetime);
    record.inFlight -= 1;
    const failing = decayedFailureShare(record, now);
    record.failureShare = failing + TARGET_OUTCOME_WEIGHT * (harm - failing);
    record.updatedAt = now;
    const usual = this.serviceFailureShares.get(target.service) ?? 0;
    this.serviceFailureShares.set(
      target.service,
      usual + SERVICE_OUTCOME_WEIGHT * (harm - usual),
    );
  }

  inFlight(lifetime: string): number {
    return this.records.get(lifetime)?.inFlight ?? 0;
  }

  /** The target with the lowest score; undefined where none has room. */
  choose(
    targets: readonly Target[],
    now: number,
    lent: readonly Target[] = [],
  ): Target | undefined {
    let best: Target | undefined;
    let bestScore = Infinity;
    const free = targets.filter(target => this.hasRoom(target));
    const freeLent = lent.filter(target => this.hasRoom(target));
    for (const target of [...freeLent, ...this.candidatesOf(free, now)]) {
      const bonus = lent.includes(target) ? PERMIT_BONUS : 0;
      const score =
        this.score(target, now) - bonus + random.uniform() * TIE_BREAK;
      if (score < bestScore) {
        best = target;
        bestScore = score;
      }
    }
    return best;
  }

  private hasRoom({lifetime, slots}: Target): boolean {
    return this.inFlight(lifetime) < slots * MAX_REQUESTS_PER_SLOT;
  }

  /** Forgets lifetimes that are gone and have nothing in flight. */
  retain(isKnown: (lifetime: string) => boolean): void {
    for (const [lifetime, record] of this.records) {
      if (record.inFlight === 0 && !isKnown(lifetime)) {
        this.records.delete(lifetime);
      }
    }
  }

  /** All targets, or some drawn at random where news of them is shared. */
  private candidatesOf(
    targets: readonly Target[],
    now: number,
  ): readonly Target[] {
    const [first] = targets;
    const isShared =
      first !== undefined && this.reports.requestsAt(first, now) !== undefined;
    return isShared ? random.sample(targets, SAMPLE_SIZE) : targets;
  }

  private score(target: Target, now: number): number {
    const record = this.records.get(target.lifetime);
    const inFlight =
      this.reports.requestsAt(target, now) ?? record?.inFlight ?? 0;
    const usual = this.serviceFailureShares.get(target.service) ?? 0;
    const share = record === undefined ? 0 : decayedFailureShare(record, now);
    const failing = Math.max(share - usual, 0);
    const hop = target.hall === this.hall ? 0 : OTHER_HALL_PENALTY;
    const slow = (this.reports.slownessOf(target, now) - 1) * SLOWNESS_WEIGHT;
    return inFlight + hop + slow + failing * FAILURE_WEIGHT;
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

/** Less than any real difference between scores. */
const TIE_BREAK = 0.1;

function decayedFailureShare(record: TargetRecord, now: number): number {
  return record.failureShare * 0.5 ** ((now - record.updatedAt) / HALF_LIFE_MS);
}
