/**
 * Finds the target that a request is sent to next, and waits for one where that may
 * help: for a group that is closed or full, for one that comes back from its rest, or
 * for a permit where targets have named limits.
 */
import {Result, fail, ok} from '../result';
import {TRIAL_MS} from '../targets/rest';
import type {Call} from './call';
import type * as exchanges from './exchange';
import type {ForwarderContext} from './forwarder';
import * as groupChoice from './group-choice';
import type {GroupCapacity} from './group-views';
import * as outcomes from './outcomes';
import {PermitQueues, QueuePosition} from './permit-queues';
import {RefusalBuilder} from './refusal-builder';
import {RelayedRequest, digestOf, priorityOf} from './relayed-request';
import type {Unavailability} from './target-list';
import type * as types from './types';

/**
 * Longest wait for a group that is closed or full, in milliseconds: callers
 * leave a stream that is silent for two seconds, and its first event takes a
 * part of them.
 */
const MAX_GROUP_WAIT_MS = 1_200;
/** Least time left that makes another send worth while, in milliseconds. */
export const MIN_TIME_LEFT_MS = 20;
/** A stream that has begun can't be refused any more: it goes before others. */
const STARTED_STREAM_PRIORITY = -1;
const SECOND_MS = 1_000;

export class TargetFinder {
  readonly refusals: RefusalBuilder;
  private readonly permitQueues = new PermitQueues();

  constructor(private readonly context: ForwarderContext) {
    this.refusals = new RefusalBuilder(context);
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
    const refused = this.crashDigestOf(request);
    if (refused !== undefined) {
      return fail(this.refusals.crashesTargets(call, request.service, refused));
    }
    const priority = call.hasSentHead
      ? STARTED_STREAM_PRIORITY
      : priorityOf(request);
    const place = this.permitQueues.positionFor(request.service, priority);
    try {
      return await this.choose(call, request, tried, mayWait, place);
    } finally {
      place.leave();
    }
  }

  /** The digest of a request that crashes targets; undefined: it is not known. */
  private crashDigestOf(request: RelayedRequest): string | undefined {
    const {crashes} = this.context;
    const digest = crashes.isActive ? digestOf(request) : undefined;
    return digest !== undefined && crashes.refuses(digest) ? digest : undefined;
  }

  private async choose(
    call: Call,
    request: RelayedRequest,
    tried: ReadonlyMap<string, exchanges.Outcome['kind']>,
    mayWait: boolean,
    place: QueuePosition,
  ): Promise<Result<types.Target, types.Refusal>> {
    const {targets, balancer, gate} = this.context;
    const startedAt = performance.now();
    const waitsUntil = Math.min(
      startedAt + MAX_GROUP_WAIT_MS,
      call.deadline - MIN_TIME_LEFT_MS,
    );
    targets.requestPermits(request.service, startedAt);
    for (;;) {
      const now = performance.now();
      const known = outcomes.untried(
        targets.ofService(request.service, now),
        tried,
      );
      // Permits that have come are for those that go first.
      if (known.length <= place.aheadCount) {
        const hold =
          known.length > 0
            ? targets.unavailabilityForQueued(request.service, now)
            : targets.unavailabilityOf(request.service, now);
        const patienceMs = maxUnavailabilityWaitMs(call, hold, place);
        if (
          call.isCallerGone ||
          now >= Math.min(startedAt + patienceMs, waitsUntil)
        ) {
          return fail(this.refusals.noneAvailable(call, request.service, hold));
        }
        await gate.waitForOpenOrProbe(undefined, call.signal);
        continue;
      }
      const groups = groupChoice.groupsOf(known);
      const open = groups.filter(one => gate.closedMs(one.name, now) === 0);
      const closed = open.length > 0 ? undefined : groups[0]!.name;
      // Who has waited in vain is let in while there are places.
      const isUrgent = mayWait && (call.hasSentHead || now >= waitsUntil);
      const some = open.length > 0 ? open : this.groupToProbe(groups, now);
      const options = some.map(one => ({
        ...one,
        capacity: this.capacityFor(request, one.targets, isUrgent, now),
      }));
      const group = groupChoice.chooseGroup(options);
      const chosen =
        group &&
        balancer.choose(
          group.targets,
          now,
          targets.withPermit(group.targets, now),
        );
      if (chosen !== undefined) {
        // At once: others that wait choose in the same turn of the loop.
        balancer.begin(chosen.lifetime);
        targets.noteSent(chosen, now);
        return ok(chosen);
      }
      if (!mayWait || call.isCallerGone || now >= waitsUntil) {
        return fail(
          closed === undefined
            ? this.refusals.overloaded(
                call,
                request.service,
                groupChoice.leastLoaded(options),
              )
            : this.refusals.closedGroup(call, request.service, closed, now),
        );
      }
      await gate.waitForOpenOrProbe(closed, call.signal);
    }
  }

  /** A closed group that this request may find out about; empty: none. */
  private groupToProbe(
    groups: readonly groupChoice.TargetGroup[],
    now: number,
  ): readonly groupChoice.TargetGroup[] {
    const {gate} = this.context;
    const found = groups.find(one => gate.tryEnter(one.name, now));
    return found === undefined ? [] : [found];
  }

  /**
   * What the group may take so that its passes are no longer than the pause
   * that the route allows; for an urgent request, while there are places.
   */
  private capacityFor(
    request: RelayedRequest,
    targets: readonly types.Target[],
    isUrgent: boolean,
    now: number,
  ): GroupCapacity | undefined {
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
    return views.capacityOf(rank, service.engine, allowedMs, now);
  }
}

/**
 * How long a request waits for targets that are all held back, in milliseconds.
 * At rest they take nothing until a time that is known, and the caller is told;
 * a stream that has begun can't be. Back from it they take one at a time. Where
 * they have named limits, a request waits that will have its permit by then.
 */
function maxUnavailabilityWaitMs(
  call: Call,
  hold: Unavailability | undefined,
  place: QueuePosition,
): number {
  if (hold === undefined) {
    return 0;
  }
  if (hold.reason === 'limited') {
    place.join();
    const places = Math.ceil((hold.limitPerSecond * TRIAL_MS) / SECOND_MS);
    return call.hasSentHead
      ? Infinity
      : place.aheadCount < places
        ? TRIAL_MS
        : 0;
  }
  if (call.hasSentHead) {
    return Infinity;
  }
  return hold.reason === 'resting' ? 0 : TRIAL_MS;
}
