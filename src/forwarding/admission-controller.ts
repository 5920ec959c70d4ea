/**
 * Starts, queues or refuses the requests of an entry. It has one queue per
 * service; the head is tried when a request ends, a view arrives, a group opens
 * or a share changes, and at an interval while anything waits.
 */
import type {
  AdmissionContext,
  Admitted,
  Admittee,
  Attempt,
  Blocked,
  Started,
} from '../admission/admittee';
import {PoolUsage} from '../admission/pool-usage';
import * as queueSummary from '../admission/queue-summary';
import type {RefusalReason} from '../admission/service-queue';
import {ServiceState, ServiceStates} from '../admission/service-states';
import {WaitingSet} from '../admission/waiting-set';
import type {PoolDemand} from '../capacity/types';
import {Result, fail, ok} from '../result';
import {AdmissionMetrics} from './admission-metrics';

/** Interval of tries while anything waits: permits arrive without notice. */
const TICK_MS = 60;
/** Two ticks. */
const LAST_CHANCE_MS = 2 * TICK_MS;
/** Interval of the summaries of a service whose requests wait. */
const SUMMARY_INTERVAL_MS = 1_000;
/** Maximum tries of a wake-up between ticks that start nothing. */
const MAX_BLOCKED_TRIES = 8;

export class AdmissionController<V, R> {
  private readonly usage = new PoolUsage();
  readonly services: ServiceStates<V, R>;
  private readonly waiting = new WaitingSet<V, R>();
  private readonly metrics: AdmissionMetrics;
  private timer: NodeJS.Timeout | undefined;
  /** A try is under way: what it changes must not start further ones. */
  private isTrying = false;

  constructor(private readonly context: AdmissionContext<V, R>) {
    this.metrics = new AdmissionMetrics(context.metrics);
    this.services = new ServiceStates(context);
  }

  /** Requests in flight from this entry in a pool. */
  inFlight(pool: string): number {
    return this.usage.inFlight(pool);
  }

  /** Demand of a pool; what waits for its service counts in each of its pools. */
  demandOf(pool: string, service: string): PoolDemand {
    const waiting = this.services.get(service)?.queue.order.items() ?? [];
    return this.usage.demandOf(pool, waiting);
  }

  /** Starts the request now or later; fails with its refusal. */
  admit(
    item: Admittee<V, R>,
  ): Result<Admitted<V>, R> | Promise<Result<Admitted<V>, R>> {
    if (item.signal.aborted) {
      return fail(item.unanswered);
    }
    const now = performance.now();
    const state = this.services.of(item.service);
    const {queue} = state;
    // Without an objective, requests hold up others only where permits are short.
    if (queue.size > 0 && state.hasObjective) {
      return new Promise(settle => {
        this.enqueue(state, item, settle, now);
        this.drain(state, now, MAX_BLOCKED_TRIES);
        this.refuseIfHopeless(state, item, now);
      });
    }
    const ahead = queue.size === 0 ? 0 : queue.permitsAhead(item);
    const attempt = this.attempt(state, item, ahead, now);
    if (attempt.kind === 'started') {
      return ok(this.begin(state, item, attempt, now));
    }
    if (now >= attempt.waitsUntil) {
      return fail(this.refusalOf(state, item, 'late', now));
    }
    const reason = this.reasonToRefuse(state, item, now, true);
    return reason === undefined
      ? new Promise(settle => this.enqueue(state, item, settle, now))
      : fail(this.refusalOf(state, item, reason, now));
  }

  /** Tries the waiting requests of a service, or of all services. */
  wake(service?: string): void {
    if (this.waiting.size === 0 || this.isTrying) {
      return;
    }
    const now = performance.now();
    for (const state of this.services.values()) {
      const isMeant = (service ?? state.service) === state.service;
      if (isMeant && state.queue.size > 0) {
        this.drain(state, now, MAX_BLOCKED_TRIES);
      }
    }
  }

  /** Refuses waiting requests, whatever their place in the queue. */
  refuseIf(isRefused: (item: Admittee<V, R>) => boolean): void {
    const now = performance.now();
    for (const state of this.services.values()) {
      for (const item of [...state.queue.order.items()]) {
        if (isRefused(item)) {
          this.refuse(state, item, 'expired', now);
        }
      }
    }
  }

  /**
   * After a suspension, in which the monotonic clock may have stood still:
   * refuses what has waited for too long.
   */
  noteSuspension(suspendedMs: number): void {
    const now = performance.now();
    for (const state of this.services.values()) {
      for (const item of state.hasObjective ? state.queue.order.items() : []) {
        if (state.queue.isUseless(item, now + suspendedMs)) {
          this.refuse(state, item, 'expired', now);
        }
      }
    }
  }

  /** Gives up all that waits and ends the timer. */
  close(): void {
    this.waiting.items().forEach(item => this.leave(item));
    clearTimeout(this.timer);
  }

  private attempt(
    state: ServiceState<V, R>,
    item: Admittee<V, R>,
    ahead: number,
    now: number,
  ): Attempt<V> {
    this.isTrying = true;
    try {
      const attempt = item.tryStart(now, ahead);
      if (attempt.kind === 'blocked') {
        state.blocked = attempt;
        state.queue.notePassMs(attempt.passMs);
      }
      return attempt;
    } finally {
      this.isTrying = false;
    }
  }

  private enqueue(
    state: ServiceState<V, R>,
    item: Admittee<V, R>,
    settle: (result: Result<Admitted<V>, R>) => void,
    now: number,
  ): void {
    state.queue.push(item, now);
    this.waiting.add(item, settle);
    item.signal.addEventListener('abort', () => this.leave(item), {once: true});
    if (state.hasObjective) {
      this.metrics.countWaiting(item, 1);
      this.noteWaiting(state, now);
    }
    this.enforceBound(now);
    this.schedule();
  }

  /** Refuses a new request that has to wait and whose wait would be too long. */
  private refuseIfHopeless(
    state: ServiceState<V, R>,
    item: Admittee<V, R>,
    now: number,
  ): void {
    if (!this.waiting.has(item)) {
      return;
    }
    if (state.blocked?.why === 'unavailable') {
      this.tryWaiting(state, item, state.queue.permitsAhead(item), now);
      return;
    }
    const reason = this.reasonToRefuse(state, item, now, true);
    if (reason !== undefined) {
      this.refuse(state, item, reason, now);
    }
  }

  /**
   * Starts waiting requests in order, as far as possible, until so many tries
   * have started nothing.
   */
  private drain(
    state: ServiceState<V, R>,
    now: number,
    maxBlockedTries: number,
  ): void {
    const {queue, hasObjective} = state;
    const skipped = new Set<Admittee<V, R>>();
    let permitsAhead = 0;
    while (skipped.size < maxBlockedTries) {
      const item = queue.order.next(now, queue.paceMs, skipped);
      if (item === undefined) {
        return;
      }
      if (hasObjective && queue.isUseless(item, now)) {
        this.refuse(state, item, 'expired', now);
        continue;
      }
      const blocked = this.tryWaiting(state, item, permitsAhead, now);
      if (blocked === undefined) {
        continue;
      }
      skipped.add(item);
      permitsAhead += item.needsPermit ? 1 : 0;
      // Without an objective, each waiting request is tried, but at ticks only.
      const isForAll = hasObjective
        ? blocked.why !== 'unavailable'
        : maxBlockedTries < Infinity;
      if (isForAll && !blocked.isOwn) {
        return;
      }
    }
  }

  /** Starts or refuses a waiting request; returns why it goes on waiting. */
  private tryWaiting(
    state: ServiceState<V, R>,
    item: Admittee<V, R>,
    ahead: number,
    now: number,
  ): Blocked | undefined {
    const attempt = this.attempt(state, item, ahead, now);
    if (attempt.kind === 'started') {
      state.queue.order.start(item);
      if (state.hasObjective) {
        this.metrics.recordWait(item, now);
      }
      this.settle(item, ok(this.begin(state, item, attempt, now)));
      return undefined;
    }
    if (now >= attempt.waitsUntil) {
      this.refuse(state, item, 'expired', now);
      return undefined;
    }
    return attempt;
  }

  private begin(
    {service, queue, hasObjective}: ServiceState<V, R>,
    item: Admittee<V, R>,
    {value, pool}: Started<V>,
    now: number,
  ): Admitted<V> {
    this.usage.add(pool, item, 1);
    queue.noteStart(item, now);
    if (hasObjective) {
      this.context.shares.noteUse(pool, now);
      this.metrics.countStart(item);
    }
    let isReleased = false;
    const release = (isServed: boolean) => {
      if (!isReleased) {
        isReleased = true;
        this.usage.add(pool, item, -1);
        queue.noteEnd(isServed ? performance.now() - now : undefined);
        this.wake(service);
      }
    };
    return {value, ticket: {release}};
  }

  /** Why a request that can't start now is refused; undefined: it waits. */
  private reasonToRefuse(
    {queue, hasObjective, blocked}: ServiceState<V, R>,
    item: Admittee<V, R>,
    now: number,
    isNew: boolean,
  ): RefusalReason | undefined {
    // What is unavailable for other reasons has its own limits of the wait.
    if (!hasObjective || blocked?.why === 'unavailable') {
      return undefined;
    }
    const verdict = queue.verdict(item, now, isNew);
    return verdict === 'late' && blocked?.why === 'share' ? 'share' : verdict;
  }

  private refusalOf(
    {queue, hasObjective}: ServiceState<V, R>,
    item: Admittee<V, R>,
    reason: RefusalReason,
    now: number,
  ): R {
    const details = {
      reason,
      waitedMs: now - item.arrivedAt,
      prediction: queue.predict(item, now),
      newcomer: queue.predictNewcomer(item, now),
    };
    return item.refuse(hasObjective ? details : undefined);
  }

  private refuse(
    state: ServiceState<V, R>,
    item: Admittee<V, R>,
    reason: RefusalReason,
    now: number,
  ): void {
    const refusal = this.refusalOf(state, item, reason, now);
    state.queue.order.remove(item);
    this.settle(item, fail(refusal));
  }

  /** Removes a request whose caller has disconnected. */
  private leave(item: Admittee<V, R>): void {
    this.services.get(item.service)?.queue.order.remove(item);
    this.settle(item, fail(item.unanswered));
  }

  private settle(item: Admittee<V, R>, result: Result<Admitted<V>, R>): void {
    const hasObjective = this.services.get(item.service)?.hasObjective;
    if (this.waiting.settle(item, result) && hasObjective) {
      this.metrics.countWaiting(item, -1);
    }
  }

  /** Above the bound, refuses what would start last in the longest queue. */
  private enforceBound(now: number): void {
    while (this.waiting.isOverBound) {
      const [longest] = [...this.services.values()].sort(
        (a, b) => b.queue.size - a.queue.size,
      );
      const last = longest?.queue.order.last(now, longest.queue.paceMs);
      if (last === undefined) {
        return;
      }
      this.refuse(longest!, last, 'full', now);
    }
  }

  private schedule(): void {
    if (this.timer === undefined && this.waiting.size > 0) {
      this.timer = setTimeout(() => this.tick(), TICK_MS);
    }
  }

  private tick(): void {
    this.timer = undefined;
    const now = performance.now();
    for (const state of this.services.values()) {
      if (state.queue.size > 0) {
        this.drain(state, now, Infinity);
        this.tryLastChances(state, now);
        this.refuseHopeless(state, now);
        this.noteWaiting(state, now);
        this.summarize(state, now);
      }
    }
    this.schedule();
  }

  /**
   * Tries the retries that would be refused before the next ticks, also where the
   * head of the queue is blocked: they may use slots beyond the limits for it.
   */
  private tryLastChances(state: ServiceState<V, R>, now: number): void {
    const {queue, hasObjective} = state;
    for (const item of hasObjective ? queue.order.items() : []) {
      if (queue.isLastChance(item, now, LAST_CHANCE_MS)) {
        this.tryWaiting(state, item, queue.permitsAhead(item), now);
      }
    }
  }

  /** Refuses the waiting requests that can no longer be served in time. */
  private refuseHopeless(state: ServiceState<V, R>, now: number): void {
    for (const item of state.hasObjective ? state.queue.order.items() : []) {
      const reason = this.reasonToRefuse(state, item, now, false);
      if (reason !== undefined) {
        this.refuse(state, item, reason, now);
      }
    }
  }

  /** Tells the sharing of capacity that requests wait. */
  private noteWaiting(
    {hasObjective, blocked}: ServiceState<V, R>,
    now: number,
  ): void {
    if (hasObjective && blocked !== undefined) {
      const isFull = blocked.why === 'capacity';
      blocked.pools.forEach(pool =>
        this.context.shares.noteUse(pool, now, isFull),
      );
    }
  }

  private summarize(state: ServiceState<V, R>, now: number): void {
    const {service, queue, hasObjective} = state;
    const isDue = now - state.summarizedAt >= SUMMARY_INTERVAL_MS;
    if (hasObjective && isDue && queue.size > 0) {
      state.summarizedAt = now;
      const waiting = queueSummary.summaryOf(queue.order.items(), now);
      const fields = {service, ...waiting, ...queue.startFields(now)};
      this.context.log.event('admissionQueued', fields);
    }
  }
}
