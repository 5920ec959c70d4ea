/** Why a request is refused that no target took, and when to come back. */
import type {Log} from '../observability/log';
import type {Metrics} from '../observability/metrics';
import type {CurrentConfiguration} from '../routes/current';
import type {Call} from './call';
import * as comeBack from './retry-delays';
import type {GroupGate} from './group-gate';
import type {GroupCapacity} from './group-views';
import {RetrySchedule} from './retry-schedule';
import type {Unavailability, TargetList} from './target-list';
import type * as types from './types';

/** What is looked at for it. */
export interface RefusalContext {
  readonly configuration: CurrentConfiguration;
  readonly targets: TargetList;
  readonly gate: GroupGate;
  /** Entries of the site that are known, this one among them. */
  knownEntryCount(): number;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Requests a second at which callers come back at least. */
const MIN_RETRIES_PER_SECOND = 0.1;
const SECOND_MS = 1_000;

export class RefusalBuilder {
  private readonly retrySchedule = new RetrySchedule();

  constructor(private readonly context: RefusalContext) {}

  /** Asks the caller to come back when the group may have formed. */
  closedGroup(
    call: Call,
    service: string,
    group: string,
    now: number,
  ): types.Refusal {
    const {configuration, gate} = this.context;
    const found = configuration.table?.findService(service);
    const retryMs = comeBack.afterGroupClosed(
      {
        closedMs: gate.closedMs(group, now),
        formMs: found?.engine?.experts?.formMs ?? 0,
        hasBeenOpen: gate.hasBeenOpen(group),
      },
      call.timeLeftMs,
    );
    return {kind: 'not-run', why: 'group-closed', retryMs};
  }

  /** The request has crashed the targets that ran it. */
  crashesTargets(call: Call, service: string, digest: string): types.Refusal {
    this.context.metrics.count('crash_refusals_total', {service});
    this.context.log.event('requestRefused', {
      request: call.head?.id,
      kind: 'crashes-targets',
      service,
      digest,
    });
    const retryMs = comeBack.afterCrashes(call.callerTimeLeftMs);
    return {kind: 'not-run', why: 'crashes-targets', retryMs};
  }

  /** Every target has as much from this entry as it should wait for. */
  overloaded(
    call: Call,
    service: string,
    capacity: GroupCapacity | undefined,
  ): types.Refusal {
    this.context.metrics.count('overloads_total', {service});
    this.context.log.event('requestRefused', {
      request: call.head?.id,
      kind: 'overloaded',
      service,
      isLater: call.isLikelyRetry,
      ...capacity,
    });
    const retryMs = comeBack.afterOverload(call.timeLeftMs);
    return {kind: 'not-run', why: 'overloaded', retryMs};
  }

  /** The last target turned the request away; others may take the next. */
  targetFull(call: Call, service: string): types.Refusal {
    const cause = this.context.targets.unavailabilityOf(
      service,
      performance.now(),
    );
    return cause === undefined
      ? {
          kind: 'not-run',
          why: 'target-full',
          retryMs: comeBack.afterFull(call.timeLeftMs),
        }
      : this.unavailable(call, service, cause);
  }

  /** Why there is no target to choose. */
  noneAvailable(
    call: Call,
    service: string,
    cause: Unavailability | undefined,
  ): types.Refusal {
    return cause === undefined
      ? this.noTarget(service)
      : this.unavailable(call, service, cause);
  }

  /** All targets are held back for a while: the caller is told for how long. */
  private unavailable(
    call: Call,
    service: string,
    cause: Unavailability,
  ): types.Refusal {
    return cause.reason === 'limited'
      ? this.rateLimited(call, service, cause)
      : this.coolingDown(call, service, cause);
  }

  private coolingDown(
    call: Call,
    service: string,
    cause: Unavailability,
  ): types.Refusal {
    const retryMs = comeBack.afterCooldown(cause.waitMs, call.callerTimeLeftMs);
    this.context.metrics.count('rest_refusals_total', {service});
    this.context.log.event('requestRefused', {
      request: call.head?.id,
      kind: 'targets-resting',
      service,
      restMs: Math.round(cause.waitMs),
      retryMs: Math.round(retryMs),
    });
    return {kind: 'not-run', why: 'targets-resting', retryMs};
  }

  /** They come back at the pace at which the targets take requests. */
  private rateLimited(
    call: Call,
    service: string,
    cause: Unavailability,
  ): types.Refusal {
    const perEntry = cause.limitPerSecond / this.context.knownEntryCount();
    const spacingMs = SECOND_MS / Math.max(perEntry, MIN_RETRIES_PER_SECOND);
    const now = performance.now();
    const lineMs = this.retrySchedule.nextDelayMs(
      service,
      cause.waitMs,
      spacingMs,
      now,
    );
    const retryMs = comeBack.afterLimit(lineMs, call.callerTimeLeftMs);
    this.context.metrics.count('limit_refusals_total', {service});
    this.context.log.event('requestRefused', {
      request: call.head?.id,
      kind: 'targets-limited',
      service,
      limit: cause.limitPerSecond,
      retryMs: Math.round(retryMs),
    });
    return {kind: 'not-run', why: 'targets-limited', retryMs};
  }

  private noTarget(service: string): types.Refusal {
    this.context.log.event('noTarget', {service});
    return {
      kind: 'not-run',
      why: 'no-target',
      retryMs: comeBack.NO_TARGET_DELAY_MS,
    };
  }
}
