/**
 * Finds the target that a request is sent to next, and waits for one where that may
 * help: for a group that is closed or full, for one that comes back from its rest, or
 * for a permit where targets have named limits.
 */
import {Result, fail, ok} from '../result';
import {TRIAL_INTERVAL_MS} from '../targets/cooldown';
import type {Call} from './call';
import type * as exchanges from './exchange';
import type {ForwarderContext} from './forwarder';
import * as groupChoice from './group-choice';
import type {GroupRoom} from './group-views';
import * as outcomes from './outcomes';
import {PermitLines, Place} from './permit-lines';
import {Refuser} from './refuser';
import {RelayedRequest, digestOf, priorityOf} from './relayed-request';
import type {ServiceHold} from './target-list';
import type * as types from './types';

/**
 * Longest wait for a group that is closed or full, in milliseconds: callers
 * leave a stream that is silent for two seconds, and its first event takes a
 * part of them.
 */
const LONGEST_GATE_WAIT_MS = 1_200;
/** Least time left that makes another send worth while, in milliseconds. */
export const MIN_SEND_MS = 20;
/** A stream that has begun can't be refused any more: it goes before others. */
const BEGUN_PRIORITY = -1;
const SECOND_MS = 1_000;

export class TargetFinder {
  readonly refuser: Refuser;
  private readonly lines = new PermitLines();

  constructor(private readonly context: ForwarderContext) {
    this.refuser = new Refuser(context);
  }

  /**
   * A target that was not tried yet. Where a group of ranks takes nothing for
   * the moment, `mayWait` waits for it. The request counts as in flight at
   * the target from then on. Fails with why there is none.
   */
  async find(
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
      return await this.choose(call, request, tried, mayWait, place);
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

  private async choose(
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
        loads.choose(group.targets, now, targets.lent(group.targets, now));
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
    const places = Math.ceil((hold.perSecond * TRIAL_INTERVAL_MS) / SECOND_MS);
    return call.hasBegun
      ? Infinity
      : place.ahead < places
        ? TRIAL_INTERVAL_MS
        : 0;
  }
  if (call.hasBegun) {
    return Infinity;
  }
  return hold.why === 'resting' ? 0 : TRIAL_INTERVAL_MS;
}
