/** Why a request is refused that no target took, and when to come back. */
import type {Log} from '../observability/log';
import type {Metrics} from '../observability/metrics';
import type {CurrentConfiguration} from '../routes/current';
import type {Call} from './call';
import * as comeBack from './come-back';
import type {GroupGate} from './group-gate';
import type {GroupRoom} from './group-views';
import type {ServiceRest, TargetList} from './target-list';
import type * as types from './types';

/** What is looked at for it. */
export interface RefuserContext {
  readonly configuration: CurrentConfiguration;
  readonly targets: TargetList;
  readonly gate: GroupGate;
  readonly log: Log;
  readonly metrics: Metrics;
}

export class Refuser {
  constructor(private readonly context: RefuserContext) {}

  /** Asks the caller to come back when the group may have formed. */
  closedGroup(
    call: Call,
    service: string,
    group: string,
    now: number,
  ): types.Refusal {
    const {configuration, gate} = this.context;
    const found = configuration.table?.findService(service);
    const retryMs = comeBack.afterClosing(
      {
        closedMs: gate.closedMs(group, now),
        formMs: found?.engine?.experts?.formMs ?? 0,
        hasBeenOpen: gate.hasBeenOpen(group),
      },
      call.leftMs,
    );
    return {kind: 'not-run', why: 'group-closed', retryMs};
  }

  /** Every target has as much from this entry as it should wait for. */
  overloaded(
    call: Call,
    service: string,
    room: GroupRoom | undefined,
  ): types.Refusal {
    this.context.metrics.count('overloads_total', {service});
    this.context.log.event('requestRefused', {
      request: call.head?.id,
      kind: 'overloaded',
      service,
      isLater: call.isLater,
      ...room,
    });
    const retryMs = comeBack.afterOverload(call.leftMs);
    return {kind: 'not-run', why: 'overloaded', retryMs};
  }

  /** The last target turned the request away; others may take the next. */
  turnedAway(call: Call, service: string): types.Refusal {
    const rest = this.context.targets.restOf(service, performance.now());
    return rest === undefined
      ? {
          kind: 'not-run',
          why: 'target-full',
          retryMs: comeBack.afterFull(call.leftMs),
        }
      : this.resting(call, service, rest);
  }

  /** Why there is no target to choose. */
  noneToChoose(
    call: Call,
    service: string,
    rest: ServiceRest | undefined,
  ): types.Refusal {
    return rest === undefined
      ? this.noTarget(service)
      : this.resting(call, service, rest);
  }

  /** All targets want nothing for a while: the caller is told for how long. */
  private resting(
    call: Call,
    service: string,
    rest: ServiceRest,
  ): types.Refusal {
    const retryMs = comeBack.afterRest(rest.ms, call.callerLeftMs);
    this.context.metrics.count('rest_refusals_total', {service});
    this.context.log.event('requestRefused', {
      request: call.head?.id,
      kind: 'targets-resting',
      service,
      restMs: Math.round(rest.ms),
      retryMs: Math.round(retryMs),
    });
    return {kind: 'not-run', why: 'targets-resting', retryMs};
  }

  private noTarget(service: string): types.Refusal {
    this.context.log.event('noTarget', {service});
    return {kind: 'not-run', why: 'no-target', retryMs: comeBack.NO_TARGET_MS};
  }
}
