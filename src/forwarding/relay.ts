/** What relaying plain requests and streams has in common. */
import type {Call} from './call';
import * as comeBack from './retry-delays';
import * as exchanges from './exchange';
import type {ForwarderContext} from './forwarder';
import {OutcomeObserver} from './outcome-observer';
import * as outcomes from './outcomes';
import type {RefusalBuilder} from './refusal-builder';
import {RelayedRequest, digestOf} from './relayed-request';
import type {RetryBudget} from './retry-budget';
import * as targetFinder from './target-finder';
import type {TargetFinder} from './target-finder';
import * as types from './types';

/** Sends of one request to a group that refuses them all. */
const MAX_SENDS = 6;
/**
 * Sends of one request that are lost with their connection: what crashes a
 * target crashes the next one too.
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

  /** Serves a request to its end. */
  abstract relay(call: Call, request: RelayedRequest): Promise<void>;

  /** A request and the connection that carried it were lost. */
  protected noteLost(
    call: Call,
    request: RelayedRequest,
    target: types.Target,
  ): void {
    call.lossCount += 1;
    this.context.crashes.noteLost(target, digestOf(request));
  }

  protected noteServed(request: RelayedRequest): void {
    const {crashes} = this.context;
    if (crashes.isActive) {
      crashes.noteServed(digestOf(request));
    }
  }

  /** Sends to a target that was found, once, and notes how it went. */
  protected async send(
    call: Call,
    request: RelayedRequest,
    target: types.Target,
    resumeAfter?: string,
  ): Promise<exchanges.Outcome> {
    const {balancer: loads, connections, wire} = this.context;
    const mayRepeat = types.isRetrySafe(request.route);
    call.sendCount += 1;
    call.lastTargetId = target.id;
    const sentAt = performance.now();
    let said: types.ResponseHead | undefined;
    const outcome = await exchanges.exchange(wire, {
      agent: mayRepeat ? connections.kept : connections.fresh,
      target,
      head: request.head,
      body: request.body,
      metadata: {
        targetId: target.id,
        timeLeftMs: call.timeLeftMs,
        account: request.account?.name,
        resumeAfterEventId: resumeAfter,
      },
      isStream: request.route.kind === 'stream',
      deadline: call.deadline,
      signal: call.signal,
      onHead: head => {
        said = head;
        this.observer.noteHead(target, head, sentAt);
      },
    });
    if (outcomes.hasResponded(outcome)) {
      this.context.reach.recordAnswer();
    }
    this.observer.noteOutcome(target, outcome, said, sentAt);
    call.noteOutcome(outcomes.mayHaveRun(outcome));
    if (outcomes.isLost(outcome)) {
      this.noteLost(call, request, target);
    } else if (outcome.kind === 'answered') {
      this.noteServed(request);
    }
    if (outcome.kind !== 'streaming') {
      // A group that is closed says nothing of the one rank.
      const harm = this.isGroupClosed(target)
        ? 0
        : outcomes.failureScoreOf(outcome);
      loads.end(target, harm, performance.now());
    }
    this.context.log.event('requestSent', {
      request: request.head.id,
      target: target.id,
      send: call.sendCount,
      inFlight: loads.inFlight(target.lifetime),
      outcome: outcome.kind,
      ...outcomes.outcomeFields(outcome),
      ...outcomes.headFields(said),
    });
    return outcome;
  }

  /**
   * Notes a target as tried, but for a rank whose group took nothing at all:
   * that says nothing of the rank, and whoever waits for the group may be the
   * one that finds out at each of its ranks; it would be refused while those
   * beside it are served.
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

  /** True where a target's group takes nothing at any of its ranks. */
  private isGroupClosed(target: types.Target): boolean {
    return this.context.gate.closedMs(target.group, performance.now()) > 0;
  }

  /** True where an outcome harms nobody who sends the request once more. */
  protected mayRetry(
    call: Call,
    request: RelayedRequest,
    target: types.Target,
    outcome: exchanges.Outcome,
  ): boolean {
    const isHarmless =
      outcome.kind === 'not-run' ||
      (outcomes.hasFailed(outcome) && types.isRetrySafe(request.route));
    return isHarmless && this.tryRetry(call, request, target);
  }

  /** Passes a whole answer on, or answers ourselves. */
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
   * Refuses a request for which no target was found. One that was sent before
   * may have run, and must not be told that it hasn't.
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

  /** True where the request may be sent to one more target. */
  protected tryRetry(
    call: Call,
    request: RelayedRequest,
    target: types.Target,
  ): boolean {
    // Refusals of a group that is closed leave the request's tries alone.
    const used = this.isGroupClosed(target)
      ? call.possibleRunCount
      : call.sendCount;
    if (
      call.lossCount >= MAX_LOSSES ||
      used >= request.route.attempts ||
      call.sendCount >= MAX_SENDS ||
      call.timeLeftMs < targetFinder.MIN_TIME_LEFT_MS
    ) {
      return false;
    }
    const isDrawn = this.budgetOf(request.service).tryDraw(performance.now());
    this.context.log.event('requestRetried', {
      request: request.head.id,
      target: target.id,
      allowed: isDrawn,
    });
    return isDrawn;
  }

  /** Answers for an outcome that gave nothing to pass on. */
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
        call.refuse({kind: 'failed', why: outcome.why});
        return;
      case 'timed-out':
        this.refuseUnsent(
          call,
          outcome.sent
            ? {kind: 'timed-out'}
            : {
                kind: 'not-run',
                why: 'timed-out',
                retryMs: comeBack.afterFull(call.timeLeftMs),
              },
        );
        return;
      case 'answered':
      case 'streaming':
      case 'cancelled':
        call.end('caller-left');
    }
  }
}
