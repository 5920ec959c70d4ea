/** What relaying plain requests and streams has in common. */
import {Result, fail, ok} from '../result';
import type {ClientAccount, Route} from '../routes/types';
import type {Call} from './call';
import * as comeBack from './come-back';
import * as exchanges from './exchange';
import * as groupChoice from './group-choice';
import type {GroupRoom} from './group-views';
import {digestOf} from './request-digest';
import type {ForwarderContext} from './forwarder';
import {OutcomeObserver} from './outcome-observer';
import * as outcomes from './outcomes';
import {Refuser} from './refuser';
import type {RetryBudget} from './retry-budget';
import type {PermitLines, Place} from './permit-lines';
import type {ServiceHold} from './target-list';
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
/**
 * Sends of one request that are lost with their connection: what crashes a
 * target crashes the next one too.
 */
const MOST_LOSSES = 2;
/** Least time left that makes another send worth while, in milliseconds. */
const MIN_SEND_MS = 20;
/** A stream that has begun can't be refused any more: it goes before others. */
const BEGUN_PRIORITY = -1;
const SECOND_MS = 1_000;

export abstract class Relay {
  private readonly observer: OutcomeObserver;
  private readonly refuser: Refuser;

  /** `lines` are those of all requests of the process. */
  constructor(
    protected readonly context: ForwarderContext,
    private readonly budgetOf: (service: string) => RetryBudget,
    private readonly lines: PermitLines,
  ) {
    this.observer = new OutcomeObserver(context);
    this.refuser = new Refuser(context);
  }

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
    const refused = this.convicted(request);
    if (refused !== undefined) {
      return fail(this.refuser.convicted(call, request.service, refused));
    }
    const priority = call.hasBegun ? BEGUN_PRIORITY : priorityOf(request);
    const place = this.lines.placeFor(request.service, priority);
    try {
      return await this.chooseTarget(call, request, tried, mayWait, place);
    } finally {
      place.leave();
    }
  }

  /** The digest of a request that crashes targets; undefined: it is not known. */
  private convicted(request: RelayedRequest): string | undefined {
    const {crashes} = this.context;
    const digest = crashes.isActive ? digestOf(request) : undefined;
    return digest !== undefined && crashes.refuses(digest) ? digest : undefined;
  }

  /** A request and the connection that carried it were lost. */
  protected noteLost(
    call: Call,
    request: RelayedRequest,
    target: types.Target,
  ): void {
    call.losses += 1;
    this.context.crashes.noteLost(target, digestOf(request));
  }

  protected noteServed(request: RelayedRequest): void {
    const {crashes} = this.context;
    if (crashes.isActive) {
      crashes.noteServed(digestOf(request));
    }
  }

  private async chooseTarget(
    call: Call,
    request: RelayedRequest,
    tried: ReadonlyMap<string, exchanges.Outcome['kind']>,
    mayWait: boolean,
    place: Place,
  ): Promise<Result<types.Target, types.Refusal>> {
    const {targets, loads, gate} = this.context;
    const startedAt = performance.now();
    const waitsUntil = Math.min(
      startedAt + LONGEST_GATE_WAIT_MS,
      call.endsAt - MIN_SEND_MS,
    );
    targets.want(request.service, startedAt);
    for (;;) {
      const now = performance.now();
      const known = outcomes.untried(
        targets.ofService(request.service, now),
        tried,
      );
      // Permits that have come are for those that go first.
      if (known.length <= place.ahead) {
        const hold =
          known.length > 0
            ? targets.holdForOthers(request.service, now)
            : targets.holdOf(request.service, now);
        const patienceMs = holdPatience(call, hold, place);
        if (
          call.hasLeft ||
          now >= Math.min(startedAt + patienceMs, waitsUntil)
        ) {
          return fail(this.refuser.noneToChoose(call, request.service, hold));
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
      const chosen =
        group &&
        loads.choose(group.targets, now, one => targets.hasPermit(one, now));
      if (chosen !== undefined) {
        // At once: others that wait choose in the same turn of the loop.
        loads.begin(chosen.lifetime);
        targets.noteSent(chosen, now);
        return ok(chosen);
      }
      if (!mayWait || call.hasLeft || now >= waitsUntil) {
        return fail(
          closed === undefined
            ? this.refuser.overloaded(
                call,
                request.service,
                groupChoice.widest(options),
              )
            : this.refuser.closedGroup(call, request.service, closed, now),
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
    const {loads, connections, wire} = this.context;
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
        this.observer.hear(target, head, sentAt);
      },
    });
    if (outcomes.hasAnswered(outcome)) {
      this.context.reach.note();
    }
    this.observer.note(target, outcome, said, sentAt);
    call.noteOutcome(outcomes.mayHaveRun(outcome));
    if (outcomes.isLost(outcome)) {
      this.noteLost(call, request, target);
    } else if (outcome.kind === 'answered') {
      this.noteServed(request);
    }
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
      const {service} = request;
      this.refuseUnsent(
        call,
        this.refuser.closedGroup(call, service, group, now),
      );
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
      call.losses >= MOST_LOSSES ||
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

  /** Answers for an outcome that gave nothing to pass on. */
  private refuse(
    call: Call,
    target: types.Target,
    outcome: exchanges.Outcome,
  ): void {
    switch (outcome.kind) {
      case 'not-run':
        this.refuseUnsent(call, this.refuser.turnedAway(call, target.service));
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

/**
 * How long a request waits for targets that are all held back, in milliseconds.
 * At rest they take nothing until a time that is known, and the caller is told;
 * a stream that has begun can't be. Back from it they take one at a time. Where
 * they have named limits, a request waits that will have its permit by then.
 */
function holdPatience(
  call: Call,
  hold: ServiceHold | undefined,
  place: Place,
): number {
  if (hold === undefined) {
    return 0;
  }
  if (hold.why === 'limited') {
    place.join();
    const places = Math.ceil((hold.perSecond * TRIAL_MS) / SECOND_MS);
    return call.hasBegun ? Infinity : place.ahead < places ? TRIAL_MS : 0;
  }
  if (call.hasBegun) {
    return Infinity;
  }
  return hold.why === 'resting' ? 0 : TRIAL_MS;
}

/** 0 is the most urgent. */
function priorityOf({route, account}: RelayedRequest): number {
  return account?.priority ?? route.priority;
}
