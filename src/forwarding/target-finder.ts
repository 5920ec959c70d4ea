/**
 * Finds the target that a request is sent to next. Waits, up to a limit, for a
 * closed or full group, for a target that is being tried after its cooldown, or
 * for a permit to send to rate-limited targets.
 */
import {Result, fail, ok} from '../result';
import {TRIAL_INTERVAL_MS} from '../targets/cooldown';
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
 * Maximum wait for a target. Callers abandon a stream after two seconds without
 * events, and the first event takes a part of that.
 */
const MAX_WAIT_MS = 1_200;
/** Minimum time left for another send. */
export const MIN_TIME_LEFT_MS = 20;
/** Precedes all others: a started stream can't be refused any more. */
const STARTED_STREAM_PRIORITY = -1;
const SECOND_MS = 1_000;

export class TargetFinder {
  readonly refusals: RefusalBuilder;
  private readonly permitQueues = new PermitQueues();

  constructor(private readonly context: ForwarderContext) {
    this.refusals = new RefusalBuilder(context);
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
    const crashDigest = this.crashDigestOf(request);
    if (crashDigest !== undefined) {
      return fail(
        this.refusals.crashesTargets(call, request.service, crashDigest),
      );
    }
    const priority = call.hasSentHead
      ? STARTED_STREAM_PRIORITY
      : priorityOf(request);
    const position = this.permitQueues.positionFor(request.service, priority);
    try {
      return await this.choose(call, request, tried, mayWait, position);
    } finally {
      position.leave();
    }
  }

  /** Digest of a request that is known to crash targets; undefined otherwise. */
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
    position: QueuePosition,
  ): Promise<Result<types.Target, types.Refusal>> {
    const {targets, balancer, gate} = this.context;
    const startedAt = performance.now();
    const waitsUntil = Math.min(
      startedAt + MAX_WAIT_MS,
      call.deadline - MIN_TIME_LEFT_MS,
    );
    targets.requestPermits(request.service, startedAt);
    for (;;) {
      const now = performance.now();
      const known = outcomes.untried(
        targets.ofService(request.service, now),
        tried,
      );
      // The available permits are left to the requests ahead in the queue.
      if (known.length <= position.aheadCount) {
        const unavailability =
          known.length > 0
            ? targets.unavailabilityForQueued(request.service, now)
            : targets.unavailabilityOf(request.service, now);
        const maxWaitMs = maxUnavailabilityWaitMs(
          call,
          unavailability,
          position,
        );
        if (
          call.isCallerGone ||
          now >= Math.min(startedAt + maxWaitMs, waitsUntil)
        ) {
          return fail(
            this.refusals.noneAvailable(call, request.service, unavailability),
          );
        }
        await gate.waitForOpenOrProbe(undefined, call.signal);
        continue;
      }
      const groups = groupChoice.groupsOf(known);
      const open = groups.filter(one => gate.closedMs(one.name, now) === 0);
      const closed = open.length > 0 ? undefined : groups[0]!.name;
      // After the maximum wait only the slots limit admission, not the pause.
      const isUrgent = mayWait && (call.hasSentHead || now >= waitsUntil);
      const candidates =
        open.length > 0 ? open : this.groupToProbe(groups, now);
      const options = candidates.map(one => ({
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
        // Before any await: other waiting requests choose in the same tick.
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

  /** A closed group that this request may probe; empty: none. */
  private groupToProbe(
    groups: readonly groupChoice.TargetGroup[],
    now: number,
  ): readonly groupChoice.TargetGroup[] {
    const {gate} = this.context;
    const found = groups.find(one => gate.tryEnter(one.name, now));
    return found === undefined ? [] : [found];
  }

  /**
   * Capacity of the group at which its passes stay within the route's pause; for
   * an urgent request, limited by its slots only. Undefined: no limit.
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
    const allowed = {
      pauseMs: isUrgent ? Infinity : pauseMs,
      timeoutMs: request.route.timeoutMs,
    };
    return views.capacityOf(rank, service.engine, allowed, now);
  }
}

/**
 * Maximum wait for targets that are all unavailable, in milliseconds. During a
 * cooldown a request is refused with a retry time instead; a started stream
 * waits, because it can't be refused. After a cooldown, targets are tried with
 * one request at a time. At rate limits, only requests wait that get a permit
 * within the wait.
 */
function maxUnavailabilityWaitMs(
  call: Call,
  unavailability: Unavailability | undefined,
  position: QueuePosition,
): number {
  if (unavailability === undefined) {
    return 0;
  }
  if (unavailability.reason === 'limited') {
    position.join();
    const permits = Math.ceil(
      (unavailability.limitPerSecond * TRIAL_INTERVAL_MS) / SECOND_MS,
    );
    return call.hasSentHead
      ? Infinity
      : position.aheadCount < permits
        ? TRIAL_INTERVAL_MS
        : 0;
  }
  if (call.hasSentHead) {
    return Infinity;
  }
  return unavailability.reason === 'resting' ? 0 : TRIAL_INTERVAL_MS;
}
