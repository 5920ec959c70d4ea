/**
 * Finds the target that a request is sent to next. Waits, up to a limit, for a
 * closed or full group, for a target that is being tried after its cooldown, or
 * for a permit to send to rate-limited targets.
 */
import type * as rxjs from 'rxjs';
import type {Admitted, Admittee, Blocked} from '../admission/admittee';
import {ArrivalOrder} from '../admission/arrival-order';
import {FairDeadlineOrder} from '../admission/fair-deadline-order';
import {Result, fail, ok} from '../result';
import {hasAdmission} from './admission-condition';
import {AdmissionController} from './admission-controller';
import type {Call} from './call';
import type * as exchanges from './exchange';
import type {ForwarderContext} from './forwarder';
import {RefusalBuilder} from './refusal-builder';
import type {RelayedRequest} from './relayed-request';
import {TargetCandidate, quarantinedOf} from './target-candidate';
import type * as types from './types';

type WaitingCall = Admittee<types.Target, types.Refusal>;

export class TargetFinder {
  readonly refusals: RefusalBuilder;
  readonly admission: AdmissionController<types.Target, types.Refusal>;
  private readonly subscriptions: readonly rxjs.Subscription[];

  constructor(private readonly context: ForwarderContext) {
    const {cfg, shares, log, metrics, gate, views} = context;
    const {floorShare} = cfg.admission;
    this.refusals = new RefusalBuilder(context);
    this.admission = new AdmissionController({
      shares,
      floorShare,
      hasObjective: service => hasAdmission(service, context),
      makeOrder: hasObjective =>
        hasObjective
          ? new FairDeadlineOrder<WaitingCall>(floorShare)
          : new ArrivalOrder<WaitingCall>(),
      log,
      metrics,
    });
    this.subscriptions = [
      gate.openings.subscribe(() => this.admission.wake()),
      views.updates.subscribe(() => this.admission.wake()),
      context.crashes.convictions.subscribe(() => this.refuseQuarantined()),
    ];
  }

  /**
   * Finds a target that was not tried yet and counts the request as in flight
   * there. `mayWait` allows to wait for a closed or full group. Fails with the
   * refusal to send to the caller.
   */
  async find(
    call: Call,
    request: RelayedRequest,
    tried: ReadonlyMap<string, exchanges.Outcome['kind']>,
    mayWait: boolean,
  ): Promise<Result<types.Target, types.Refusal>> {
    const {crashes} = this.context;
    if (!crashes.isKnown && hasSharedParts(request)) {
      await crashes.whenKnown();
    }
    const quarantined = quarantinedOf(call, crashes);
    const isTrial = quarantined.length > 0;
    if (isTrial && !(await crashes.requestTrial(quarantined))) {
      return fail(
        this.refusals.crashesTargets(call, request.service, quarantined),
      );
    }
    const {context, refusals, admission} = this;
    const hasObjective = hasAdmission(request.service, context);
    const search = {context, refusals, admission, hasObjective};
    context.targets.requestPermits(request.service, performance.now());
    const candidate = new TargetCandidate(
      search,
      call,
      request,
      tried,
      mayWait,
      isTrial,
    );
    const admitted = await this.admit(call, candidate);
    if (!admitted.ok) {
      return admitted;
    }
    call.holdPlace(admitted.value.ticket);
    return ok(admitted.value.value);
  }

  close(): void {
    this.subscriptions.forEach(subscription => subscription.unsubscribe());
    this.admission.close();
  }

  /** Refuses the waiting requests that are quarantined now. */
  private refuseQuarantined(): void {
    this.admission.refuseIf(
      item => item instanceof TargetCandidate && item.isQuarantined,
    );
  }

  /** Admits a request and notes how long it had to wait. */
  private async admit(
    call: Call,
    candidate: TargetCandidate,
  ): Promise<Result<Admitted<types.Target>, types.Refusal>> {
    const {admission} = this;
    const queued = admission.services.get(candidate.service)?.queue.size ?? 0;
    const queuedAt = performance.now();
    const admitted = admission.admit(candidate);
    if (!(admitted instanceof Promise)) {
      return admitted;
    }
    const settled = await admitted;
    const waitMs = Math.round(performance.now() - queuedAt);
    if (waitMs > 0) {
      const state = admission.services.get(candidate.service);
      const waitedFor = waitCauseOf(candidate, state?.blocked);
      call.lastWait = {waitMs, queued, waitedFor};
    }
    return settled;
  }
}

/** What a request that started late had to wait for. */
function waitCauseOf(
  {lacked}: TargetCandidate,
  blocked: Blocked | undefined,
): string {
  if (lacked !== 'capacity') {
    return lacked;
  }
  if (blocked?.why === 'share') {
    return 'share';
  }
  return blocked?.passMs === undefined ? 'slots' : 'group';
}

function hasSharedParts({head}: RelayedRequest): boolean {
  return head.sharedParts !== undefined && head.sharedParts.length > 0;
}
