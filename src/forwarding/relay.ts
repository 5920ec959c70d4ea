/** Sending, retrying and refusing, common to plain requests and streams. */
import {MIN_TIME_LEFT_MS} from '../admission/timing';
import type {Call} from './call';
import * as retryDelays from './retry-delays';
import * as exchanges from './exchange';
import type {ForwarderContext} from './forwarder';
import {OutcomeObserver} from './outcome-observer';
import * as outcomes from './outcomes';
import type {RefusalBuilder} from './refusal-builder';
import {RelayedRequest, enginePriorityOf} from './relayed-request';
import type {RetryBudget, RetryReservation} from './retry-budget';
import type {TargetFinder} from './target-finder';
import {Result, fail} from '../result';
import * as types from './types';

/** Maximum sends of one request, also where its group refuses them all. */
const MAX_SENDS = 6;
/**
 * Maximum sends of one request whose connection broke: a request that crashed
 * one target may crash the next.
 */
const MAX_LOSSES = 2;

export abstract class Relay {
  private readonly observer: OutcomeObserver;
  private readonly refusals: RefusalBuilder;

  constructor(
    protected readonly context: ForwarderContext,
    private readonly budgetOf: (service: string) => RetryBudget,
    protected readonly finder: TargetFinder,
  ) {
    this.observer = new OutcomeObserver(context);
    this.refusals = finder.refusals;
  }

  /** Serves a request; resolves when it has ended. */
  abstract relay(call: Call, request: RelayedRequest): Promise<void>;

  /**
   * Finds the next target. Fails also if a reserved retry has waited for so long
   * that it is not allowed any more.
   */
  protected async findTarget(
    call: Call,
    request: RelayedRequest,
    tried: outcomes.TriedTargets,
    mayWait: boolean,
  ): Promise<Result<types.Target, types.Refusal>> {
    if (call.isGivenUp || call.isTooLate) {
      return fail(this.refusals.stopping(call));
    }
    if (!this.context.connections.hasRoom()) {
      return fail(this.refusals.noDescriptors(call, request.service));
    }
    const found = await this.finder.find(call, request, tried, mayWait);
    const now = performance.now();
    const {retry} = call;
    call.retry = undefined;
    if (!found.ok) {
      retry?.release();
      return call.isGivenUp ? fail(this.refusals.stopping(call)) : found;
    }
    if (retry?.trySend(now) === false) {
      this.context.balancer.end(found.value, 0, now);
      call.releasePlace(false);
      return fail(this.refusals.targetFull(call, request.service));
    }
    return found;
  }

  /** The connection broke before the response was complete. */
  protected noteLost(call: Call, target: types.Target): void {
    call.lossCount += 1;
    call.lossCheck = this.context.crashes.noteLost(target, call.tracked!);
  }

  /** Sends to a target once and records the outcome. */
  protected async send(
    call: Call,
    request: RelayedRequest,
    target: types.Target,
    resumeAfterEventId?: string,
  ): Promise<exchanges.Outcome> {
    const {balancer, connections, wire} = this.context;
    const mayRepeat = types.isRetrySafe(request.route);
    call.sendCount += 1;
    call.tracked!.beginSend();
    call.lastTargetId = target.id;
    const sentAt = performance.now();
    const wait = call.lastWait;
    call.lastWait = undefined;
    let responseHead: types.ResponseHead | undefined;
    const outcome = await exchanges.exchange(wire, {
      agent: mayRepeat ? connections.kept : connections.fresh,
      target,
      head: request.head,
      body: request.body,
      metadata: {
        targetId: target.id,
        timeLeftMs: call.timeLeftMs,
        account: request.account?.name,
        resumeAfterEventId,
        priority: this.statedPriority(request, resumeAfterEventId),
      },
      holders: {body: call.heldBody, answer: call.heldAnswer, mayRepeat},
      isStream: request.route.kind === 'stream',
      deadline: call.deadline,
      signal: call.signal,
      onHead: head => {
        responseHead = head;
        this.observer.noteHead(target, head, sentAt);
      },
    });
    if (outcomes.hasResponded(outcome)) {
      this.context.reach.recordAnswer();
    }
    this.observer.noteOutcome(target, outcome, responseHead, sentAt);
    call.noteOutcome(outcomes.mayHaveRun(outcome));
    if (outcomes.isLost(outcome)) {
      this.noteLost(call, target);
    } else if (outcome.kind === 'answered') {
      this.context.crashes.noteServed(call.tracked!);
    }
    if (outcome.kind !== 'streaming') {
      // A refusal by a closed group is no failure of the rank.
      const failure = this.isGroupClosed(target)
        ? 0
        : outcomes.failureScoreOf(outcome);
      balancer.end(target, failure, performance.now());
      call.releasePlace(outcome.kind === 'answered');
    }
    this.context.log.event('requestSent', {
      request: request.head.id,
      target: target.id,
      send: call.sendCount,
      inFlight: balancer.inFlight(target.lifetime),
      outcome: outcome.kind,
      ...wait,
      ...outcomes.outcomeFields(outcome),
      ...outcomes.headFields(responseHead),
    });
    return outcome;
  }

  /**
   * Priority sent to the target; undefined if it would be the same for all
   * routes of the service.
   */
  private statedPriority(
    request: RelayedRequest,
    resumeAfterEventId: string | undefined,
  ): number | undefined {
    const {table} = this.context.configuration;
    if (table?.differInPriority(request.service) !== true) {
      return undefined;
    }
    return resumeAfterEventId === undefined ? enginePriorityOf(request) : 0;
  }

  /**
   * Marks a target as tried, except a rank that refused because its group is
   * closed: a request that probes the group repeatedly would otherwise run out
   * of ranks before the group opens.
   */
  protected noteTried(
    tried: outcomes.TriedTargets,
    target: types.Target,
    outcome: exchanges.Outcome,
  ): void {
    if (outcome.kind !== 'not-run' || !this.isGroupClosed(target)) {
      tried.set(target.lifetime, outcome.kind);
    }
  }

  /** True if the target's group accepts no requests at any rank. */
  private isGroupClosed(target: types.Target): boolean {
    return this.context.gate.closedMs(target.group, performance.now()) > 0;
  }

  /** True if the outcome allows a retry and one is granted. */
  protected async mayRetry(
    call: Call,
    request: RelayedRequest,
    target: types.Target,
    outcome: exchanges.Outcome,
  ): Promise<boolean> {
    const isRetryable =
      outcome.kind === 'not-run' ||
      (outcomes.hasFailed(outcome) && types.isRetrySafe(request.route));
    return isRetryable && this.reserveRetry(call, request, target);
  }

  /** Answers the caller: with the target's response or with a refusal. */
  protected finish(
    call: Call,
    request: RelayedRequest,
    target: types.Target,
    outcome: exchanges.Outcome,
  ): void {
    const {group} = target;
    if (outcome.kind === 'answered') {
      call.forwardResponse(outcome.head, outcome.body);
    } else if (
      outcome.kind === 'not-run' &&
      group !== undefined &&
      this.isGroupClosed(target)
    ) {
      const now = performance.now();
      const {service} = request;
      this.refuseUnsent(
        call,
        this.refusals.closedGroup(call, service, group, now),
      );
    } else {
      this.refuseOutcome(call, target, outcome);
    }
  }

  /**
   * Refuses a request for which no target was found. If an earlier send may have
   * run, the caller must not be told that the request did not run.
   */
  protected refuseUnsent(
    call: Call,
    refusal: types.Refusal,
    last?: exchanges.Outcome,
  ): void {
    if (call.possibleRunCount === 0 || refusal.kind !== 'not-run') {
      call.refuse(refusal);
    } else if (last?.kind === 'answered') {
      call.forwardResponse(last.head, last.body);
    } else {
      const {retryMs} = refusal;
      call.refuse({kind: 'failed', why: 'broken-answer', retryMs});
    }
  }

  /** Refuses a request that was given up while a target worked on it. */
  protected refuseSent(call: Call): void {
    const retryMs = retryDelays.STOPPING_DELAY_MS;
    call.refuse({kind: 'failed', why: 'stopping', retryMs});
  }

  /**
   * True if the request may be sent once more; reserves that, after a short wait if
   * the retry budget allows it by then.
   */
  protected async reserveRetry(
    call: Call,
    request: RelayedRequest,
    target: types.Target,
  ): Promise<boolean> {
    const {lossCheck} = call;
    call.lossCheck = undefined;
    if (
      !this.allowsRetry(call, request, target) ||
      (await lossCheck) === false ||
      call.isCallerGone
    ) {
      return false;
    }
    const budget = this.budgetOf(request.service);
    const timeLeftMs = call.timeLeftMs - MIN_TIME_LEFT_MS;
    const retry = await budget.reserve(performance.now(), timeLeftMs);
    return this.noteDecision(call, request, target, retry);
  }

  /** The same without a wait. */
  protected tryReserveRetry(
    call: Call,
    request: RelayedRequest,
    target: types.Target,
  ): boolean {
    if (!this.allowsRetry(call, request, target)) {
      return false;
    }
    const budget = this.budgetOf(request.service);
    const retry = budget.tryReserve(performance.now());
    return this.noteDecision(call, request, target, retry);
  }

  /** True if the request's own limits allow another send. */
  private allowsRetry(
    call: Call,
    request: RelayedRequest,
    target: types.Target,
  ): boolean {
    // Refusals by a closed group don't count against the route's attempts.
    const used = this.isGroupClosed(target)
      ? call.possibleRunCount
      : call.sendCount;
    return (
      !call.isGivenUp &&
      call.lossCount < MAX_LOSSES &&
      used < request.route.attempts &&
      call.sendCount < MAX_SENDS &&
      call.timeLeftMs >= MIN_TIME_LEFT_MS
    );
  }

  /** Keeps the reservation for the next send; true if there is one. */
  private noteDecision(
    call: Call,
    request: RelayedRequest,
    target: types.Target,
    retry: RetryReservation | undefined,
  ): boolean {
    const isAllowed = retry !== undefined;
    call.retry = retry;
    this.context.metrics.count('retries_total', {
      outcome: isAllowed ? 'allowed' : 'denied',
    });
    this.context.log.event('requestRetried', {
      request: request.head.id,
      target: target.id,
      allowed: isAllowed,
      ...this.budgetOf(request.service).stateAt(performance.now()),
    });
    return isAllowed;
  }

  /** Answers the caller for an outcome without a response to pass on. */
  private refuseOutcome(
    call: Call,
    target: types.Target,
    outcome: exchanges.Outcome,
  ): void {
    switch (outcome.kind) {
      case 'not-run':
        this.refuseUnsent(call, this.refusals.targetFull(call, target.service));
        return;
      case 'unknown':
        call.refuse({
          kind: 'failed',
          why: outcome.why,
          retryMs:
            outcome.why === 'slow-target'
              ? retryDelays.afterFull(call.callerTimeLeftMs)
              : undefined,
        });
        return;
      case 'timed-out':
        this.refuseUnsent(
          call,
          outcome.sent
            ? {kind: 'timed-out'}
            : {
                kind: 'not-run',
                why: 'timed-out',
                retryMs: retryDelays.afterFull(call.callerTimeLeftMs),
              },
        );
        return;
      case 'cancelled':
        if (call.isGivenUp) {
          this.refuseSent(call);
          return;
        }
        call.end('caller-left');
        return;
      case 'answered':
      case 'streaming':
        call.end('caller-left');
    }
  }
}
