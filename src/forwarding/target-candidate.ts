/**
 * One request's search for a target: tries to choose one, and says why there is
 * none.
 */
import type {
  Admittee,
  Attempt,
  Blocked,
  RefusalDetails,
} from '../admission/admittee';
import type {CrashCoordinator} from '../crashes/crash-coordinator';
import type {AdmissionController} from './admission-controller';
import * as timing from '../admission/timing';
import {TRIAL_INTERVAL_MS} from '../targets/cooldown';
import type {Call} from './call';
import type * as exchanges from './exchange';
import type {ForwarderContext} from './forwarder';
import * as groupChoice from './group-choice';
import type {GroupCapacity} from './group-views';
import * as openingLimit from './opening-limit';
import * as outcomes from './outcomes';
import * as pools from './pools';
import type {RefusalBuilder} from './refusal-builder';
import {RelayedRequest, priorityOf, rankOf} from './relayed-request';
import type {Unavailability} from './target-list';
import type * as types from './types';

const SECOND_MS = 1_000;

/** What a search for a target depends on. */
export interface SearchContext {
  readonly context: ForwarderContext;
  readonly refusals: RefusalBuilder;
  readonly admission: AdmissionController<types.Target, types.Refusal>;
  /** The request's service has admission by rank and shared capacity. */
  readonly hasObjective: boolean;
}

/** How the last try was blocked, as far as its refusal needs it. */
type Cause =
  | {readonly kind: 'none'; readonly unavailability?: Unavailability}
  | {readonly kind: 'quarantined'; readonly fingerprints: readonly string[]}
  | {readonly kind: 'closed'; readonly group: string}
  | {readonly kind: 'full'; readonly capacity: GroupCapacity | undefined};

export class TargetCandidate implements Admittee<types.Target, types.Refusal> {
  readonly service: string;
  readonly account: string;
  readonly weight: number;
  readonly priority: number;
  readonly routePriority: number;
  readonly rank: number;
  readonly cost: number;
  readonly firstUnits: number;
  readonly wholeUnits: number;
  readonly arrivedAt: number;
  readonly objectiveAt: number;
  readonly deadlineAt: number;
  readonly isRetry: boolean;
  readonly isStarted: boolean;
  readonly bodyBytes: number;
  readonly signal: AbortSignal;
  readonly unanswered: types.Refusal = {
    kind: 'not-run',
    why: 'timed-out',
    retryMs: 0,
  };
  needsPermit = false;
  private cause: Cause = {kind: 'full', capacity: undefined};
  private readonly searchedAt = performance.now();
  private readonly waitsUntil: number;

  constructor(
    private readonly search: SearchContext,
    private readonly call: Call,
    private readonly request: RelayedRequest,
    private readonly tried: ReadonlyMap<string, exchanges.Outcome['kind']>,
    private readonly mayWait: boolean,
    /** It may be sent although it is quarantined. */
    private readonly isTrial: boolean,
  ) {
    const {route, account} = request;
    const {cfg} = search.context;
    const work = this.workOf();
    this.service = request.service;
    this.account = account?.name ?? '';
    this.weight = cfg.admission.weights.get(this.account) ?? 1;
    this.priority = priorityOf(request);
    this.routePriority = route.priority;
    this.rank = rankOf(request);
    this.cost = work.cost;
    this.firstUnits = work.firstUnits;
    this.wholeUnits = work.wholeUnits;
    this.isRetry = call.isLikelyRetry;
    this.isStarted = call.hasSentHead;
    this.arrivedAt = this.isStarted ? this.searchedAt : call.startedAt;
    this.objectiveAt =
      route.latencyObjectiveMs > 0
        ? call.startedAt + route.latencyObjectiveMs
        : Infinity;
    this.deadlineAt = call.deadline;
    this.bodyBytes = request.body?.length ?? 0;
    this.signal = call.signal;
    this.waitsUntil = Math.min(
      this.searchedAt + timing.MAX_LATE_WAIT_MS,
      call.deadline - timing.MIN_TIME_LEFT_MS,
    );
  }

  /** Finds a target that was not tried yet and counts a request in flight there. */
  tryStart(now: number, ahead: number): Attempt<types.Target> {
    const {targets, gate} = this.search.context;
    if (this.isQuarantined) {
      return blocked('unavailable', -Infinity);
    }
    const usable = targets.ofService(this.service, now);
    const known = outcomes.untried(usable, this.tried);
    // The available permits are left to the requests ahead in the queue.
    if (known.length <= ahead) {
      return this.blockedByTargets(known.length > 0, ahead, now);
    }
    const groups = groupChoice.groupsOf(known);
    groups.forEach(one => this.noteKnown(one, now));
    const open = groups.filter(one => gate.closedMs(one.name, now) === 0);
    const closed = open.length > 0 ? undefined : groups[0]!.name;
    const candidates = open.length > 0 ? open : this.groupToProbe(groups, now);
    const options = candidates.map(one => ({
      ...one,
      capacity: this.capacityFor(one.targets, now),
    }));
    const shared = options.flatMap(one => this.limitToShare(one, now) ?? []);
    const group = groupChoice.chooseGroup(shared);
    const target = group && this.chooseTarget(group, now);
    if (target !== undefined) {
      const pool = pools.poolOf(this.service, group!.name);
      return {kind: 'started', value: target, pool};
    }
    return closed === undefined
      ? this.blockedByLoad(options, shared, usable.length > known.length)
      : this.blockedByGroups(closed, groups, now);
  }

  /** True if it must be refused because it may crash its target. */
  get isQuarantined(): boolean {
    const {call, search, isTrial} = this;
    const found = isTrial ? [] : quarantinedOf(call, search.context.crashes);
    if (found.length > 0) {
      this.cause = {kind: 'quarantined', fingerprints: found};
    }
    return found.length > 0;
  }

  refuse(details: RefusalDetails | undefined): types.Refusal {
    const {call, service, cause} = this;
    const {refusals} = this.search;
    switch (cause.kind) {
      case 'none':
        return refusals.noneAvailable(call, service, cause.unavailability);
      case 'quarantined':
        return refusals.crashesTargets(call, service, cause.fingerprints);
      case 'closed': {
        const now = performance.now();
        return refusals.closedGroup(call, service, cause.group, now);
      }
      case 'full':
        return refusals.overloaded(call, this, cause.capacity, details);
    }
  }

  /** What its last try lacked, for the log. */
  get lacked():
    'capacity' | 'closed-group' | 'permit' | 'cooldown' | 'targets' {
    const {cause} = this;
    if (cause.kind === 'full' || cause.kind === 'closed') {
      return cause.kind === 'full' ? 'capacity' : 'closed-group';
    }
    const reason =
      cause.kind === 'none' ? cause.unavailability?.reason : undefined;
    return reason === 'limited' ? 'permit' : reason ? 'cooldown' : 'targets';
  }

  private blockedByTargets(
    hasKnown: boolean,
    ahead: number,
    now: number,
  ): Blocked {
    const {targets} = this.search.context;
    const unavailability = hasKnown
      ? targets.unavailabilityForQueued(this.service, now)
      : targets.unavailabilityOf(this.service, now);
    this.cause = {kind: 'none', unavailability};
    this.needsPermit ||= unavailability?.reason === 'limited';
    const maxWaitMs = this.maxUnavailabilityWaitMs(unavailability, ahead);
    const waitsUntil = Math.min(this.searchedAt + maxWaitMs, this.waitsUntil);
    return blocked('unavailable', waitsUntil);
  }

  /** `group`: the one that a refusal names. */
  private blockedByGroups(
    group: string,
    groups: readonly groupChoice.TargetGroup[],
    now: number,
  ): Blocked {
    const {gate} = this.search.context;
    this.cause = {kind: 'closed', group};
    // A group whose state is not known yet may be open.
    const mayWait =
      this.mayWait || groups.some(({name}) => gate.isUnknown(name!, now));
    return blocked('unavailable', mayWait ? this.waitsUntil : -Infinity);
  }

  private noteKnown(
    {name, targets}: groupChoice.TargetGroup,
    now: number,
  ): void {
    const {gate, views} = this.search.context;
    if (name !== undefined && !gate.isKnown(name)) {
      gate.noteKnown(name, views.knownSince(targets[0]!) ?? now);
    }
  }

  private blockedByLoad(
    options: readonly groupChoice.GroupOption[],
    shared: readonly groupChoice.GroupOption[],
    isOwn: boolean,
  ): Blocked {
    const capacities = options.flatMap(({capacity}) => capacity ?? []);
    const waitsUntil = this.search.hasObjective
      ? this.deadlineAt - timing.MIN_TIME_LEFT_MS
      : this.mayWait
        ? this.waitsUntil
        : -Infinity;
    const capacity = groupChoice.leastLoaded(options);
    this.cause = {kind: 'full', capacity};
    return {
      ...blocked(shared.length === 0 ? 'share' : 'capacity', waitsUntil),
      isOwn,
      pools: options.map(({name}) => pools.poolOf(this.service, name)),
      passMs:
        capacities.length > 0
          ? Math.min(...capacities.map(one => one.passMs))
          : undefined,
    };
  }

  private chooseTarget(
    {targets}: groupChoice.TargetGroup,
    now: number,
  ): types.Target | undefined {
    const {targets: list, balancer} = this.search.context;
    const permitted = list.withPermit(targets, now);
    const chosen = balancer.choose(targets, now, permitted);
    if (chosen !== undefined) {
      // Before any await: other waiting requests choose in the same tick.
      balancer.begin(chosen.lifetime);
      list.noteSent(chosen, now);
    }
    return chosen;
  }

  /** A closed group that this request may probe; empty: none. */
  private groupToProbe(
    groups: readonly groupChoice.TargetGroup[],
    now: number,
  ): readonly groupChoice.TargetGroup[] {
    const {gate} = this.search.context;
    const found = groups.find(one => gate.tryEnter(one.name, now));
    return found === undefined ? [] : [found];
  }

  /** Applies this entry's share of the pool, as far as it limits the request. */
  private limitToShare(
    option: groupChoice.GroupOption,
    now: number,
  ): groupChoice.GroupOption | undefined {
    const {context, admission, hasObjective} = this.search;
    if (!hasObjective) {
      return option;
    }
    const pool = pools.poolOf(this.service, option.name);
    const kind = this.startKind(now);
    const group = this.limitedGroup(option, now);
    const shareOf = (maxAgeMs = Infinity) =>
      context.shares.shareOf(pool, now, now - maxAgeMs);
    if (group === undefined) {
      const share = kind === 'first-try' ? shareOf() : undefined;
      return groupChoice.limitToShare(option, share, admission.inFlight(pool));
    }
    const part = openingLimit.partOf(kind, group, shareOf);
    if (part !== undefined || kind === 'first-try') {
      return groupChoice.limitToShare(option, part, admission.inFlight(pool));
    }
    // While passes keep the allowed pause, longer ones would make all streams of
    // the group late for the sake of one that is late already.
    return kind === 'last-try' && option.capacity?.limitedBy === 'in-time'
      ? option
      : groupChoice.limitToSlots(option, openingLimit.slotsOf(group));
  }

  private startKind(now: number): openingLimit.StartKind {
    if (this.isStarted) {
      return 'resumed';
    }
    return this.isUrgent(now) ? 'last-try' : 'first-try';
  }

  /** Undefined if the route doesn't limit the requests of a group. */
  private limitedGroup(
    {capacity, targets}: groupChoice.GroupOption,
    now: number,
  ): openingLimit.LimitedGroup | undefined {
    const {context} = this.search;
    const engine = context.configuration.table?.findService(
      this.service,
    )?.engine;
    if (capacity === undefined || engine === undefined) {
      return undefined;
    }
    const knowledge = context.views.knowledgeOf(targets[0]!, now);
    const {route} = this.request;
    return {engine, allowed: route, knowledge, most: capacity.most};
  }

  /**
   * Capacity of the group at which its passes stay within the route's pause; for
   * an urgent request of a service without admission, limited by its slots only.
   * Undefined: no limit.
   */
  private capacityFor(
    targets: readonly types.Target[],
    now: number,
  ): GroupCapacity | undefined {
    const {configuration, views} = this.search.context;
    const [rank] = targets;
    const engine = configuration.table?.findService(this.service)?.engine;
    const {pauseMs} = this.request.route;
    if (rank?.group === undefined || engine === undefined || pauseMs === 0) {
      return undefined;
    }
    const isUnlimited = !this.search.hasObjective && this.isUrgent(now);
    const allowed = {
      pauseMs: isUnlimited ? Infinity : pauseMs,
      timeoutMs: this.request.route.timeoutMs,
    };
    return views.capacityOf(rank, engine, allowed, now);
  }

  /**
   * True if the entry's share doesn't limit it, nor without admission the length of
   * passes: a started stream, a retry at the end of its wait, and without admission
   * any request there.
   */
  private isUrgent(now: number): boolean {
    const {hasObjective} = this.search;
    const lastTryMs = hasObjective ? timing.LAST_TRY_MS : 0;
    const isAtEnd =
      (!hasObjective || this.isRetry) && now >= this.waitsUntil - lastTryMs;
    return this.mayWait && (this.isStarted || isAtEnd);
  }

  /**
   * Maximum wait for targets that are all unavailable, in milliseconds. During a
   * cooldown a request is refused with a retry time instead; a started stream
   * waits, because it can't be refused. After a cooldown, targets are tried with
   * one request at a time. At rate limits, only requests wait that get a permit
   * within the wait.
   */
  private maxUnavailabilityWaitMs(
    unavailability: Unavailability | undefined,
    ahead: number,
  ): number {
    if (unavailability === undefined) {
      return 0;
    }
    if (this.isStarted) {
      return Infinity;
    }
    if (unavailability.reason === 'limited') {
      const {limitPerSecond} = unavailability;
      const permits = Math.ceil(
        (limitPerSecond * TRIAL_INTERVAL_MS) / SECOND_MS,
      );
      return ahead < permits ? TRIAL_INTERVAL_MS : 0;
    }
    return unavailability.reason === 'resting' ? 0 : TRIAL_INTERVAL_MS;
  }

  private workOf(): timing.Work {
    const {context} = this.search;
    const {route, service, head} = this.request;
    const engine = context.configuration.table?.findService(service)?.engine;
    return engine === undefined && route.kind !== 'stream'
      ? timing.PLAIN_WORK
      : timing.streamWork(engine, head.prompt);
  }
}

/** The quarantined fingerprints of a request. */
export function quarantinedOf(
  {tracked}: Call,
  crashes: CrashCoordinator,
): readonly string[] {
  return crashes.isActive && tracked !== undefined
    ? crashes.quarantinedOf(tracked)
    : [];
}

function blocked(why: Blocked['why'], waitsUntil: number): Blocked {
  return {
    kind: 'blocked',
    why,
    isOwn: false,
    waitsUntil,
    passMs: undefined,
    pools: [],
  };
}
