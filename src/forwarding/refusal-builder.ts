/** Builds, logs and counts refusals of requests that no target accepted. */
import type {RefusalDetails} from '../admission/admittee';
import {totalOf} from '../admission/types';
import type {Log} from '../observability/log';
import type {Metrics} from '../observability/metrics';
import type {CurrentConfiguration} from '../routes/current';
import type {Call} from './call';
import * as retryDelays from './retry-delays';
import type {GroupGate} from './group-gate';
import type {GroupCapacity} from './group-views';
import {RecentRefusals} from './recent-refusals';
import {RetrySchedule} from './retry-schedule';
import type {StopDeadline} from './stop-deadline';
import type {Unavailability, TargetList} from './target-list';
import type * as types from './types';

export interface RefusalContext {
  readonly configuration: CurrentConfiguration;
  readonly targets: TargetList;
  readonly gate: GroupGate;
  readonly stopDeadline: StopDeadline;
  /** Known entries of the site, including this one. */
  knownEntryCount(): number;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** A request that is refused because of the load. */
export interface OverloadedRequest {
  readonly service: string;
  readonly account: string;
  readonly priority: number;
  readonly routePriority: number;
  readonly rank: number;
}

const NO_PREDICTION = {waitMs: undefined, perSecond: 0};

/** Lower bound of the rate at which one entry's callers are asked to retry. */
const MIN_RETRIES_PER_SECOND = 0.1;
const SECOND_MS = 1_000;

export class RefusalBuilder {
  /** Counts what this object builds. */
  readonly recent = new RecentRefusals();
  private readonly retrySchedule = new RetrySchedule();
  private readonly overloadSchedule = new RetrySchedule();

  constructor(private readonly context: RefusalContext) {}

  /** All groups are closed; `group` is the one to wait for. */
  closedGroup(
    call: Call,
    service: string,
    group: string,
    now: number,
  ): types.Refusal {
    const {configuration, gate} = this.context;
    const found = configuration.table?.findService(service);
    const retryMs = retryDelays.afterGroupClosed(
      {
        closedMs: gate.closedMs(group, now),
        formMs: found?.engine?.experts?.formMs ?? 0,
        hasBeenOpen: gate.hasBeenOpen(group),
      },
      call.callerTimeLeftMs,
    );
    return this.counted(service, {
      kind: 'not-run',
      why: 'group-closed',
      retryMs,
    });
  }

  /** Requests with these fingerprints have crashed the targets that ran them. */
  crashesTargets(
    call: Call,
    service: string,
    quarantined: readonly string[],
  ): types.Refusal {
    this.context.metrics.count('crash_refusals_total', {service});
    this.context.log.event('requestRefused', {
      request: call.head?.id,
      kind: 'crashes-targets',
      service,
      fingerprint: quarantined[0],
    });
    const retryMs = retryDelays.afterCrashes(call.callerTimeLeftMs);
    return this.counted(service, {
      kind: 'not-run',
      why: 'crashes-targets',
      retryMs,
    });
  }

  /**
   * No target or group has capacity left. Undefined details: nothing is known of
   * the queue.
   */
  overloaded(
    call: Call,
    request: OverloadedRequest,
    capacity: GroupCapacity | undefined,
    details: RefusalDetails | undefined,
  ): types.Refusal {
    const {metrics, log} = this.context;
    const {service} = request;
    const retryMs = this.overloadRetryMs(call, request, details);
    metrics.count('overloads_total', {service});
    log.event('requestRefused', {
      request: call.head?.id,
      kind: 'overloaded',
      service,
      isLater: call.isLikelyRetry,
      ...capacity,
      ...(details && refusalFields(request, details, retryMs)),
    });
    if (details !== undefined) {
      metrics.count('admission_refusals_total', {
        service,
        priority: String(request.priority),
        reason: details.reason,
      });
    }
    return this.counted(
      service,
      {kind: 'not-run', why: 'overloaded', retryMs},
      details?.reason,
    );
  }

  /**
   * When a request that comes back then would start, spaced at the rate of the
   * starts; as without a queue where nothing has started lately.
   */
  private overloadRetryMs(
    call: Call,
    {service, rank}: OverloadedRequest,
    details: RefusalDetails | undefined,
  ): number {
    const {waitMs, perSecond} = details?.newcomer ?? NO_PREDICTION;
    if (waitMs === undefined || perSecond <= 0) {
      return retryDelays.afterOverload(call.callerTimeLeftMs);
    }
    const scheduledMs = this.overloadSchedule.nextDelayMs(
      `${service} ${rank}`,
      waitMs,
      SECOND_MS / perSecond,
      performance.now(),
    );
    return retryDelays.afterLimit(scheduledMs, call.callerTimeLeftMs);
  }

  /** The last target refused the request. */
  targetFull(call: Call, service: string): types.Refusal {
    const cause = this.context.targets.unavailabilityOf(
      service,
      performance.now(),
    );
    return cause === undefined
      ? this.counted(service, {
          kind: 'not-run',
          why: 'target-full',
          retryMs: retryDelays.afterFull(call.callerTimeLeftMs),
        })
      : this.unavailable(call, service, cause);
  }

  /** This process has no descriptor left for another connection to a target. */
  noDescriptors(call: Call, service: string): types.Refusal {
    this.context.metrics.count('descriptor_refusals_total', {service});
    this.context.log.event('requestRefused', {
      request: call.head?.id,
      kind: 'no-descriptors',
      service,
    });
    return this.counted(service, {
      kind: 'not-run',
      why: 'no-descriptors',
      retryMs: retryDelays.afterFull(call.callerTimeLeftMs),
    });
  }

  /** No target may be sent to now. */
  noneAvailable(
    call: Call,
    service: string,
    cause: Unavailability | undefined,
  ): types.Refusal {
    return cause === undefined
      ? this.noTarget(service)
      : this.unavailable(call, service, cause);
  }

  /** All targets are temporarily unavailable, for a known reason. */
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
    const retryMs = retryDelays.afterCooldown(
      cause.waitMs,
      call.callerTimeLeftMs,
    );
    this.context.metrics.count('rest_refusals_total', {service});
    this.context.log.event('requestRefused', {
      request: call.head?.id,
      kind: 'targets-resting',
      service,
      restMs: Math.round(cause.waitMs),
      retryMs: Math.round(retryMs),
    });
    return this.counted(service, {
      kind: 'not-run',
      why: 'targets-resting',
      retryMs,
    });
  }

  /** Spreads callers' retries at the rate that the targets accept. */
  private rateLimited(
    call: Call,
    service: string,
    cause: Unavailability,
  ): types.Refusal {
    const perEntry = cause.limitPerSecond / this.context.knownEntryCount();
    const spacingMs = SECOND_MS / Math.max(perEntry, MIN_RETRIES_PER_SECOND);
    const now = performance.now();
    const scheduledMs = this.retrySchedule.nextDelayMs(
      service,
      cause.waitMs,
      spacingMs,
      now,
    );
    const retryMs = retryDelays.afterLimit(scheduledMs, call.callerTimeLeftMs);
    this.context.metrics.count('limit_refusals_total', {service});
    this.context.log.event('requestRefused', {
      request: call.head?.id,
      kind: 'targets-limited',
      service,
      limit: cause.limitPerSecond,
      retryMs: Math.round(retryMs),
    });
    return this.counted(service, {
      kind: 'not-run',
      why: 'targets-limited',
      retryMs,
    });
  }

  /** This entry stops before the request could be answered. */
  stopping(call: Call): types.Refusal {
    const {stopDeadline, log, metrics} = this.context;
    metrics.count('stop_refusals_total', {});
    log.event('requestRefused', {
      request: call.head?.id,
      kind: 'stopping',
      leftMs: Math.round(stopDeadline.leftMs(performance.now())),
    });
    const retryMs = retryDelays.STOPPING_DELAY_MS;
    return {kind: 'not-run', why: 'stopping', retryMs};
  }

  private noTarget(service: string): types.Refusal {
    this.context.log.event('noTarget', {service});
    return this.counted(service, {
      kind: 'not-run',
      why: 'no-target',
      retryMs: retryDelays.NO_TARGET_DELAY_MS,
    });
  }

  /** Counts a refusal by its reason. */
  private counted(
    service: string,
    refusal: Extract<types.Refusal, {kind: 'not-run'}>,
    reason: string = refusal.why,
  ): types.Refusal {
    this.recent.note(service, reason, performance.now());
    return refusal;
  }
}

/** Log fields of a refusal by the admission queue. */
function refusalFields(
  {account, priority, routePriority}: OverloadedRequest,
  {reason, waitedMs, prediction}: RefusalDetails,
  retryMs: number,
): object {
  const {ahead, waitMs} = prediction;
  return {
    priority,
    routePriority: routePriority === priority ? undefined : routePriority,
    account,
    ahead: totalOf(ahead),
    waitMs: Math.round(waitedMs),
    predictedMs: waitMs === undefined ? undefined : Math.round(waitMs),
    retryMs: Math.round(retryMs),
    reason,
  };
}
