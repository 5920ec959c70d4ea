/** What relaying plain requests and streams has in common. */
import {Result, fail, ok} from '../result';
import type {ClientAccount, Route} from '../routes/types';
import type {Call} from './call';
import * as comeBack from './come-back';
import * as exchanges from './exchange';
import * as groupChoice from './group-choice';
import type {GroupRoom} from './group-views';
import type {ForwarderContext} from './forwarder';
import * as outcomes from './outcomes';
import type {RetryBudget} from './retry-budget';
import type {ServiceRest} from './target-list';
import {TRIAL_MS} from '../targets/rest';
import * as types from './types';

/** A request that may be sent to targets. */
export interface RelayedRequest {
  readonly head: types.RequestHead;
  readonly body: Buffer | undefined;
  readonly route: Route;
  readonly service: string;
  readonly account: ClientAccount | undefined;
}

/**
 * Longest wait for a group that is closed or full, in milliseconds: callers
 * leave a stream that is silent for two seconds, and its first event takes a
 * part of them.
 */
const LONGEST_GATE_WAIT_MS = 1_200;
/** Sends of one request to a group that refuses them all. */
const MOST_REFUSED_SENDS = 6;
/** Least time left that makes another send worth while, in milliseconds. */
const MIN_SEND_MS = 20;

/**
 * How long a request waits for targets that are all held back, in milliseconds.
 * At rest they take nothing until a time that is known, and the caller is told;
 * a stream that has begun can't be. Back from it they take one at a time.
 */
function restPatience(call: Call, rest: ServiceRest | undefined): number {
  if (rest === undefined) {
    return 0;
  }
  if (call.hasBegun) {
    return Infinity;
  }
  return rest.isAtRest ? 0 : TRIAL_MS;
}

export abstract class Relay {
  constructor(
    protected readonly context: ForwarderContext,
    private readonly budgetOf: (service: string) => RetryBudget,
  ) {}

  /** Serves a request to its end. */
  abstract relay(call: Call, request: RelayedRequest): Promise<void>;

  /**
   * A target that was not tried yet. Where a group of ranks takes nothing for
   * the moment, `mayWait` waits for it. The request counts as in flight at
   * the target from then on. Fails with why there is none.
   */
  protected async findTarget(
    call: Call,
    request: RelayedRequest,
    tried: ReadonlyMap<string, exchanges.Outcome['kind']>,
    mayWait: boolean,
  ): Promise<Result<types.Target, types.Refusal>> {
    const {targets, loads, gate} = this.context;
    const startedAt = performance.now();
    const waitsUntil = Math.min(
      startedAt + LONGEST_GATE_WAIT_MS,
      call.endsAt - MIN_SEND_MS,
    );
    for (;;) {
      const now = performance.now();
      const known = outcomes.untried(
        targets.ofService(request.service, now),
        tried,
      );
      if (known.length === 0) {
        const rest = targets.restOf(request.service, now);
        const patienceMs = restPatience(call, rest);
        if (
          call.hasLeft ||
          now >= Math.min(startedAt + patienceMs, waitsUntil)
        ) {
          return fail(this.noneToChoose(call, request.service, rest));
        }
        await gate.waitForTurn(undefined, call.signal);
        continue;
      }
      const groups = groupChoice.groupsOf(known);
      const open = groups.filter(one => gate.closedMs(one.name, now) === 0);
      const closed = open.length > 0 ? undefined : groups[0]!.name;
      // Who has waited in vain is let in while there are places.
      const isUrgent = mayWait && (call.hasBegun || now >= waitsUntil);
      const some = open.length > 0 ? open : this.oneToTry(groups, now);
      const options = some.map(one => ({
        ...one,
        room: this.roomFor(request, one.targets, isUrgent, now),
      }));
      const group = groupChoice.chooseGroup(options);
      const chosen = group && loads.choose(group.targets, now);
      if (chosen !== undefined) {
        // At once: others that wait choose in the same turn of the loop.
        loads.begin(chosen.lifetime);
        targets.noteSent(chosen, now);
        return ok(chosen);
      }
      if (!mayWait || call.hasLeft || now >= waitsUntil) {
        return fail(
          closed === undefined
            ? this.overloaded(
                call,
                request.service,
                groupChoice.widest(options),
              )
            : this.closedGroup(call, request, closed, now),
        );
      }
      await gate.waitForTurn(closed, call.signal);
    }
  }

  /** A closed group that this request may find out about; empty: none. */
  private oneToTry(
    groups: readonly groupChoice.TargetGroup[],
    now: number,
  ): readonly groupChoice.TargetGroup[] {
    const {gate} = this.context;
    const found = groups.find(one => gate.mayEnter(one.name, now));
    return found === undefined ? [] : [found];
  }

  /**
   * What the group may take so that its passes are no longer than the pause
   * that the route allows; for an urgent request, while there are places.
   */
  private roomFor(
    request: RelayedRequest,
    targets: readonly types.Target[],
    isUrgent: boolean,
    now: number,
  ): GroupRoom | undefined {
    const {configuration, views} = this.context;
    const [rank] = targets;
    const service = configuration.table?.findService(request.service);
    const {pauseMs} = request.route;
    if (
      rank?.group === undefined ||
      service?.engine === undefined ||
      pauseMs === 0
    ) {
      return undefined;
    }
    const allowedMs = isUrgent ? Infinity : pauseMs;
    return views.roomOf(rank, service.engine, allowedMs, now);
  }

  /** Sends to a target that was found, once, and notes how it went. */
  protected async send(
    call: Call,
    request: RelayedRequest,
    target: types.Target,
    resumeAfter?: string,
  ): Promise<exchanges.Outcome> {
    const {loads, connections, targets, wire} = this.context;
    const mayRepeat = types.isRepeatable(request.route);
    call.sends += 1;
    call.target = target.id;
    const sentAt = performance.now();
    let said: types.AnswerHead | undefined;
    const outcome = await exchanges.exchange(wire, {
      agent: mayRepeat ? connections.kept : connections.fresh,
      target,
      head: request.head,
      body: request.body,
      to: {
        targetId: target.id,
        timeLeftMs: call.leftMs,
        account: request.account?.name,
        resumeAfter,
      },
      isStream: request.route.kind === 'stream',
      endsAt: call.endsAt,
      signal: call.signal,
      onHead: head => {
        said = head;
        this.noteAsked(target, head);
      },
    });
    if (outcome.kind === 'not-run' && outcome.status === outcomes.MISDIRECTED) {
      // Another life, or another service, has the address by now.
      targets.drop(target);
    }
    if (outcomes.hasAnswered(outcome)) {
      this.context.reach.note();
    }
    this.noteGroup(target, outcome, said);
    this.noteTaken(target, outcome, sentAt);
    call.noteOutcome(outcomes.mayHaveRun(outcome));
    if (outcome.kind !== 'streaming') {
      // A group that is closed says nothing of the one rank.
      const harm = this.isGroupClosed(target) ? 0 : outcomes.harmOf(outcome);
      loads.end(target, harm, performance.now());
    }
    this.context.log.event('requestSent', {
      request: request.head.id,
      target: target.id,
      send: call.sends,
      inFlight: loads.inFlight(target.lifetime),
      outcome: outcome.kind,
      ...outcomes.detailsOf(outcome),
      ...outcomes.askedBy(said),
    });
    return outcome;
  }

  /**
   * Notes a target as tried, but for a rank whose group took nothing at all:
   * that says nothing of the rank, and whoever waits for the group may be the
   * one that finds out at each of its ranks. With two ranks that caller was
   * refused after 130 ms of its 500, while those beside it were served.
   */
  protected noteTried(
    tried: outcomes.Tried,
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
  protected mayTryNext(
    call: Call,
    request: RelayedRequest,
    target: types.Target,
    outcome: exchanges.Outcome,
  ): boolean {
    const isHarmless =
      outcome.kind === 'not-run' ||
      (outcomes.hasRunBadly(outcome) && types.isRepeatable(request.route));
    return isHarmless && this.maySendAgain(call, request, target);
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
      call.pass(outcome.head, outcome.body);
    } else if (
      outcome.kind === 'not-run' &&
      group !== undefined &&
      this.isGroupClosed(target)
    ) {
      const now = performance.now();
      this.refuseUnsent(call, this.closedGroup(call, request, group, now));
    } else {
      this.refuse(call, target, outcome);
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
    if (call.runs === 0 || refusal.kind !== 'not-run') {
      call.refuse(refusal);
    } else if (last?.kind === 'answered') {
      call.pass(last.head, last.body);
    } else {
      const {retryMs} = refusal;
      call.refuse({kind: 'failed', why: 'broken-answer', retryMs});
    }
  }

  /** True where the request may be sent to one more target. */
  protected maySendAgain(
    call: Call,
    request: RelayedRequest,
    target: types.Target,
  ): boolean {
    // Refusals of a group that is closed leave the request's tries alone.
    const used = this.isGroupClosed(target) ? call.runs : call.sends;
    if (
      used >= request.route.attempts ||
      call.sends >= MOST_REFUSED_SENDS ||
      call.leftMs < MIN_SEND_MS
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

  /** Holds what a target asks for besides, as soon as it has said so. */
  private noteAsked(target: types.Target, head: types.AnswerHead): void {
    const {targets, metrics, log} = this.context;
    const {id, service} = target;
    const {rest} = head;
    if (head.isLeaving) {
      targets.leave(target);
    }
    if (rest.kind !== 'rest') {
      return;
    }
    metrics.count('rests_asked_total', {service});
    if (targets.askRest(target, rest.ms, performance.now())) {
      log.event('targetResting', {target: id, service, restMs: rest.ms});
    }
  }

  /** A target that takes a request after its rest is used as before. */
  private noteTaken(
    target: types.Target,
    outcome: exchanges.Outcome,
    sentAt: number,
  ): void {
    const {targets, log} = this.context;
    const {id, service} = target;
    const hasTaken =
      outcome.kind === 'streaming' || outcome.kind === 'answered';
    if (hasTaken && targets.noteTaken(target, sentAt, performance.now())) {
      log.event('targetRested', {target: id, service});
    }
  }

  /**
   * Learns from an outcome whether the target's group takes requests. Who asks
   * for rest speaks for itself alone: taken for the group's word, four of twelve
   * ranks that asked had all twelve held back for 6 to 90 ms again and again.
   */
  private noteGroup(
    target: types.Target,
    outcome: exchanges.Outcome,
    said: types.AnswerHead | undefined,
  ): void {
    const {gate, log} = this.context;
    const {group, service} = target;
    if (group === undefined) {
      return;
    }
    const now = performance.now();
    if (outcome.kind === 'streaming' || outcome.kind === 'answered') {
      const closedMs = Math.round(gate.closedMs(group, now));
      gate.noteTaken(group, now);
      if (closedMs > 0) {
        log.event('groupOpen', {service, group, closedMs});
      }
    } else if (
      outcome.kind === 'not-run' &&
      outcome.status === outcomes.UNAVAILABLE &&
      said?.rest.kind !== 'rest' &&
      gate.noteRefused(group, target.id, now)
    ) {
      log.event('groupClosed', {service, group, target: target.id});
    }
  }

  /** Asks the caller to come back when the group may have formed. */
  private closedGroup(
    call: Call,
    request: RelayedRequest,
    group: string,
    now: number,
  ): types.Refusal {
    const {configuration, gate} = this.context;
    const service = configuration.table?.findService(request.service);
    const retryMs = comeBack.afterClosing(
      {
        closedMs: gate.closedMs(group, now),
        formMs: service?.engine?.experts?.formMs ?? 0,
        hasBeenOpen: gate.hasBeenOpen(group),
      },
      call.leftMs,
    );
    return {kind: 'not-run', why: 'group-closed', retryMs};
  }

  /** Every target has as much from this entry as it should wait for. */
  private overloaded(
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
  private turnedAway(call: Call, service: string): types.Refusal {
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
  private noneToChoose(
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

  /** Answers for an outcome that gave nothing to pass on. */
  private refuse(
    call: Call,
    target: types.Target,
    outcome: exchanges.Outcome,
  ): void {
    switch (outcome.kind) {
      case 'not-run':
        this.refuseUnsent(call, this.turnedAway(call, target.service));
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
                retryMs: comeBack.afterFull(call.leftMs),
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
