/** Updates the state of targets and groups from the outcomes of sends. */
import type {GroupGate} from './group-gate';
import type {Log} from '../observability/log';
import type {Metrics} from '../observability/metrics';
import type * as exchanges from './exchange';
import * as outcomes from './outcomes';
import type {TargetList} from './target-list';
import type * as types from './types';

export interface ObserverContext {
  readonly targets: TargetList;
  readonly gate: GroupGate;
  readonly log: Log;
  readonly metrics: Metrics;
}

export class OutcomeObserver {
  constructor(private readonly context: ObserverContext) {}

  /** Records the outcome of a send; `head` is that of its response, if any. */
  noteOutcome(
    target: types.Target,
    outcome: exchanges.Outcome,
    head: types.ResponseHead | undefined,
    sentAt: number,
  ): void {
    if (outcome.kind === 'not-run' && outcome.status === outcomes.MISDIRECTED) {
      // Another lifetime or another service has this address now.
      this.context.targets.drop(target);
    }
    this.noteGroup(target, outcome, head);
    this.noteCooldownEnd(target, outcome, sentAt);
  }

  /** Applies the cooldown, limit and shutdown that a response head states. */
  noteHead(
    target: types.Target,
    head: types.ResponseHead,
    sentAt: number,
  ): void {
    const {targets, metrics, log} = this.context;
    const {id, service} = target;
    const {retryAfter} = head;
    this.noteRateLimit(target, head, sentAt);
    if (head.isLeaving) {
      targets.leave(target);
    }
    if (retryAfter.kind !== 'rest') {
      return;
    }
    metrics.count('rests_asked_total', {service});
    if (targets.startCooldown(target, retryAfter.ms, performance.now())) {
      log.event('targetResting', {target: id, service, restMs: retryAfter.ms});
    }
  }

  private noteRateLimit(
    target: types.Target,
    {rateLimit}: types.ResponseHead,
    sentAt: number,
  ): void {
    const {targets, log, metrics} = this.context;
    const now = performance.now();
    const change =
      rateLimit && targets.noteRateLimit(target, rateLimit, sentAt, now);
    if (change !== undefined) {
      metrics.count('limits_heard_total', {service: target.service, change});
      log.event(change === 'ended' ? 'limitEnded' : 'targetLimited', {
        target: target.id,
        service: target.service,
        limit: rateLimit?.kind === 'limit' ? rateLimit.perSecond : undefined,
        by: 'answer',
      });
    }
  }

  /** A target that accepts a request after its cooldown is fully used again. */
  private noteCooldownEnd(
    target: types.Target,
    outcome: exchanges.Outcome,
    sentAt: number,
  ): void {
    const {targets, log} = this.context;
    const {id, service} = target;
    const hasAccepted =
      outcome.kind === 'streaming' || outcome.kind === 'answered';
    if (
      hasAccepted &&
      targets.noteAccepted(target, sentAt, performance.now())
    ) {
      log.event('targetRested', {target: id, service});
    }
  }

  /**
   * Records whether the target's group accepts requests. A refusal that asks for
   * a cooldown concerns the one rank only.
   */
  private noteGroup(
    target: types.Target,
    outcome: exchanges.Outcome,
    head: types.ResponseHead | undefined,
  ): void {
    const {gate, log} = this.context;
    const {group, service} = target;
    if (group === undefined) {
      return;
    }
    const now = performance.now();
    if (outcome.kind === 'streaming' || outcome.kind === 'answered') {
      const closedMs = Math.round(gate.closedMs(group, now));
      gate.noteAccepted(group, now);
      if (closedMs > 0) {
        log.event('groupOpen', {service, group, closedMs});
      }
    } else if (
      outcome.kind === 'not-run' &&
      outcome.status === outcomes.UNAVAILABLE &&
      head?.retryAfter.kind !== 'rest' &&
      gate.noteRefused(group, target.id, now)
    ) {
      log.event('groupClosed', {service, group, target: target.id});
    }
  }
}
