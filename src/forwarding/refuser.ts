/** Why a request is refused that no target took, and when to come back. */
import type {Log} from '../observability/log';
import type {Metrics} from '../observability/metrics';
import type {CurrentConfiguration} from '../routes/current';
import type {Call} from './call';
import * as comeBack from './come-back';
import type {GroupGate} from './group-gate';
import type {GroupRoom} from './group-views';
import {ReturnLines} from './return-lines';
import type {ServiceHold, TargetList} from './target-list';
import type * as types from './types';

/** What is looked at for it. */
export interface RefuserContext {
  readonly configuration: CurrentConfiguration;
  readonly targets: TargetList;
  readonly gate: GroupGate;
  /** Entries of the site that are known, this one among them. */
  knownEntries(): number;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Requests a second at which callers come back at least. */
const LEAST_PER_SECOND = 0.1;
const SECOND_MS = 1_000;

export class Refuser {
  private readonly returns = new ReturnLines();

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

  /** The request has crashed the targets that ran it. */
  convicted(call: Call, service: string, digest: string): types.Refusal {
    this.context.metrics.count('crash_refusals_total', {service});
    this.context.log.event('requestRefused', {
      request: call.head?.id,
      kind: 'crashes-targets',
      service,
      digest,
    });
    const retryMs = comeBack.afterConviction(call.callerLeftMs);
    return {kind: 'not-run', why: 'crashes-targets', retryMs};
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
    const hold = this.context.targets.holdOf(service, performance.now());
    return hold === undefined
      ? {
          kind: 'not-run',
          why: 'target-full',
          retryMs: comeBack.afterFull(call.leftMs),
        }
      : this.held(call, service, hold);
  }

  /** Why there is no target to choose. */
  noneToChoose(
    call: Call,
    service: string,
    hold: ServiceHold | undefined,
  ): types.Refusal {
    return hold === undefined
      ? this.noTarget(service)
      : this.held(call, service, hold);
  }

  /** All targets are held back for a while: the caller is told for how long. */
  private held(call: Call, service: string, hold: ServiceHold): types.Refusal {
    return hold.why === 'limited'
      ? this.limited(call, service, hold)
      : this.resting(call, service, hold);
  }

  private resting(
    call: Call,
    service: string,
    hold: ServiceHold,
  ): types.Refusal {
    const retryMs = comeBack.afterRest(hold.ms, call.callerLeftMs);
    this.context.metrics.count('rest_refusals_total', {service});
    this.context.log.event('requestRefused', {
      request: call.head?.id,
      kind: 'targets-resting',
      service,
      restMs: Math.round(hold.ms),
      retryMs: Math.round(retryMs),
    });
    return {kind: 'not-run', why: 'targets-resting', retryMs};
  }

  /** They come back at the pace at which the targets take requests. */
  private limited(
    call: Call,
    service: string,
    hold: ServiceHold,
  ): types.Refusal {
    const perEntry = hold.perSecond / this.context.knownEntries();
    const spacingMs = SECOND_MS / Math.max(perEntry, LEAST_PER_SECOND);
    const now = performance.now();
    const lineMs = this.returns.next(service, hold.ms, spacingMs, now);
    const retryMs = comeBack.afterLimit(lineMs, call.callerLeftMs);
    this.context.metrics.count('limit_refusals_total', {service});
    this.context.log.event('requestRefused', {
      request: call.head?.id,
      kind: 'targets-limited',
      service,
      limit: hold.perSecond,
      retryMs: Math.round(retryMs),
    });
    return {kind: 'not-run', why: 'targets-limited', retryMs};
  }

  private noTarget(service: string): types.Refusal {
    this.context.log.event('noTarget', {service});
    return {kind: 'not-run', why: 'no-target', retryMs: comeBack.NO_TARGET_MS};
  }
}
