/**
 * The sidecar's side of a map change: reads its rank and orders ranks on behalf
 * of the planner with the highest term heard so far, and refuses all others.
 */
import * as rxjs from 'rxjs';
import {Log} from '../observability/log';
import {
  Engine,
  ExpertCounts,
  SentArm,
  GroupView,
  Growth,
  Order,
  OrderResult,
  RankReading,
  RankState,
  ReadAnswer,
  ReadOptions,
} from './types';

const MAX_ORDER_TRIES = 12;
const COPY_POLL_INTERVAL_MS = 8;
/** Below the planner's timeout for the call that asks for the order. */
const OTHER_ORDER_TIMEOUT_MS = 180;
/**
 * Interval between reads of the status in `waitForChange` if no planner is
 * heard. Calls within the instance cost nothing.
 */
const STATUS_POLL_INTERVAL_MS = 40;
/** A planner counts as heard for this many periods after its last call. */
const MAX_MISSED_PERIODS = 4.5;
/** Upper bound of the reading period that a planner may ask for. */
const MAX_PERIOD_MS = 2_000;
const INITIAL_PERIOD_MS = 100;
/**
 * Engines of other ranks with a kept connection, enough for one branch: a new
 * connection costs a round trip while the group may be held.
 */
const MAX_OTHER_ENGINES = 24;

export interface AgentReading {
  readonly answer: ReadAnswer;
  /** Undefined: not requested, or no earlier counters to compare with. */
  readonly growth: Growth | undefined;
}

export class RankAgent {
  /** Highest term of a planner heard so far; 0: none. */
  term = 0;
  private plannerHeardAt = -Infinity;
  private periodMs = INITIAL_PERIOD_MS;
  private counters: ExpertCounts | undefined;
  /** Undefined until a planner has read the rank with `planning` set. */
  private lastSentArm: SentArm | null | undefined;
  /** The own rank's last report of whether its group is open. */
  private lastStatus:
    {readonly isOpen: boolean; readonly at: number} | undefined;
  private readonly changes = new rxjs.Subject<void>();
  /** The planner's last summary of the group; undefined: it has none. */
  private report: {readonly view: GroupView; readonly at: number} | undefined;
  /** By target; the least recently used first. */
  private readonly otherEngines = new Map<string, Engine>();

  constructor(
    private readonly engine: Engine,
    private readonly makeEngine: (target: string) => Engine,
    private readonly log: Log,
  ) {}

  get hasHeardPlanner(): boolean {
    return this.term > 0;
  }

  /** Reads the counters once, so that the first reading has growth. */
  async primeCounters(): Promise<void> {
    const counters = await this.engine.counts();
    if (counters.ok) {
      this.updateCounters(counters.value);
    }
  }

  get isPlannerHeard(): boolean {
    const silentMs = performance.now() - this.plannerHeardAt;
    return silentMs < this.periodMs * MAX_MISSED_PERIODS;
  }

  /** Reads the rank for the planner of a term, which repeats it each period. */
  async read(
    term: number,
    periodMs: number,
    options: ReadOptions,
    view?: GroupView,
  ): Promise<AgentReading> {
    if (!this.acceptTerm(term)) {
      return {answer: {kind: 'deposed'}, growth: undefined};
    }
    this.report = view && {view, at: performance.now()};
    this.changes.next();
    this.periodMs = Math.min(periodMs, MAX_PERIOD_MS);
    const [reading, counters] = await Promise.all([
      readRank(this.engine, options.held),
      options.growth ? this.engine.counts() : undefined,
    ]);
    if (reading === undefined) {
      return {answer: {kind: 'no-rank'}, growth: undefined};
    }
    this.recordStatus(reading.state);
    const growth = counters?.ok
      ? this.updateCounters(counters.value)
      : undefined;
    const {lastSentArm} = this;
    if (options.planning && lastSentArm === undefined) {
      this.lastSentArm = null;
    }
    return {
      answer: {kind: 'read', reading: {...reading, gave: lastSentArm}},
      growth,
    };
  }

  /** The planner's last summary of the group and its age. */
  get groupView(): {view: GroupView; ageMs: number} | undefined {
    const {report} = this;
    return report && {view: report.view, ageMs: performance.now() - report.at};
  }

  /** The own rank's last report of whether its group is open, and its age. */
  get groupStatus(): {isOpen: boolean; ageMs: number} | undefined {
    const {lastStatus} = this;
    return (
      lastStatus && {
        isOpen: lastStatus.isOpen,
        ageMs: performance.now() - lastStatus.at,
      }
    );
  }

  /**
   * Resolves when a planner reads, the group opens or closes, or after
   * `waitMs`.
   */
  async waitForChange(waitMs: number): Promise<void> {
    const {lastStatus} = this;
    const endsAt = performance.now() + Math.min(waitMs, MAX_PERIOD_MS);
    for (;;) {
      if (!this.isPlannerHeard) {
        await this.refreshStatus();
      }
      const leftMs = endsAt - performance.now();
      if (leftMs <= 0 || this.lastStatus?.isOpen !== lastStatus?.isOpen) {
        return;
      }
      const pollMs = this.isPlannerHeard
        ? leftMs
        : Math.min(leftMs, STATUS_POLL_INTERVAL_MS);
      const isNotified = await rxjs.firstValueFrom(
        rxjs.race(
          this.changes.pipe(rxjs.map(() => true)),
          rxjs.timer(pollMs).pipe(rxjs.map(() => false)),
        ),
        {defaultValue: true},
      );
      if (isNotified) {
        return;
      }
    }
  }

  /** Orders the own rank for the planner of a term. */
  async order(term: number, order: Order): Promise<OrderResult> {
    if (!this.acceptTerm(term)) {
      this.log.event('staleOrderRefused', {
        order: order.kind,
        term,
        obeyed: this.term,
      });
      return 'deposed';
    }
    const result = await executeOrder(
      this.engine,
      order,
      () => this.term === term,
    );
    this.logFailure(order, result);
    return result;
  }

  /** Orders another rank for the planner of a term; records an arm order. */
  async orderOther(
    term: number,
    to: {readonly target: string; readonly rank: number},
    order: Order,
  ): Promise<OrderResult> {
    if (!this.acceptTerm(term)) {
      return 'deposed';
    }
    const sentArm: SentArm | undefined =
      order.kind === 'arm'
        ? {
            epoch: order.epoch,
            rank: to.rank,
            version: order.version,
            step: order.step,
            isConfirmed: false,
          }
        : undefined;
    // Recorded before it is sent: a reading made meanwhile must include it.
    this.lastSentArm = sentArm ?? this.lastSentArm;
    const engine = this.engineOf(to.target);
    const endsAt = performance.now() + OTHER_ORDER_TIMEOUT_MS;
    const mayContinue = () => this.term === term && performance.now() < endsAt;
    const result = await executeOrder(engine, order, mayContinue);
    if (sentArm !== undefined && this.lastSentArm === sentArm) {
      this.lastSentArm = result === 'refused' ? null : sentArm;
      sentArm.isConfirmed = result === 'done';
    }
    this.logFailure(order, result);
    return result;
  }

  /**
   * Orders other ranks for the planner of a term. Unlike `orderOther`, it
   * records no arm order, since none of them is for the planner's own rank.
   */
  async orderOthers(
    term: number,
    targets: readonly string[],
    order: Order,
  ): Promise<OrderResult[]> {
    if (!this.acceptTerm(term)) {
      return targets.map(() => 'deposed');
    }
    const endsAt = performance.now() + OTHER_ORDER_TIMEOUT_MS;
    const mayContinue = () => this.term === term && performance.now() < endsAt;
    return Promise.all(
      targets.map(target =>
        executeOrder(this.engineOf(target), order, mayContinue),
      ),
    );
  }

  /** Ends the waits for changes, also later ones. */
  endWaits(): void {
    this.changes.complete();
  }

  close(): void {
    this.endWaits();
    this.otherEngines.forEach(engine => engine.close());
    this.otherEngines.clear();
  }

  /** Reads the own rank's status unless the last reading is recent. */
  private async refreshStatus(): Promise<void> {
    const ageMs = this.groupStatus?.ageMs ?? Infinity;
    const state =
      ageMs < STATUS_POLL_INTERVAL_MS ? undefined : await this.engine.state();
    if (state?.ok && state.value !== undefined) {
      this.recordStatus(state.value);
    }
  }

  private recordStatus({isOpen}: RankState): void {
    const hasChanged = this.lastStatus?.isOpen !== isOpen;
    this.lastStatus = {isOpen, at: performance.now()};
    if (hasChanged) {
      this.changes.next();
    }
  }

  private engineOf(target: string): Engine {
    const engine = this.otherEngines.get(target) ?? this.makeEngine(target);
    this.otherEngines.delete(target);
    this.otherEngines.set(target, engine);
    const [oldest] = this.otherEngines.keys();
    if (this.otherEngines.size > MAX_OTHER_ENGINES && oldest !== undefined) {
      this.otherEngines.get(oldest)!.close();
      this.otherEngines.delete(oldest);
    }
    return engine;
  }

  private logFailure(order: Order, result: OrderResult): void {
    if (result !== 'done') {
      this.log.event('orderFailed', {
        order: order.kind,
        version: 'version' in order ? order.version : undefined,
        step: 'step' in order ? order.step : undefined,
        result,
      });
    }
  }

  /** Returns the growth; undefined for a first reading and across a restart. */
  private updateCounters(counters: ExpertCounts): Growth | undefined {
    const before = this.counters;
    this.counters = counters;
    const {values} = counters;
    const isSameStart =
      before?.born === counters.born && before?.values.length === values.length;
    if (before === undefined || !isSameStart) {
      return undefined;
    }
    const growth = new Float64Array(values.length);
    for (let at = 0; at < values.length; at += 1) {
      growth[at] = values[at]! - before.values[at]!;
      if (growth[at]! < 0) {
        return undefined;
      }
    }
    return growth;
  }

  /** Adopts a higher term, and returns false for a lower one. */
  private acceptTerm(term: number): boolean {
    if (term > this.term) {
      this.log.event('plannerObeyed', {term, before: this.term});
      this.term = term;
    }
    const isAccepted = term === this.term;
    if (isAccepted) {
      this.plannerHeardAt = performance.now();
    }
    return isAccepted;
  }
}

/** Undefined if the engine does not answer or is in no group. */
export async function readRank(
  engine: Engine,
  includeHeld: boolean,
): Promise<RankReading | undefined> {
  const [state, held] = await Promise.all([
    engine.state(),
    includeHeld ? engine.heldExperts() : undefined,
  ]);
  if (!state.ok || state.value === undefined) {
    return undefined;
  }
  return {state: state.value, held: held?.ok ? held.value : undefined};
}

/**
 * Sends an order until it is answered or the tries are used up, and waits for a
 * copy to complete. Orders are idempotent, so one that arrives late changes
 * nothing.
 */
export async function executeOrder(
  engine: Engine,
  order: Order,
  mayContinue: () => boolean = () => true,
): Promise<OrderResult> {
  let result: OrderResult = 'no-answer';
  for (let tries = 0; tries < MAX_ORDER_TRIES; tries += 1) {
    if (!mayContinue()) {
      return 'deposed';
    }
    result = await engine.order(order);
    if (result !== 'no-answer') {
      break;
    }
  }
  return result === 'done' && order.kind === 'prepare'
    ? waitForCopy(engine, order, mayContinue)
    : result;
}

async function waitForCopy(
  engine: Engine,
  order: Extract<Order, {kind: 'prepare'}>,
  mayContinue: () => boolean,
): Promise<OrderResult> {
  const endsAt = performance.now() + order.patienceMs;
  await sleep(order.expectedMs);
  while (performance.now() < endsAt && mayContinue()) {
    const state = await engine.state();
    if (state.ok && state.value?.prepared === order.version) {
      return 'done';
    }
    if (state.ok && state.value?.epoch !== order.epoch) {
      return 'refused';
    }
    await sleep(COPY_POLL_INTERVAL_MS);
  }
  return 'no-answer';
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
